package org.sandford.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.AssignmentMap.Teams;

class TeamAssignmentPlannerTest {
  private static final Teams TEAMS =
      new Teams(
          9,
          3,
          new TreeMap<>(
              Map.of(
                  "blue", new TeamAssignment("c0#1", 1),
                  "green", new TeamAssignment("c0#1", 2),
                  "red", new TeamAssignment("c1#1", 3))));

  private static TeamAssignmentPlanner planner(List<String> members, String... handedOver) {
    return new TeamAssignmentPlanner(TEAMS, members, List.of(handedOver)::contains);
  }

  @Test
  void teamsOfMembersKeepTheirOwners() {
    assertSame(TEAMS, planner(List.of("c0#1", "c1#1")).plan(TEAMS.assignments().keySet()));
  }

  @Test
  void teamsOfDepartedMembersGoToTheLeastLoadedUnderNewGenerations() {
    Teams next = planner(List.of("c1#1", "c2#1")).plan(Set.of());
    assertEquals(new TeamAssignment("c2#1", 4), next.assignments().get("blue"));
    assertEquals(new TeamAssignment("c1#1", 5), next.assignments().get("green"));
    assertEquals(new TeamAssignment("c1#1", 3), next.assignments().get("red"));
    assertEquals(5, next.lastGeneration());
    assertEquals(9, next.revision());
  }

  @Test
  void configuredTeamWithoutOwnerGetsOne() {
    Teams next = planner(List.of("c0#1", "c1#1")).plan(Set.of("yellow"));
    assertEquals(new TeamAssignment("c1#1", 4), next.assignments().get("yellow"));
  }

  @Test
  void teamThatWasHandedOverLeavesItsOwnerUnlessThatIsAlone() {
    Teams moved = planner(List.of("c0#1", "c1#1"), "red").plan(Set.of());
    assertEquals(new TeamAssignment("c0#1", 4), moved.assignments().get("red"));
    Teams kept = planner(List.of("c1#1"), "red").plan(Set.of());
    assertEquals("c1#1", kept.assignments().get("red").owner());
  }

  @Test
  void ownerWithTwoTeamsMoreThanAnotherIsToHandOneOver() {
    assertEquals(Optional.empty(), planner(List.of("c0#1", "c1#1")).teamToHandOver());
    assertEquals(Optional.of("blue"), planner(List.of("c0#1", "c2#1")).teamToHandOver());
  }
}

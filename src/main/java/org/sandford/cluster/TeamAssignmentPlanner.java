package org.sandford.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.AssignmentMap.Teams;

/**
 * Plans the teams' owners: assigns every team to a member and selects teams to hand over, so that
 * no member has two teams more than another. Has no side effects; each plan takes a new instance.
 */
final class TeamAssignmentPlanner {
  /** The smallest difference between two members' numbers of teams that a handover reduces. */
  private static final int MIN_HANDOVER_DIFFERENCE = 2;

  private final Teams teams;
  private final Predicate<String> handedOver;

  /** The teams that each member keeps or is given. */
  private final Map<String, List<String>> teamsByOwner = new TreeMap<>();

  /**
   * Creates a planner.
   *
   * @param memberIds the members' incarnation ids
   * @param handedOver whether a team's owner no longer acts for it
   */
  TeamAssignmentPlanner(Teams teams, Collection<String> memberIds, Predicate<String> handedOver) {
    this.teams = teams;
    this.handedOver = handedOver;
    memberIds.forEach(member -> teamsByOwner.put(member, new ArrayList<>()));
    teams
        .assignments()
        .forEach(
            (team, assignment) -> {
              if (retainsOwner(team, assignment)) {
                teamsByOwner.get(assignment.owner()).add(team);
              }
            });
  }

  private boolean retainsOwner(String team, TeamAssignment assignment) {
    return teamsByOwner.containsKey(assignment.owner()) && !handedOver.test(team);
  }

  /**
   * Assigns each team without an owner to the member with the fewest teams. Returns the given teams
   * unchanged if nothing changes. May be called once.
   */
  Teams plan(Set<String> configuredTeams) {
    Map<String, TeamAssignment> assignments = new TreeMap<>(teams.assignments());
    long lastGeneration = teams.lastGeneration();
    Set<String> teamNames = new TreeSet<>(configuredTeams);
    teamNames.addAll(assignments.keySet());
    boolean changed = false;
    for (String team : teamNames) {
      TeamAssignment current = assignments.get(team);
      if (current != null && retainsOwner(team, current)) {
        continue;
      }
      Optional<String> owner = nextOwner(current);
      if (owner.isPresent()) {
        teamsByOwner.get(owner.get()).add(team);
        assignments.put(team, new TeamAssignment(owner.get(), ++lastGeneration));
        changed = true;
      }
    }
    return changed ? new Teams(teams.revision(), lastGeneration, assignments) : teams;
  }

  /**
   * Returns the member with the fewest teams, but not the team's former owner unless it is the only
   * member.
   */
  private Optional<String> nextOwner(TeamAssignment current) {
    String leastLoaded = null;
    for (Map.Entry<String, List<String>> candidate : teamsByOwner.entrySet()) {
      boolean formerOwner =
          current != null && candidate.getKey().equals(current.owner()) && teamsByOwner.size() > 1;
      if (!formerOwner
          && (leastLoaded == null
              || candidate.getValue().size() < teamsByOwner.get(leastLoaded).size())) {
        leastLoaded = candidate.getKey();
      }
    }
    return Optional.ofNullable(leastLoaded);
  }

  /** Returns a team to hand over, if the member with the most teams has too many. */
  Optional<String> teamToHandOver() {
    int mostTeams = 0;
    int fewestTeams = Integer.MAX_VALUE;
    String mostLoaded = "";
    for (Map.Entry<String, List<String>> e : teamsByOwner.entrySet()) {
      int teamCount = e.getValue().size();
      if (teamCount > mostTeams) {
        mostTeams = teamCount;
        mostLoaded = e.getKey();
      }
      fewestTeams = Math.min(fewestTeams, teamCount);
    }
    return mostTeams - fewestTeams >= MIN_HANDOVER_DIFFERENCE
        ? Optional.of(teamsByOwner.get(mostLoaded).get(0))
        : Optional.empty();
  }
}

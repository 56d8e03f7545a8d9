package org.sandford.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.cluster.AssignmentMap.Partition;
import org.sandford.runtime.Json;
import org.sandford.settings.Settings;
import org.sandford.settings.TestSettings;

class MachineAssignmentPlannerTest {
  private static final int VALUE_BYTES = 2048;
  private static final int TXN_OPS = 5;
  private static final MachineAssignmentPlanner.Changes NO_CHANGES =
      new MachineAssignmentPlanner.Changes(List.of(), Set.of(), Map.of());

  private static Settings.Facts facts() {
    return new TestSettings().withStoreLimits(VALUE_BYTES, TXN_OPS).facts();
  }

  /** Returns machines in one partition, as written under a larger value limit. */
  private static Machines onePartition(int count, String owner) {
    Map<String, MachineAssignment> assignments = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      assignments.put(
          String.format("n-%06d", i),
          new MachineAssignment(
              owner, i + 1, "10.1.0." + i + ":9000", "m8", i % 2 == 0 ? "a" : "b", false));
    }
    return Machines.NONE.withNewer(1, count, Map.of(0, new Partition(1, assignments)));
  }

  private static Machines applyPlan(
      Machines before, MachineAssignmentPlanner.Plan plan, long revision) {
    Map<Integer, Partition> partitions = new HashMap<>();
    plan.changed()
        .forEach(
            (number, partition) -> {
              assertTrue(
                  Json.bytes(AssignmentMapCodec.toJson(partition)).length <= VALUE_BYTES,
                  "partition " + number + " is too large");
              partitions.put(number, new Partition(revision, partition.machines()));
            });
    assertTrue(
        plan.changed().size() + 2 <= TXN_OPS,
        plan.changed().size() + " partitions in one transaction");
    return before.withNewer(revision, plan.lastGeneration(), partitions);
  }

  @Test
  void splitsTooLargePartitionWithoutLosingMachines() {
    Machines machines = onePartition(230, "c0#1");
    Set<String> liveMembers = Set.of("c1#1", "c2#1");
    int transactions = 0;
    while (machines.assignments().values().stream()
        .anyMatch(m -> !liveMembers.contains(m.owner()))) {
      machines =
          applyPlan(
              machines,
              new MachineAssignmentPlanner(facts(), machines, liveMembers).plan(NO_CHANGES),
              ++transactions + 1);
      assertEquals(230, machines.assignments().size());
      assertTrue(transactions < 20, "the split does not end");
    }
    assertTrue(transactions > 1, "the split must take several transactions");
  }

  @Test
  void removedMachineIsNotRestoredFromSplitPartition() {
    Machines machines = onePartition(230, "c0#1");
    Set<String> liveMembers = Set.of("c0#1");
    Set<String> removals = Set.of("n-000003", "n-000100", "n-000229");
    int transactions = 0;
    while (removals.stream().anyMatch(machines.assignments()::containsKey)) {
      MachineAssignmentPlanner planner =
          new MachineAssignmentPlanner(facts(), machines, liveMembers);
      MachineAssignmentPlanner.Plan plan =
          planner.plan(new MachineAssignmentPlanner.Changes(List.of(), removals, Map.of()));
      machines = applyPlan(machines, plan, ++transactions + 1);
      assertTrue(
          machines.assignments().size() >= 227,
          machines.assignments().size() + " machines remain, at least 227 must");
      assertTrue(transactions < 20, "the removals do not end");
    }
    assertEquals(227, machines.assignments().size());
  }

  @Test
  void newOwnerGetsNewGeneration() {
    Machines machines = onePartition(10, "c0#1");
    MachineAssignmentPlanner.Plan plan =
        new MachineAssignmentPlanner(facts(), machines, Set.of("c1#1")).plan(NO_CHANGES);
    assertEquals(20, plan.lastGeneration());
    plan.changed()
        .get(0)
        .machines()
        .values()
        .forEach(m -> assertTrue(m.generation() > 10 && m.owner().equals("c1#1")));
  }
}

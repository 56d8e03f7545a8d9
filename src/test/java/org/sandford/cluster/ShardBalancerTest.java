package org.sandford.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.cluster.AssignmentMap.Partition;
import org.sandford.runtime.ManualEventLoop;

class ShardBalancerTest {
  private static final List<String> MEMBERS = List.of("c0#1", "c1#1");

  private final ManualEventLoop loop = new ManualEventLoop();
  private final ShardBalancer balancer = new ShardBalancer(loop);

  /** Returns machines in alternating zones; the first member owns the first {@code ofFirst}. */
  private static Machines machines(int count, int ofFirst) {
    Map<String, MachineAssignment> machines = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      machines.put(
          String.format("n-%03d", i),
          new MachineAssignment(
              i < ofFirst ? "c0#1" : "c1#1",
              i + 1,
              "10.1.0." + i + ":9000",
              "m8",
              i % 2 == 0 ? "a" : "b",
              false));
    }
    return Machines.NONE.withNewer(1, count, Map.of(0, new Partition(1, machines)));
  }

  @Test
  void movesSomeOfTheSurplusToTheSmallestShard() {
    Map<String, String> moves = balancer.planMoves(MEMBERS, machines(60, 60));
    // 34% of the 30 machines that the smallest shard lacks.
    assertEquals(10, moves.size());
    assertEquals(List.of("c1#1"), moves.values().stream().distinct().toList());
  }

  @Test
  void machinesOfZonesThatTheSmallestShardLacksMoveFirst() {
    // The smallest shard's only machine, n-020, is in zone a.
    Map<String, String> moves = balancer.planMoves(MEMBERS, machines(21, 20));
    assertEquals(List.of("n-001", "n-003", "n-005"), new ArrayList<>(moves.keySet()));
  }

  @Test
  void shardsOfNearlyEqualSizeStayAsTheyAre() {
    assertEquals(Map.of(), balancer.planMoves(MEMBERS, machines(20, 12)));
    assertEquals(Map.of(), new ShardBalancer(loop).planMoves(List.of("c0#1"), machines(20, 20)));
  }

  @Test
  void restsBetweenTwoRebalancings() {
    balancer.planMoves(MEMBERS, machines(60, 60));
    loop.advanceSeconds(3.9);
    assertEquals(Map.of(), balancer.planMoves(MEMBERS, machines(60, 50)));
    loop.advanceSeconds(0.2);
    assertEquals(6, balancer.planMoves(MEMBERS, machines(60, 50)).size());
  }
}

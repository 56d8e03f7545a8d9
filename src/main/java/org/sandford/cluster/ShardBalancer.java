package org.sandford.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.AssignmentMap.Machines;
import org.sandford.constants.ClusterConstants;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Balances the members' shards of machines. Moves a part of the largest shard's surplus to the
 * smallest shard, and then waits for {@link ClusterConstants#REBALANCE_INTERVAL_MS}, in which the
 * shards' owners report their free resources. Runs on the event loop.
 */
final class ShardBalancer {
  private static final Logger log = LoggerFactory.getLogger(ShardBalancer.class);
  private static final long INTERVAL_NANOS = ClusterConstants.REBALANCE_INTERVAL_MS * 1_000_000L;

  private final EventLoop loop;
  private long lastRebalancedAt;

  ShardBalancer(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns the next owner of each machine to move now, in the order of the moves. */
  Map<String, String> planMoves(Collection<String> memberIds, Machines machines) {
    long now = loop.nanos();
    if (memberIds.size() < 2 || now - lastRebalancedAt < INTERVAL_NANOS) {
      return Map.of();
    }
    lastRebalancedAt = now;
    Map<String, List<String>> shards = shards(memberIds, machines);
    Comparator<String> bySize = Comparator.comparingInt(owner -> shards.get(owner).size());
    String largest = Collections.max(shards.keySet(), bySize);
    String smallest = Collections.min(shards.keySet(), bySize);
    int surplus = (shards.get(largest).size() - shards.get(smallest).size()) / 2;
    if (surplus < ClusterConstants.MIN_MACHINES_PER_REBALANCE) {
      return Map.of();
    }
    int moveCount =
        Math.max(
            ClusterConstants.MIN_MACHINES_PER_REBALANCE,
            (int) (surplus * ClusterConstants.REBALANCED_SURPLUS_SHARE));
    List<String> candidates = shards.get(largest);
    candidates.sort(byMachinesInZone(shards.get(smallest), machines.assignments()));
    Map<String, String> moves = new LinkedHashMap<>();
    candidates.stream().limit(moveCount).forEach(name -> moves.put(name, smallest));
    log.info("shards rebalanced machines={} from={} to={}", moveCount, largest, smallest);
    return moves;
  }

  private static Map<String, List<String>> shards(Collection<String> memberIds, Machines machines) {
    Map<String, List<String>> shards = new TreeMap<>();
    memberIds.forEach(member -> shards.put(member, new ArrayList<>()));
    machines
        .assignments()
        .forEach(
            (name, machine) -> {
              List<String> shard = shards.get(machine.owner());
              if (shard != null) {
                shard.add(name);
              }
            });
    return shards;
  }

  /** Orders first the machines of the zones in which the shard has the fewest machines. */
  private static Comparator<String> byMachinesInZone(
      List<String> shard, Map<String, MachineAssignment> machines) {
    Map<String, Integer> machinesInZone = new TreeMap<>();
    shard.forEach(name -> machinesInZone.merge(machines.get(name).zone(), 1, Integer::sum));
    return Comparator.comparingInt(
        name -> machinesInZone.getOrDefault(machines.get(name).zone(), 0));
  }
}

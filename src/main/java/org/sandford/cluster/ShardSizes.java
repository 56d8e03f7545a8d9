package org.sandford.cluster;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.sandford.cluster.AssignmentMap.MachineAssignment;

/** Counts the machines in each owner's shard, in total and by zone. Used for one plan. */
final class ShardSizes {
  private final Map<String, Integer> machineCountByOwner = new HashMap<>();
  private final Map<String, Integer> machineCountByOwnerAndZone = new HashMap<>();

  void add(MachineAssignment machine) {
    machineCountByOwner.merge(machine.owner(), 1, Integer::sum);
    machineCountByOwnerAndZone.merge(zoneKey(machine.owner(), machine.zone()), 1, Integer::sum);
  }

  /**
   * Returns the member with the fewest machines in the zone; on a tie, the one with the fewest in
   * total. So each shard has machines of every zone where possible.
   */
  String leastLoaded(Collection<String> members, String zone) {
    String best = "";
    int bestInZone = Integer.MAX_VALUE;
    int bestInTotal = Integer.MAX_VALUE;
    for (String member : members) {
      int inZone = machineCountByOwnerAndZone.getOrDefault(zoneKey(member, zone), 0);
      int inTotal = machineCountByOwner.getOrDefault(member, 0);
      if (inZone < bestInZone || (inZone == bestInZone && inTotal < bestInTotal)) {
        best = member;
        bestInZone = inZone;
        bestInTotal = inTotal;
      }
    }
    return best;
  }

  private static String zoneKey(String owner, String zone) {
    return owner + "/" + zone;
  }
}

package org.sandford.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ScalingConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.DecommissionMachine;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;

/**
 * Removes lost and quarantined machines from the fleet, so that scaling out replaces them.
 * Decommissioning a lost machine frees its tasks before its lease expires. Runs on the event loop,
 * on the leader.
 */
final class MachineReplacement {
  /** Number of an owner's lost machines from which on the owner itself may be partitioned. */
  private static final int PARTITIONED_OWNER_MIN_LOST = 3;

  /** Milliseconds after which a machine that is still lost may be reassigned again. */
  private static final long REASSIGN_INTERVAL_MS = 60_000;

  /** Milliseconds that the new owner has to reach a reassigned machine. */
  private static final long REASSIGN_GRACE_MS = 8_000;

  /** Milliseconds for which a reassignment is remembered. */
  private static final long REASSIGN_RETENTION_MS = 120_000;

  private final Cluster cluster;
  private final PeerLinks links;
  private final MachineSnapshots machineSnapshots;
  private final InstanceInventory inventory;
  private final UnreachableZones zones;
  private final Map<String, Long> reassignedAt = new HashMap<>();

  MachineReplacement(
      Cluster cluster,
      PeerLinks links,
      MachineSnapshots machineSnapshots,
      InstanceInventory inventory,
      UnreachableZones zones) {
    this.cluster = cluster;
    this.links = links;
    this.machineSnapshots = machineSnapshots;
    this.inventory = inventory;
    this.zones = zones;
  }

  /**
   * Decommissions lost machines and a few quarantined ones; reassigns machines of a partitioned
   * owner.
   */
  void replaceFailed(long now) {
    Map<String, MachineCount> countsByOwner = new HashMap<>();
    Map<String, MachineCount> countsByZone = new HashMap<>();
    countMachines(countsByOwner, countsByZone);
    zones.update(countsByZone, now);
    int quarantined = 0;
    List<String> lost = new ArrayList<>();
    for (MachineSnapshots.ReceivedSnapshot received : machineSnapshots.all()) {
      MachineSnapshot snapshot = received.snapshot();
      if (!machineSnapshots.isFromOwner(received)) {
        continue;
      }
      if (snapshot.state == MachineState.LOST) {
        if (!zones.mustKeepLostMachines(snapshot.zone, now)
            && !tryOtherOwner(received, countsByOwner, now)) {
          // Decommissioned without its owner: if the cloud is unavailable, the machine can still
          // return to service.
          lost.add(snapshot.machine);
        }
      } else if (snapshot.quarantined
          && snapshot.state == MachineState.UP
          && quarantined < ScalingConstants.MAX_CONCURRENT_REPLACEMENTS) {
        quarantined++;
        links.request(received.owner(), new DecommissionMachine(snapshot.machine, true));
      }
    }
    reassignedAt.values().removeIf(reassigned -> now - reassigned > REASSIGN_RETENTION_MS);
    inventory.decommission(lost);
  }

  /** Counts, by owner and by zone, the machines that came up and how many of them are lost. */
  private void countMachines(
      Map<String, MachineCount> countsByOwner, Map<String, MachineCount> countsByZone) {
    for (MachineSnapshots.ReceivedSnapshot received : machineSnapshots.all()) {
      MachineSnapshot snapshot = received.snapshot();
      if (machineSnapshots.isFromOwner(received)
          && cluster.machines().assignments().get(snapshot.machine).hasAddress()) {
        boolean lost = snapshot.state == MachineState.LOST;
        countsByOwner.computeIfAbsent(received.owner(), owner -> new MachineCount()).add(lost);
        countsByZone.computeIfAbsent(snapshot.zone, zone -> new MachineCount()).add(lost);
      }
    }
  }

  /**
   * Moves a lost machine to another owner if its owner seems partitioned; returns whether to keep
   * the machine for now. When most machines of one owner are lost, the owner is probably
   * partitioned, and another one may reach them.
   */
  private boolean tryOtherOwner(
      MachineSnapshots.ReceivedSnapshot received,
      Map<String, MachineCount> countsByOwner,
      long now) {
    String machine = received.snapshot().machine;
    Long reassigned = reassignedAt.get(machine);
    if (isPartitioned(received.owner(), countsByOwner)
        && (reassigned == null || now - reassigned > REASSIGN_INTERVAL_MS)) {
      String newOwner = memberWithFewestMachines(received.owner());
      if (!newOwner.isEmpty()) {
        reassignedAt.put(machine, now);
        cluster.moveMachine(machine, newOwner);
      }
      return true;
    }
    return reassigned != null && now - reassigned < REASSIGN_GRACE_MS;
  }

  private static boolean isPartitioned(String owner, Map<String, MachineCount> countsByOwner) {
    MachineCount count = countsByOwner.get(owner);
    return count != null
        && count.lost() >= PARTITIONED_OWNER_MIN_LOST
        && count.lost() * 2 > count.total()
        && countsByOwner.size() > 1;
  }

  /**
   * Returns the member with the fewest machines except this one, or an empty string if there is
   * none.
   */
  private String memberWithFewestMachines(String excludedLabel) {
    String best = "";
    int fewest = Integer.MAX_VALUE;
    for (String member : cluster.memberIds()) {
      if (Cluster.labelOf(member).equals(excludedLabel)) {
        continue;
      }
      int machines =
          (int)
              cluster.machines().assignments().values().stream()
                  .filter(machine -> machine.owner().equals(member))
                  .count();
      if (machines < fewest) {
        fewest = machines;
        best = member;
      }
    }
    return best;
  }
}

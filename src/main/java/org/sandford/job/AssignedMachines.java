package org.sandford.job;

import java.util.Map;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;

/**
 * Applies changes of the machines' assignment map. Processes only the differences, since the map of
 * a large cluster changes in parts, several times a second. Runs on the event loop.
 */
final class AssignedMachines {
  private final Cluster cluster;
  private final CandidateMachines candidates;
  private final UntrackedTasks untracked;
  private final PlacementLedger ledger;

  /** The map as of the last call of {@link #applyMap}. */
  private Map<String, MachineAssignment> applied = Map.of();

  AssignedMachines(
      Cluster cluster,
      CandidateMachines candidates,
      UntrackedTasks untracked,
      PlacementLedger ledger) {
    this.cluster = cluster;
    this.candidates = candidates;
    this.untracked = untracked;
    this.ledger = ledger;
  }

  /** Applies the changes of the map since the last call. */
  void applyMap() {
    Map<String, MachineAssignment> current = cluster.machines().of();
    if (current == applied) {
      return;
    }
    Map<String, MachineAssignment> before = applied;
    applied = current;
    current.forEach(
        (name, assignment) -> {
          if (!assignment.equals(before.get(name))) {
            candidates.invalidate(name);
          }
        });
    for (String name : before.keySet()) {
      if (!current.containsKey(name)) {
        removed(name);
      }
    }
  }

  /** Handles a machine that was decommissioned, and whose tasks are gone. */
  private void removed(String machine) {
    candidates.invalidate(machine);
    untracked.machineRemoved(machine);
    ledger
        .placementsOn(machine)
        .forEach(
            placement -> ledger.releaseLost(placement, PlacementLedger.LossCause.MACHINE_REMOVED));
  }
}

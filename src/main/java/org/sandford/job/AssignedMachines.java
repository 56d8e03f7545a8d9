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
  private final UntrackedTasks untrackedTasks;
  private final PlacementLedger ledger;

  /** The map as of the last call of {@link #applyAssignments}. */
  private Map<String, MachineAssignment> appliedMap = Map.of();

  AssignedMachines(
      Cluster cluster,
      CandidateMachines candidates,
      UntrackedTasks untrackedTasks,
      PlacementLedger ledger) {
    this.cluster = cluster;
    this.candidates = candidates;
    this.untrackedTasks = untrackedTasks;
    this.ledger = ledger;
  }

  /** Applies the changes of the map since the last call. */
  void applyAssignments() {
    Map<String, MachineAssignment> current = cluster.machines().assignments();
    if (current == appliedMap) {
      return;
    }
    Map<String, MachineAssignment> previous = appliedMap;
    appliedMap = current;
    current.forEach(
        (name, assignment) -> {
          if (!assignment.equals(previous.get(name))) {
            candidates.invalidate(name);
          }
        });
    for (String name : previous.keySet()) {
      if (!current.containsKey(name)) {
        handleRemoval(name);
      }
    }
  }

  /** Handles a machine that was decommissioned, and whose tasks are gone. */
  private void handleRemoval(String machine) {
    candidates.invalidate(machine);
    untrackedTasks.machineRemoved(machine);
    ledger
        .placementsOn(machine)
        .forEach(
            placement -> ledger.releaseLost(placement, PlacementLedger.LossCause.MACHINE_REMOVED));
  }
}

package org.sandford.job;

import java.util.ArrayList;
import java.util.List;
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

  /** Applies the changes of the map since the last call; returns the machines that entered it. */
  List<String> applyAssignments() {
    Map<String, MachineAssignment> current = cluster.machines().assignments();
    if (current == appliedMap) {
      return List.of();
    }
    Map<String, MachineAssignment> previous = appliedMap;
    appliedMap = current;
    List<String> added = new ArrayList<>();
    current.forEach(
        (name, assignment) -> {
          MachineAssignment before = previous.get(name);
          if (before == null) {
            added.add(name);
          }
          if (!assignment.equals(before)) {
            candidates.invalidate(name);
          }
        });
    for (String name : previous.keySet()) {
      if (!current.containsKey(name)) {
        handleRemoval(name);
      }
    }
    return added;
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

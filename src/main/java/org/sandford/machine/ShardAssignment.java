package org.sandford.machine;

import java.util.Map;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.runtime.EventLoop;

/** Updates the registry of machines from the assignment map. Runs on the event loop. */
final class ShardAssignment {
  private final EventLoop loop;
  private final Cluster cluster;
  private final MachineRegistry machines;
  private final TeamGenerations teams;
  private final MachineSnapshots snapshots;
  private final SnapshotPublisher publisher;
  private final MachineReconciler reconciler;

  ShardAssignment(
      EventLoop loop,
      Cluster cluster,
      MachineRegistry machines,
      TeamGenerations teams,
      MachineSnapshots snapshots,
      SnapshotPublisher publisher,
      MachineReconciler reconciler) {
    this.loop = loop;
    this.cluster = cluster;
    this.machines = machines;
    this.teams = teams;
    this.snapshots = snapshots;
    this.publisher = publisher;
    this.reconciler = reconciler;
  }

  /** Applies a new assignment map. */
  void applyAssignmentMap() {
    long now = loop.nanos();
    Map<String, MachineAssignment> map = cluster.machines().assignments();
    for (String name : machines.names()) {
      update(machines.get(name), map.get(name), now);
    }
    map.forEach(
        (name, assignment) -> {
          if (assignment.owner().equals(cluster.incarnationId()) && !machines.contains(name)) {
            add(name, assignment, now);
          }
        });
    teams.updateFrom(cluster.teams().assignments());
    publisher.scheduleRemovals();
  }

  private void update(Machine machine, MachineAssignment assignment, long now) {
    boolean owned =
        assignment != null
            && assignment.owner().equals(cluster.incarnationId())
            && assignment.generation() == machine.assignment().generation();
    if (!owned) {
      machines.remove(machine.name());
      publisher.markRemoved(machine.name());
    } else if (assignment.hasAddress() && !machine.assignment().hasAddress()) {
      // The machine's address is now stored, so tasks may be started on it.
      Machine successor = machine.reassigned(assignment, now);
      machines.put(successor);
      publisher.markChanged(successor);
      reconciler.reconcile(successor);
    }
  }

  private void add(String name, MachineAssignment assignment, long now) {
    Machine machine = new Machine(name, assignment, now);
    MachineSnapshots.ReceivedSnapshot former = snapshots.get(name);
    if (former != null) {
      machine.restoreFrom(former.snapshot());
    }
    machines.put(machine);
    publisher.markAdded(machine);
    reconciler.reconcile(machine);
  }
}

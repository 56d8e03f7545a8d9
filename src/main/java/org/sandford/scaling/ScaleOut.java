package org.sandford.scaling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.machine.MachineSnapshots;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;
import org.sandford.placement.CandidateMachine;
import org.sandford.settings.Settings;

/**
 * Decides which machines to provision from the cluster's demand and the current and pending
 * machines. Runs on the event loop, on the leader.
 */
final class ScaleOut {
  private final Settings.Operators operators;
  private final Cluster cluster;
  private final MachineSnapshots machineSnapshots;
  private final InstanceCatalog catalog;
  private final InstanceInventory inventory;
  private final UnreachableZones zones;
  private final ProvisionRequests requests;
  private Set<String> machinesForDemand = Set.of();

  ScaleOut(
      Settings.Operators operators,
      Cluster cluster,
      MachineSnapshots machineSnapshots,
      InstanceCatalog catalog,
      InstanceInventory inventory,
      UnreachableZones zones,
      ProvisionRequests requests) {
    this.operators = operators;
    this.cluster = cluster;
    this.machineSnapshots = machineSnapshots;
    this.catalog = catalog;
    this.inventory = inventory;
    this.zones = zones;
    this.requests = requests;
  }

  /**
   * Returns the machines on which the last plan placed waiting tasks; these must not be
   * decommissioned.
   */
  Set<String> machinesForDemand() {
    return machinesForDemand;
  }

  /** Returns how many machines of each pool to provision beyond the current and pending ones. */
  Map<InstancePool, Integer> plan(ClusterDemand demand, long now) {
    int machines =
        cluster.machines().assignments().size()
            + cluster.machinesNotInMap().size()
            + requests.pendingMachines();
    ScaleOutPlanner.Market market =
        new ScaleOutPlanner.Market(
            catalog.all(),
            operators.useSpot(),
            pool -> !zones.isUnreachable(pool.zone(), now) && !requests.isExhausted(pool, now));
    ScaleOutPlanner planner =
        new ScaleOutPlanner(
            market, currentAndPendingMachines(), operators.maxMachines() - machines);
    Map<InstancePool, Integer> machinesByPool = planner.plan(demand.current(now));
    machinesForDemand = planner.machinesForDemand();
    return machinesByPool;
  }

  /**
   * Returns the machines that run tasks now or will: up, booting, or expected from pending
   * requests.
   */
  private List<CandidateMachine> currentAndPendingMachines() {
    List<CandidateMachine> candidates = new ArrayList<>();
    for (Map.Entry<String, MachineAssignment> entry : cluster.machines().assignments().entrySet()) {
      addIfUsable(candidates, entry.getKey(), entry.getValue());
    }
    for (Cluster.NewMachine added : cluster.machinesNotInMap()) {
      if (catalog.get(added.instanceType()) != null) {
        candidates.add(
            catalog.candidate(added.name(), added.instanceType(), added.zone(), added.spot()));
      }
    }
    requests.addPendingTo(candidates, catalog);
    return candidates;
  }

  private void addIfUsable(
      List<CandidateMachine> candidates, String name, MachineAssignment assignment) {
    if (catalog.get(assignment.instanceType()) == null || inventory.isDecommissioning(name)) {
      return;
    }
    CandidateMachine candidate =
        catalog.candidate(name, assignment.instanceType(), assignment.zone(), assignment.spot());
    MachineSnapshots.ReceivedSnapshot received = machineSnapshots.get(name);
    if (assignment.hasAddress() && received != null) {
      MachineSnapshot snapshot = received.snapshot();
      boolean up = snapshot.state == MachineState.UP || snapshot.state == MachineState.RECONCILING;
      if (!up || snapshot.quarantined || snapshot.draining) {
        return;
      }
      for (TaskSnapshot task : snapshot.tasks) {
        if (task.state != TaskState.EXITED) {
          candidate.allocate(task.cpus, task.gpus, task.ram);
        }
      }
    }
    candidates.add(candidate);
  }
}

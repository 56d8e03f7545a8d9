package org.sandford.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.sandford.cloud.CloudClient;
import org.sandford.cloud.CloudClient.ListedInstance;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ScalingConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.TaskState;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the assignment map with the cloud's machines: adds listed machines to the map and
 * removes decommissioned ones. A machine is removed only when the cloud has confirmed that it is
 * gone, since removal frees its tasks. Runs on the event loop, on the leader.
 */
final class InstanceInventory {
  private static final Logger log = LoggerFactory.getLogger(InstanceInventory.class);

  private final EventLoop loop;
  private final Cluster cluster;
  private final CloudClient cloud;
  private final MachineSnapshots machineSnapshots;
  private final InstanceCatalog catalog;
  private final UnlistedMachines unlistedMachines;

  /** When each machine was removed; a stale list may still show it. */
  private final Map<String, Long> removedAt = new HashMap<>();

  private final Set<String> decommissioning = new HashSet<>();
  private boolean listing;
  private OptionalLong listedAt = OptionalLong.empty();
  private boolean cloudAvailable;

  /**
   * Creates an inventory that has read no list.
   *
   * @param listLagS the nominal lag of the cloud's list in seconds, or 0 if it is not known
   */
  InstanceInventory(
      EventLoop loop,
      double listLagS,
      Cluster cluster,
      CloudClient cloud,
      MachineSnapshots machineSnapshots,
      InstanceCatalog catalog) {
    this.loop = loop;
    this.cluster = cluster;
    this.cloud = cloud;
    this.machineSnapshots = machineSnapshots;
    this.catalog = catalog;
    this.unlistedMachines = new UnlistedMachines(cluster, catalog, listLagS);
  }

  /** Whether the last list or decommissioning request succeeded. */
  boolean isCloudAvailable() {
    return cloudAvailable;
  }

  /** Whether a request to decommission the machine is in flight or waits for its retry. */
  boolean isDecommissioning(String machine) {
    return decommissioning.contains(machine);
  }

  /** Lists the cloud's machines if the last list is stale, and forgets old removals. */
  void refresh(long now) {
    if (!listing && isListOld(now)) {
      listInstances();
    }
    removedAt
        .values()
        .removeIf(removed -> now - removed > ScalingConstants.REMOVED_MACHINE_RETENTION_S * 1000);
  }

  private boolean isListOld(long now) {
    return listedAt.isEmpty() || now - listedAt.getAsLong() > ScalingConstants.MACHINE_LIST_POLL_MS;
  }

  private void listInstances() {
    listing = true;
    long requestedAt = loop.millis();
    unlistedMachines.listRequested(requestedAt);
    cloud.list(
        instances -> {
          listing = false;
          cloudAvailable = instances != null;
          listedAt = OptionalLong.of(loop.millis());
          if (instances != null && cluster.isLeader()) {
            instances.forEach(this::reconcile);
            decommissionTerminated(instances, requestedAt);
          }
        });
  }

  private void reconcile(ListedInstance instance) {
    MachineAssignment assignment = cluster.machines().assignments().get(instance.name());
    if (instance.status().equals("failed")) {
      decommission(List.of(instance.name()));
      return;
    }
    if (removedAt.containsKey(instance.name()) || decommissioning.contains(instance.name())) {
      return;
    }
    boolean running = instance.status().equals("running");
    boolean withoutAddress = assignment == null || !assignment.hasAddress();
    if (assignment == null || (withoutAddress && running)) {
      cluster.addMachine(
          new Cluster.NewMachine(
              instance.name(),
              running ? instance.address() : "",
              instance.instanceType(),
              instance.zone(),
              instance.spot()));
    }
    if (!running && withoutAddress && hasBootTimedOut(instance)) {
      log.info("machine never came up machine={} zone={}", instance.name(), instance.zone());
      decommission(List.of(instance.name()));
    }
  }

  private boolean hasBootTimedOut(ListedInstance instance) {
    return instance.ageS() > catalog.bootTimeoutS(instance.instanceType());
  }

  /**
   * Decommissions machines that no longer exist, which costs nothing: the cloud's answer confirms
   * that they are gone, as for every other removal.
   */
  private void decommissionTerminated(List<ListedInstance> instances, long requestedAt) {
    List<String> terminated =
        unlistedMachines.findTerminated(instances, requestedAt).stream()
            .filter(machine -> !removedAt.containsKey(machine) && !isDecommissioning(machine))
            .toList();
    if (!terminated.isEmpty()) {
      log.info("machines gone before they came up machines={}", terminated);
      decommission(terminated);
    }
  }

  /**
   * Asks the cloud to decommission machines, at most as many as one request allows; the next call
   * handles the rest. A failed request may be repeated after a delay.
   */
  void decommission(List<String> machines) {
    List<String> requested =
        machines.stream()
            .filter(decommissioning::add)
            .limit(ScalingConstants.MAX_DECOMMISSIONED_PER_REQUEST)
            .toList();
    if (requested.isEmpty()) {
      return;
    }
    cloud.decommission(
        requested,
        decommissioned -> {
          cloudAvailable = decommissioned;
          if (decommissioned) {
            requested.forEach(decommissioning::remove);
            log.info("machines decommissioned machines={}", requested);
            requested.forEach(this::remove);
          } else {
            loop.after(
                ScalingConstants.DECOMMISSION_RETRY_MS,
                () -> requested.forEach(decommissioning::remove));
          }
        });
  }

  private void remove(String machine) {
    removedAt.put(machine, loop.millis());
    cluster.removeMachine(machine, holdsTasks(machine));
  }

  private boolean holdsTasks(String machine) {
    MachineSnapshots.ReceivedSnapshot received = machineSnapshots.get(machine);
    return received != null
        && received.snapshot().tasks.stream().anyMatch(task -> task.state != TaskState.EXITED);
  }

  /** Decommissions the machines that their owners have released. */
  void decommissionReleased() {
    List<String> released = new ArrayList<>();
    for (MachineSnapshots.ReceivedSnapshot received : machineSnapshots.all()) {
      if (received.snapshot().state == MachineState.DECOMMISSIONED
          && machineSnapshots.isFromOwner(received)) {
        released.add(received.snapshot().machine);
      }
    }
    decommission(released);
  }
}

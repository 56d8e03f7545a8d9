package org.sandford.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.sandford.cloud.InstanceType;
import org.sandford.constants.PlacementConstants;
import org.sandford.constants.ScalingConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.machine.MachineSnapshots.ReceivedSnapshot;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.DrainMachine;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;
import org.sandford.placement.CandidateMachine;

/**
 * Drains machines whose tasks fit on other machines. Services run for long, so a fleet that grew
 * for a burst would otherwise stay up for a few services on each machine. Runs on the event loop,
 * on the leader.
 */
final class Drain {
  private final PeerLinks links;
  private final MachineSnapshots machineSnapshots;
  private final InstanceCatalog catalog;
  private final Map<String, Long> drainingSince = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();

  Drain(PeerLinks links, MachineSnapshots machineSnapshots, InstanceCatalog catalog) {
    this.links = links;
    this.machineSnapshots = machineSnapshots;
    this.catalog = catalog;
  }

  /** The machines that are up, and those of them with little work. */
  private static final class Fleet {
    final Map<String, CandidateMachine> candidates = new LinkedHashMap<>();
    final Map<String, Integer> onDemandByZone = new HashMap<>();
    final List<ReceivedSnapshot> drainable = new ArrayList<>();
    double totalCpus;
    int draining;

    int maxConcurrentDrains() {
      return Math.max(
          ScalingConstants.MIN_CONCURRENT_DRAINS,
          (int) (candidates.size() * ScalingConstants.CONCURRENT_DRAIN_SHARE));
    }

    /** Whether the machine is the last on-demand one of its zone, which must stay. */
    boolean isLastOnDemandInZone(MachineSnapshot snapshot) {
      return !snapshot.spot && onDemandByZone.get(snapshot.zone) <= 1;
    }
  }

  /**
   * Cancels drains that take too long. Starts at most one drain, on the machine with the highest
   * price per used CPU, unless the fleet is growing.
   *
   * @param isGrowing whether anything waits for resources or machines are being provisioned
   */
  void run(long now, BooleanSupplier isGrowing) {
    drainingSince.keySet().removeIf(machine -> !isDraining(machine));
    Fleet fleet = measureFleet(now);
    cancelledAt.keySet().removeIf(machine -> machineSnapshots.get(machine) == null);
    if (fleet.draining >= fleet.maxConcurrentDrains() || isGrowing.getAsBoolean()) {
      return;
    }
    fleet.drainable.sort(
        Comparator.comparingDouble(
            (ReceivedSnapshot received) ->
                -pricePerUsedCpu(fleet.candidates.get(received.snapshot().machine))));
    for (ReceivedSnapshot received : fleet.drainable) {
      MachineSnapshot snapshot = received.snapshot();
      if (!fleet.isLastOnDemandInZone(snapshot) && fitsElsewhere(snapshot, fleet)) {
        drainingSince.put(snapshot.machine, now);
        links.request(received.owner(), new DrainMachine(snapshot.machine, true));
        return;
      }
    }
  }

  private boolean isDraining(String machine) {
    ReceivedSnapshot received = machineSnapshots.get(machine);
    return received != null && received.snapshot().draining;
  }

  private Fleet measureFleet(long now) {
    Fleet fleet = new Fleet();
    for (ReceivedSnapshot received : machineSnapshots.all()) {
      MachineSnapshot snapshot = received.snapshot();
      InstanceType instanceType = catalog.get(snapshot.instanceType);
      if (snapshot.state != MachineState.UP
          || instanceType == null
          || snapshot.quarantined
          || !machineSnapshots.isFromOwner(received)) {
        continue;
      }
      if (snapshot.draining) {
        fleet.draining++;
        cancelIfOverdue(received, now);
      } else {
        addToFleet(received, fleet, now);
      }
    }
    return fleet;
  }

  private void cancelIfOverdue(ReceivedSnapshot received, long now) {
    String machine = received.snapshot().machine;
    long since = drainingSince.computeIfAbsent(machine, name -> now);
    if (now - since > ScalingConstants.DRAIN_TIMEOUT_MS) {
      links.request(received.owner(), new DrainMachine(machine, false));
      cancelledAt.put(machine, now);
    }
  }

  private void addToFleet(ReceivedSnapshot received, Fleet fleet, long now) {
    MachineSnapshot snapshot = received.snapshot();
    CandidateMachine candidate =
        catalog.candidate(snapshot.machine, snapshot.instanceType, snapshot.zone, snapshot.spot);
    double used = 0;
    for (TaskSnapshot task : snapshot.tasks) {
      if (task.state != TaskState.EXITED) {
        candidate.allocate(task.cpus, task.gpus, task.ram);
        used += task.cpus;
      }
    }
    fleet.candidates.put(snapshot.machine, candidate);
    fleet.totalCpus += candidate.cpus;
    if (!snapshot.spot) {
      fleet.onDemandByZone.merge(snapshot.zone, 1, Integer::sum);
    }
    boolean underutilized =
        used > 0 && used <= candidate.cpus * ScalingConstants.DRAIN_BELOW_UTILIZATION;
    if (underutilized && !wasCancelledRecently(snapshot.machine, now)) {
      fleet.drainable.add(received);
    }
  }

  private boolean wasCancelledRecently(String machine, long now) {
    Long cancelled = cancelledAt.get(machine);
    return cancelled != null && now - cancelled <= 2L * ScalingConstants.DRAIN_TIMEOUT_MS;
  }

  private double pricePerUsedCpu(CandidateMachine candidate) {
    return catalog.get(candidate.instanceType).price(candidate.spot)
        / (candidate.cpus - candidate.freeCpus);
  }

  /** Whether the machine's tasks fit on other machines of its zone and leave the headroom free. */
  private static boolean fitsElsewhere(MachineSnapshot snapshot, Fleet fleet) {
    List<FreeResources> others = new ArrayList<>();
    double freeCpus = 0;
    for (CandidateMachine candidate : fleet.candidates.values()) {
      if (!candidate.machine.equals(snapshot.machine)) {
        freeCpus += candidate.freeCpus;
        if (candidate.zone.equals(snapshot.zone) && (snapshot.spot || !candidate.spot)) {
          others.add(new FreeResources(candidate));
        }
      }
    }
    for (TaskSnapshot task : snapshot.tasks) {
      if (task.state == TaskState.EXITED) {
        continue;
      }
      if (!allocateFirstFit(task, others)) {
        return false;
      }
      freeCpus -= task.cpus;
    }
    double remainingCpus = fleet.totalCpus - fleet.candidates.get(snapshot.machine).cpus;
    return freeCpus >= ScalingConstants.HEADROOM_SHARE * remainingCpus;
  }

  private static boolean allocateFirstFit(TaskSnapshot task, List<FreeResources> machines) {
    for (FreeResources machine : machines) {
      if (machine.fits(task)) {
        machine.allocate(task);
        return true;
      }
    }
    return false;
  }

  /** The free resources of a machine during a trial placement. */
  private static final class FreeResources {
    private double cpus;
    private double gpus;
    private double ram;

    FreeResources(CandidateMachine candidate) {
      cpus = candidate.freeCpus;
      gpus = candidate.freeGpus;
      ram = candidate.freeRam;
    }

    boolean fits(TaskSnapshot task) {
      return task.cpus <= cpus + PlacementConstants.RESOURCE_EPSILON
          && task.gpus <= gpus + PlacementConstants.RESOURCE_EPSILON
          && task.ram <= ram + PlacementConstants.RESOURCE_EPSILON;
    }

    void allocate(TaskSnapshot task) {
      cpus -= task.cpus;
      gpus -= task.gpus;
      ram -= task.ram;
    }
  }

  /**
   * Cancels all drains, which frees capacity sooner and cheaper than provisioning machines.
   *
   * @return whether any machine was draining
   */
  boolean cancelAll() {
    boolean anyCancelled = false;
    for (ReceivedSnapshot received : machineSnapshots.all()) {
      MachineSnapshot snapshot = received.snapshot();
      if (snapshot.draining
          && snapshot.state == MachineState.UP
          && machineSnapshots.isFromOwner(received)) {
        links.request(received.owner(), new DrainMachine(snapshot.machine, false));
        anyCancelled = true;
      }
    }
    return anyCancelled;
  }
}

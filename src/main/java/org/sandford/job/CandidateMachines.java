package org.sandford.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.sandford.cloud.InstanceType;
import org.sandford.cluster.Cluster;
import org.sandford.machine.MachineSnapshots;
import org.sandford.machine.MachineSnapshots.ReceivedSnapshot;
import org.sandford.model.JobSpec;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;
import org.sandford.placement.CandidateMachine;

/**
 * The free resources of all machines, and the placements of this controller's jobs by machine. Only
 * machines that changed are recomputed: to recompute all of them costs more than a plan. Runs on
 * the event loop.
 */
final class CandidateMachines {
  private final MachineSnapshots machineSnapshots;
  private final Cluster cluster;
  private final PeerLinks links;
  private final String ownLabel;
  private final Function<String, InstanceType> instanceTypeByName;
  private final Map<String, CandidateMachine> candidates = new TreeMap<>();
  private final Map<String, Set<TaskPlacement>> placementsByMachine = new HashMap<>();
  private final Set<String> staleMachines = new LinkedHashSet<>();
  private long capacityGrowthCount;

  CandidateMachines(
      MachineSnapshots machineSnapshots,
      Cluster cluster,
      PeerLinks links,
      String ownLabel,
      Function<String, InstanceType> instanceTypeByName) {
    this.machineSnapshots = machineSnapshots;
    this.cluster = cluster;
    this.links = links;
    this.ownLabel = ownLabel;
    this.instanceTypeByName = instanceTypeByName;
  }

  /** Marks the machine's free resources to be recomputed. */
  void invalidate(String machine) {
    staleMachines.add(machine);
  }

  /** Marks the free resources of all machines to be recomputed. */
  void invalidateAll() {
    staleMachines.addAll(candidates.keySet());
    machineSnapshots.all().forEach(received -> staleMachines.add(received.snapshot().machine));
  }

  /** Deducts the placement's resources from its machine, reported by the owner or not. */
  void addPlacement(TaskPlacement placement) {
    placementsByMachine
        .computeIfAbsent(placement.machine, machine -> new LinkedHashSet<>())
        .add(placement);
    staleMachines.add(placement.machine);
  }

  /** Stops deducting the placement's resources beyond those in its machine's snapshot. */
  void removePlacement(TaskPlacement placement) {
    Set<TaskPlacement> onMachine = placementsByMachine.get(placement.machine);
    if (onMachine != null && onMachine.remove(placement)) {
      if (onMachine.isEmpty()) {
        placementsByMachine.remove(placement.machine);
      }
      staleMachines.add(placement.machine);
    }
  }

  /** Returns the attempts of this controller's jobs that are or may be on the machine. */
  List<TaskPlacement> placementsOn(String machine) {
    Set<TaskPlacement> onMachine = placementsByMachine.get(machine);
    return onMachine == null ? List.of() : new ArrayList<>(onMachine);
  }

  /**
   * Returns a counter that rises whenever free resources may have grown. A job that could not be
   * placed need not be tried again while the counter is unchanged.
   */
  long capacityGrowthCount() {
    refresh();
    return capacityGrowthCount;
  }

  /** Returns the machines that accept tasks and whose owner accepts requests at present. */
  List<CandidateMachine> usable() {
    refresh();
    Map<String, Boolean> ownerAcceptsRequests = new HashMap<>();
    List<CandidateMachine> usable = new ArrayList<>(candidates.size());
    for (CandidateMachine candidate : candidates.values()) {
      if (ownerAcceptsRequests.computeIfAbsent(
          candidate.ownerLabel,
          owner -> links.isLive(owner) && machineSnapshots.isOwnerLeaseValid(owner))) {
        usable.add(candidate);
      }
    }
    return usable;
  }

  private void refresh() {
    List<String> machinesOfUnknownType = new ArrayList<>();
    for (String machine : staleMachines) {
      CandidateMachine before = candidates.remove(machine);
      ReceivedSnapshot received = machineSnapshots.get(machine);
      if (received == null) {
        continue;
      }
      InstanceType instanceType = instanceTypeByName.apply(received.snapshot().instanceType);
      if (instanceType == null) {
        // The cloud has not listed its instance types yet.
        machinesOfUnknownType.add(machine);
      } else if (acceptsTasks(received)) {
        CandidateMachine now = candidateFrom(received, instanceType);
        candidates.put(machine, now);
        capacityGrowthCount += hasGrown(before, now) ? 1 : 0;
      }
    }
    staleMachines.clear();
    staleMachines.addAll(machinesOfUnknownType);
  }

  /** Returns whether free resources grew; {@code before} is null for a new candidate. */
  private static boolean hasGrown(CandidateMachine before, CandidateMachine now) {
    return before == null
        || now.freeCpus > before.freeCpus
        || now.freeGpus > before.freeGpus
        || now.freeRam > before.freeRam;
  }

  /** Returns whether the machine accepts tasks and the sizes of all its tasks are known. */
  private boolean acceptsTasks(ReceivedSnapshot received) {
    MachineSnapshot snapshot = received.snapshot();
    return snapshot.state == MachineState.UP
        && !snapshot.quarantined
        && !snapshot.draining
        && machineSnapshots.isFromOwner(received)
        && cluster.machines().assignments().get(snapshot.machine).hasAddress()
        && allTasksDescribed(snapshot);
  }

  private static boolean allTasksDescribed(MachineSnapshot snapshot) {
    for (TaskSnapshot task : snapshot.tasks) {
      if (task.state != TaskState.EXITED && !task.described) {
        return false;
      }
    }
    return true;
  }

  private CandidateMachine candidateFrom(ReceivedSnapshot received, InstanceType instanceType) {
    MachineSnapshot snapshot = received.snapshot();
    CandidateMachine candidate =
        new CandidateMachine(
            snapshot.machine,
            received.owner(),
            snapshot.instanceType,
            snapshot.zone,
            snapshot.spot,
            received.owner().equals(ownLabel),
            instanceType.cpus(),
            instanceType.gpus(),
            instanceType.ramGb());
    candidate.images = Set.copyOf(snapshot.images);
    if (!snapshot.reservations.isEmpty()) {
      candidate.reservations = reservationsOf(snapshot);
    }
    deductUsed(candidate, snapshot);
    return candidate;
  }

  private static List<CandidateMachine.Reservation> reservationsOf(MachineSnapshot snapshot) {
    return snapshot.reservations.stream()
        .map(
            reservation ->
                new CandidateMachine.Reservation(
                    reservation.forJob,
                    reservation.rank,
                    reservation.acceptedAt,
                    reservation.cpus,
                    reservation.gpus,
                    reservation.ram))
        .toList();
  }

  /** Deducts the use of reported tasks and of placements that the owner does not report yet. */
  private void deductUsed(CandidateMachine candidate, MachineSnapshot snapshot) {
    Set<TaskPlacement> placements = placementsByMachine.getOrDefault(snapshot.machine, Set.of());
    Set<AttemptId> reported = placements.isEmpty() ? Set.of() : new HashSet<>();
    for (TaskSnapshot task : snapshot.tasks) {
      if (task.state == TaskState.EXITED) {
        continue;
      }
      candidate.allocate(task.cpus, task.gpus, task.ram);
      if (!placements.isEmpty()) {
        reported.add(AttemptId.of(task));
      }
    }
    for (TaskPlacement placement : placements) {
      if (!reported.contains(AttemptId.of(placement))) {
        JobSpec spec = placement.job.spec;
        candidate.allocate(spec.cpus(), spec.gpus(), spec.ramGb());
      }
    }
  }
}

package org.sandford.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sandford.cloud.InstanceType;
import org.sandford.constants.ScalingConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.machine.MachineSnapshots.ReceivedSnapshot;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.DecommissionMachine;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;
import org.sandford.settings.Settings;

/**
 * Asks owners to release machines that have been idle for long, the most expensive first, while
 * enough headroom remains. Runs on the event loop, on the leader.
 */
final class ScaleIn {
  private final Settings.Operators operators;
  private final PeerLinks links;
  private final MachineSnapshots machineSnapshots;
  private final InstanceCatalog catalog;

  /** When each idle machine was first seen idle; snapshots arrive only on changes. */
  private final Map<String, Long> idleSince = new HashMap<>();

  ScaleIn(
      Settings.Operators operators,
      PeerLinks links,
      MachineSnapshots machineSnapshots,
      InstanceCatalog catalog) {
    this.operators = operators;
    this.links = links;
    this.machineSnapshots = machineSnapshots;
    this.catalog = catalog;
  }

  /** The CPUs of the machines that are up, and the idle machines that may be released. */
  private static final class Usage {
    double totalCpus;
    double freeCpus;
    final Map<String, Integer> onDemandByZone = new HashMap<>();
    final List<ReceivedSnapshot> idle = new ArrayList<>();
  }

  /** Releases idle machines except those on which the last scale-out plan placed tasks. */
  void releaseIdle(Set<String> machinesForDemand, long now) {
    Usage usage = measure(now);
    double headroom = ScalingConstants.HEADROOM_SHARE * usage.totalCpus;
    usage.idle.sort(Comparator.comparingDouble((ReceivedSnapshot idle) -> -pricePerCpu(idle)));
    for (ReceivedSnapshot received : usage.idle) {
      MachineSnapshot snapshot = received.snapshot();
      double cpus = catalog.get(snapshot.instanceType).cpus();
      boolean lastOnDemandInZone =
          !snapshot.spot && usage.onDemandByZone.getOrDefault(snapshot.zone, 0) <= 1;
      if (lastOnDemandInZone
          || usage.freeCpus - cpus < headroom
          || machinesForDemand.contains(snapshot.machine)) {
        continue;
      }
      usage.freeCpus -= cpus;
      if (!snapshot.spot) {
        usage.onDemandByZone.merge(snapshot.zone, -1, Integer::sum);
      }
      links.request(received.owner(), new DecommissionMachine(snapshot.machine, false));
    }
  }

  private Usage measure(long now) {
    Usage usage = new Usage();
    idleSince.keySet().removeIf(machine -> machineSnapshots.get(machine) == null);
    for (ReceivedSnapshot received : machineSnapshots.all()) {
      MachineSnapshot snapshot = received.snapshot();
      InstanceType instanceType = catalog.get(snapshot.instanceType);
      if (snapshot.state != MachineState.UP
          || instanceType == null
          || !machineSnapshots.isFromOwner(received)) {
        continue;
      }
      double used = 0;
      for (TaskSnapshot task : snapshot.tasks) {
        used += task.state == TaskState.EXITED ? 0 : task.cpus;
      }
      usage.totalCpus += instanceType.cpus();
      usage.freeCpus += instanceType.cpus() - used;
      if (!snapshot.spot) {
        usage.onDemandByZone.merge(snapshot.zone, 1, Integer::sum);
      }
      if (isIdle(snapshot)
          && (snapshot.draining || idleSeconds(snapshot, now) > operators.idleDecommissionS())) {
        usage.idle.add(received);
      }
    }
    return usage;
  }

  private static boolean isIdle(MachineSnapshot snapshot) {
    return snapshot.tasks.stream().allMatch(task -> task.state == TaskState.EXITED);
  }

  private double idleSeconds(MachineSnapshot idle, long now) {
    return (now - idleSince.computeIfAbsent(idle.machine, machine -> now)) / 1000.0;
  }

  private double pricePerCpu(ReceivedSnapshot received) {
    InstanceType instanceType = catalog.get(received.snapshot().instanceType);
    return instanceType.price(received.snapshot().spot) / instanceType.cpus();
  }
}

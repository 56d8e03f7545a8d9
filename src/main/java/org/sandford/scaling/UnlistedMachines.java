package org.sandford.scaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sandford.cloud.CloudClient.ListedInstance;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ScalingConstants;

/**
 * Finds machines of the assignment map that were taken back before they came up. The cloud lists a
 * machine from some time after its rental until it is gone, so a machine that is older than the
 * list's greatest lag and that the list lacks no longer exists.
 *
 * <p>Concerns only machines without an address: they never ran a task. A machine with an address
 * may be missing from a list for any reason, and is left to the detection of lost machines. Runs on
 * the event loop, on the leader.
 */
final class UnlistedMachines {
  private final Cluster cluster;
  private final InstanceCatalog catalog;
  private final double listLagS;

  /**
   * When each machine without an address was first known here, at the request of a list; it was
   * rented before.
   */
  private final Map<String, Long> knownSince = new HashMap<>();

  /**
   * Creates an instance that knows no machine.
   *
   * @param listLagS the nominal lag of the cloud's list in seconds, or 0 if it is not known
   */
  UnlistedMachines(Cluster cluster, InstanceCatalog catalog, double listLagS) {
    this.cluster = cluster;
    this.catalog = catalog;
    this.listLagS = listLagS;
  }

  /** Records the machines that have no address when a list is requested. */
  void listRequested(long now) {
    Map<String, MachineAssignment> assignments = cluster.machines().assignments();
    knownSince.keySet().removeIf(machine -> !hasNoAddress(assignments.get(machine)));
    assignments.forEach(
        (machine, assignment) -> {
          if (hasNoAddress(assignment)) {
            knownSince.putIfAbsent(machine, now);
          }
        });
  }

  /**
   * Returns the machines that no longer exist.
   *
   * @param instances the whole list, of all pages
   * @param requestedAt when its first page was requested; the list may describe a time before that
   */
  List<String> findTerminated(Collection<ListedInstance> instances, long requestedAt) {
    Set<String> listed = new HashSet<>();
    instances.forEach(instance -> listed.add(instance.name()));
    return knownSince.keySet().stream()
        .filter(machine -> !listed.contains(machine) && mustBeListed(machine, requestedAt))
        .sorted()
        .toList();
  }

  private boolean mustBeListed(String machine, long requestedAt) {
    MachineAssignment assignment = cluster.machines().assignments().get(machine);
    return hasNoAddress(assignment)
        && !cluster.hasPendingAddress(machine)
        && requestedAt - knownSince.get(machine) > maxLagMs(assignment);
  }

  /** Returns the time after which a list shows a machine: the greatest lag, or the longest boot. */
  private double maxLagMs(MachineAssignment assignment) {
    double maxLagS =
        listLagS > 0
            ? listLagS * ScalingConstants.MACHINE_LIST_MAX_LAG_FACTOR
            : catalog.bootTimeoutS(assignment.instanceType());
    return maxLagS * 1000;
  }

  private static boolean hasNoAddress(MachineAssignment assignment) {
    return assignment != null && !assignment.hasAddress();
  }
}

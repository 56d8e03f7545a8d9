package org.sandford.placement;

import java.util.Map;
import java.util.Set;
import org.sandford.constants.PlacementConstants;

/**
 * The placement request for equivalent tasks of one job. The amounts are those of one task.
 *
 * @param job the job, for which resources may be reserved
 * @param rank its rank; lower ranks go first
 * @param acceptedAt when it was accepted; within a rank, earlier jobs go first
 * @param allowedInstanceTypes allowed instance types; empty for any
 * @param zone the only allowed zone, or empty
 * @param service whether its tasks are replicas, which spread evenly over zones
 * @param gang whether its tasks start together, so that the slowest image fetch delays all
 * @param totalTasks tasks of the whole job, which determine {@link #maxTasksPerZone}
 * @param tasksByZone tasks of the job that are, or may be, on machines, by zone
 * @param machinesInUse machines that hold tasks of the job
 * @param avoidedMachines machines that this job must not use
 * @param image the image that a machine needs before a task can run
 */
public record ResourceRequest(
    String job,
    int rank,
    long acceptedAt,
    double cpus,
    double gpus,
    double ram,
    Set<String> allowedInstanceTypes,
    String zone,
    boolean spotAllowed,
    boolean sameZone,
    boolean spreadAcrossZones,
    boolean service,
    boolean gang,
    int totalTasks,
    Map<String, Integer> tasksByZone,
    Set<String> machinesInUse,
    Set<String> avoidedMachines,
    String image) {

  /**
   * Whether the job allows the machine's instance type, zone and price model and does not avoid the
   * machine; resources are not checked.
   */
  public boolean allows(CandidateMachine candidate) {
    return (allowedInstanceTypes.isEmpty() || allowedInstanceTypes.contains(candidate.instanceType))
        && (zone.isEmpty() || zone.equals(candidate.zone))
        && (spotAllowed || !candidate.spot)
        && !avoidedMachines.contains(candidate.machine);
  }

  /**
   * Whether the first job must leave reserved resources to the second, by rank, then by acceptance.
   * All controllers use the same order, so reservations of two jobs cannot deadlock.
   */
  public static boolean yieldsTo(
      int rank, long acceptedAt, String job, int otherRank, long otherAcceptedAt, String otherJob) {
    if (rank != otherRank) {
      return rank > otherRank;
    }
    return acceptedAt != otherAcceptedAt
        ? acceptedAt > otherAcceptedAt
        : job.compareTo(otherJob) > 0;
  }

  /**
   * Whether a machine with a cached image is preferred in any shard, since users or other tasks
   * wait for the slowest fetch.
   */
  public boolean prefersCachedImage() {
    return service || gang;
  }

  /** Returns the same request with only one zone allowed. */
  public ResourceRequest restrictedToZone(String onlyZone) {
    return new ResourceRequest(
        job,
        rank,
        acceptedAt,
        cpus,
        gpus,
        ram,
        allowedInstanceTypes,
        onlyZone,
        spotAllowed,
        sameZone,
        spreadAcrossZones,
        service,
        gang,
        totalTasks,
        tasksByZone,
        machinesInUse,
        avoidedMachines,
        image);
  }

  /** Returns how many of the tasks fit into the machine's unreserved free resources. */
  public int countFitting(CandidateMachine candidate) {
    double epsilon = PlacementConstants.RESOURCE_EPSILON;
    double[] reserved = candidate.reservedForOthers(this);
    double fitting = Integer.MAX_VALUE;
    if (cpus > 0) {
      fitting = Math.min(fitting, (candidate.freeCpus - reserved[0] + epsilon) / cpus);
    }
    if (gpus > 0) {
      fitting = Math.min(fitting, (candidate.freeGpus - reserved[1] + epsilon) / gpus);
    }
    if (ram > 0) {
      fitting = Math.min(fitting, (candidate.freeRam - reserved[2] + epsilon) / ram);
    }
    return (int) Math.max(0, Math.floor(fitting));
  }

  /** Returns how many tasks of the job one zone may hold: half, rounded up, if they must spread. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (totalTasks + 1) / 2 : Integer.MAX_VALUE;
  }
}

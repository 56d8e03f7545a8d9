package org.sandford.placement;

import java.util.Map;
import java.util.Set;
import org.sandford.constants.PlacementConstants;

/**
 * The equivalent tasks of one job that are to be placed, with what each of them needs.
 *
 * @param job the job, for which resources may be reserved
 * @param rank its rank; the lower go first
 * @param acceptedAt when it was accepted; of one rank, the earlier go first
 * @param allowedInstanceTypes allowed instance types; empty for any
 * @param zone the only allowed zone, or empty
 * @param service its tasks are replicas, which spread evenly over zones
 * @param gang its tasks start together, so the last image that arrives sets the pace
 * @param totalTasks tasks of the whole job, from which the most tasks of a zone follow
 * @param tasksByZone tasks of the job by zone that are, or may be, on machines
 * @param machinesInUse machines that hold tasks of the job
 * @param avoidedMachines machines that this job must not use
 * @param image the image that a machine must have before a task can run
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

  /** Whether the job allows the machine's instance type, zone and price model; resources aside. */
  public boolean allows(CandidateMachine candidate) {
    return (allowedInstanceTypes.isEmpty() || allowedInstanceTypes.contains(candidate.instanceType))
        && (zone.isEmpty() || zone.equals(candidate.zone))
        && (spotAllowed || !candidate.spot)
        && !avoidedMachines.contains(candidate.machine);
  }

  /**
   * Whether the first job has to leave reserved resources to the second: by rank, then by arrival.
   * It is the same order everywhere, so two jobs cannot hold for ever what the other lacks.
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
   * Whether its tasks start the sooner the sooner all have their image, so that a warm machine
   * anywhere is best.
   */
  public boolean prefersCachedImage() {
    return service || gang;
  }

  /** The same with only one zone allowed. */
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

  /** How many of the tasks fit into the machine's free resources. */
  public int countFitting(CandidateMachine candidate) {
    double epsilon = PlacementConstants.EPSILON;
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

  /** Tasks of a scattered job that one zone may hold. */
  public int maxTasksPerZone() {
    return spreadAcrossZones ? (totalTasks + 1) / 2 : Integer.MAX_VALUE;
  }
}

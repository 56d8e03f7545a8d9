package org.sandford.placement;

import java.util.List;
import java.util.Set;

/**
 * A machine with its attributes and free resources, as input to placement. Planning allocates
 * resources from it, so a candidate is valid for one planning round. CPUs and accelerators are
 * counts, memory is in GB.
 */
public final class CandidateMachine {
  /** Resources reserved for a job against all jobs that go after it. */
  public record Reservation(
      String job, int rank, long acceptedAt, double cpus, double gpus, double ram) {}

  private static final double[] NO_RESOURCES = new double[3];

  public final String machine;
  public final String ownerLabel;
  public final String instanceType;
  public final String zone;
  public final boolean spot;
  public final boolean ownedLocally;
  public final double cpus;
  public final double gpus;
  public final double ram;

  /** Images known to be cached on the machine. */
  public Set<String> images = Set.of();

  /** Resources of this machine that are reserved for jobs. */
  public List<Reservation> reservations = List.of();

  public double freeCpus;
  public double freeGpus;
  public double freeRam;

  /**
   * Creates a machine whose resources are all free.
   *
   * @param ownerLabel label of the controller that owns it
   * @param ownedLocally whether this controller owns it
   */
  public CandidateMachine(
      String machine,
      String ownerLabel,
      String instanceType,
      String zone,
      boolean spot,
      boolean ownedLocally,
      double cpus,
      double gpus,
      double ram) {
    this.machine = machine;
    this.ownerLabel = ownerLabel;
    this.instanceType = instanceType;
    this.zone = zone;
    this.spot = spot;
    this.ownedLocally = ownedLocally;
    this.cpus = cpus;
    this.gpus = gpus;
    this.ram = ram;
    this.freeCpus = cpus;
    this.freeGpus = gpus;
    this.freeRam = ram;
  }

  /**
   * Returns the CPUs, accelerators and memory that are reserved for jobs that go before this one.
   */
  public double[] reservedForOthers(ResourceRequest request) {
    if (reservations.isEmpty()) {
      return NO_RESOURCES;
    }
    double[] sum = new double[3];
    for (Reservation reservation : reservations) {
      if (ResourceRequest.yieldsTo(
          request.rank(),
          request.acceptedAt(),
          request.job(),
          reservation.rank,
          reservation.acceptedAt,
          reservation.job)) {
        sum[0] += reservation.cpus;
        sum[1] += reservation.gpus;
        sum[2] += reservation.ram;
      }
    }
    return sum;
  }

  /**
   * Returns the resources reserved for the job itself; tasks preempted for it may still occupy
   * them.
   */
  public double[] reservedFor(ResourceRequest request) {
    for (Reservation reservation : reservations) {
      if (reservation.job.equals(request.job())) {
        return new double[] {reservation.cpus, reservation.gpus, reservation.ram};
      }
    }
    return NO_RESOURCES;
  }

  /** Subtracts the allocated resources from the free ones. */
  public void allocate(double allocatedCpus, double allocatedGpus, double allocatedRam) {
    freeCpus -= allocatedCpus;
    freeGpus -= allocatedGpus;
    freeRam -= allocatedRam;
  }
}

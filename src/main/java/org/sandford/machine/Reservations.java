package org.sandford.machine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sandford.constants.JobConstants;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.Reservation;
import org.sandford.peer.wire.StartTask;
import org.sandford.placement.ResourceRequest;

/**
 * Holds the resources of one machine that are reserved for jobs: either resources preempted for a
 * job, which the victims could otherwise take again, or resources that a job collects until it has
 * enough. Each job has its own reservation, so that no job can release another's. Runs on the event
 * loop.
 */
final class Reservations {
  private record HeldReservation(Reservation reservation, long expiresAt) {}

  private final Map<String, HeldReservation> byJob = new LinkedHashMap<>();

  /** Reserves the requested resources and replaces an earlier reservation of the same job. */
  void reserve(Preempt request, long now) {
    Reservation reservation =
        new Reservation(
            request.forJob,
            request.rank,
            request.acceptedAt,
            request.cpus,
            request.gpus,
            request.ram);
    long expiresAt = now + JobConstants.RESERVATION_TTL_MS * 1_000_000L;
    byJob.put(request.forJob, new HeldReservation(reservation, expiresAt));
  }

  /** Removes expired reservations. Returns whether there were any. */
  boolean removeExpired(long now) {
    return byJob.values().removeIf(held -> now > held.expiresAt);
  }

  /**
   * Returns the resources that are reserved for jobs preceding the start's job, by rank and then by
   * arrival.
   */
  ReservedResources reservedByPrecedingJobs(StartTask start, long now) {
    double cpus = 0;
    double gpus = 0;
    double ram = 0;
    for (HeldReservation held : byJob.values()) {
      if (now <= held.expiresAt && yieldsTo(start, held.reservation)) {
        cpus += held.reservation.cpus;
        gpus += held.reservation.gpus;
        ram += held.reservation.ram;
      }
    }
    return new ReservedResources(cpus, gpus, ram);
  }

  private static boolean yieldsTo(StartTask start, Reservation reservation) {
    return ResourceRequest.yieldsTo(
        start.rank,
        start.acceptedAt,
        start.job,
        reservation.rank,
        reservation.acceptedAt,
        reservation.forJob);
  }

  /** Subtracts an accepted start's resources from its own job's reservation. */
  void consume(StartTask start) {
    HeldReservation held = byJob.get(start.job);
    if (held != null) {
      Reservation reservation = held.reservation;
      reservation.cpus = Math.max(0, reservation.cpus - start.cpus);
      reservation.gpus = Math.max(0, reservation.gpus - start.gpus);
      reservation.ram = Math.max(0, reservation.ram - start.ram);
    }
  }

  /** Returns the reservations for a snapshot, in the order in which their jobs first made one. */
  List<Reservation> list() {
    List<Reservation> list = new ArrayList<>(byJob.size());
    for (HeldReservation held : byJob.values()) {
      list.add(held.reservation);
    }
    return list;
  }
}

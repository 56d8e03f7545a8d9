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
 * Resources of one machine that are reserved for jobs: what was preempted for them, which the
 * victims could take again, or what they gather until they have enough. Each job has its own
 * reservation, so that one job's cannot release another's. Runs on the event loop.
 */
final class Reservations {
  private record HeldReservation(Reservation reservation, long expiresAt) {}

  private final Map<String, HeldReservation> byJob = new LinkedHashMap<>();

  /** Reserves what the request names, in place of what the same job had reserved here. */
  void reserve(Preempt request, long now) {
    Reservation reservation =
        new Reservation(
            request.forJob,
            request.rank,
            request.acceptedAt,
            request.cpus,
            request.gpus,
            request.ram);
    long expiresAt = now + JobConstants.RESERVATION_MS * 1_000_000L;
    byJob.put(request.forJob, new HeldReservation(reservation, expiresAt));
  }

  /** Removes reservations whose time has passed; true when there was any. */
  boolean removeExpired(long now) {
    return byJob.values().removeIf(held -> now > held.expiresAt);
  }

  /** What is reserved from this start: for jobs that go before its own. */
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

  /** Takes an accepted start's resources out of what its own job had reserved. */
  void consume(StartTask start) {
    HeldReservation held = byJob.get(start.job);
    if (held != null) {
      Reservation reservation = held.reservation;
      reservation.cpus = Math.max(0, reservation.cpus - start.cpus);
      reservation.gpus = Math.max(0, reservation.gpus - start.gpus);
      reservation.ram = Math.max(0, reservation.ram - start.ram);
    }
  }

  /** The reservations for a snapshot, in the order in which their jobs first reserved. */
  List<Reservation> list() {
    List<Reservation> list = new ArrayList<>(byJob.size());
    for (HeldReservation held : byJob.values()) {
      list.add(held.reservation);
    }
    return list;
  }
}

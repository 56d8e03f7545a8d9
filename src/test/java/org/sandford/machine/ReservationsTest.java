package org.sandford.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sandford.constants.JobConstants;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.StartTask;

class ReservationsTest {
  private static final int URGENT = 1;
  private static final int NORMAL = 2;
  private static final long EXPIRED = (JobConstants.RESERVATION_TTL_MS + 1) * 1_000_000L;

  private final Reservations reservations = new Reservations();

  private void reserve(String job, double cpus) {
    reservations.reserve(
        new Preempt("red", "n-1", job, URGENT, 0L, cpus, 0.0, 8.0, List.of(), 10), 0);
  }

  private static StartTask start(String job, int rank, double cpus) {
    return new StartTask("red", 1L, "n-1", 3L, job, 0, 7L, rank, 0L, cpus, 0.0, 2.0, "img");
  }

  @Test
  void startMustLeaveWhatPrecedingJobsReserved() {
    reserve("wk-1", 4);
    reserve("wk-2", 2);
    ReservedResources reserved = reservations.reservedByPrecedingJobs(start("wk-3", NORMAL, 1), 1);
    assertEquals(new ReservedResources(6, 0, 16), reserved);
  }

  @Test
  void jobMayTakeWhatItReservedItself() {
    reserve("wk-1", 4);
    StartTask start = start("wk-1", URGENT, 1);
    assertEquals(new ReservedResources(0, 0, 0), reservations.reservedByPrecedingJobs(start, 1));
    reservations.consume(start);
    ReservedResources rest = reservations.reservedByPrecedingJobs(start("wk-3", NORMAL, 1), 1);
    assertEquals(new ReservedResources(3, 0, 6), rest);
  }

  @Test
  void reservationExpires() {
    reserve("wk-1", 4);
    assertFalse(reservations.removeExpired(EXPIRED - 2_000_000L));
    assertTrue(reservations.removeExpired(EXPIRED));
    assertTrue(reservations.list().isEmpty());
  }
}

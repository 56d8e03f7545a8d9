package org.sandford.job;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.sandford.constants.GangConstants;
import org.sandford.constants.JobConstants;

/**
 * The machines on which resources are reserved for one gang until it starts. This is the
 * requester's record; the machines' owners hold the reservations. Used on the event loop.
 */
final class GangReservation {
  private final Map<String, String> ownerByMachine = new HashMap<>();
  private long reservedAtMs;

  /** Begins a new reservation after the previous one was released. */
  void begin(long nowMs) {
    reservedAtMs = nowMs;
  }

  void add(String machine, String owner) {
    ownerByMachine.put(machine, owner);
  }

  /** Removes a machine whose reservation the gang uses. */
  void markUsed(String machine) {
    ownerByMachine.remove(machine);
  }

  /** Returns whether the owners keep the reservation for long enough to start the gang. */
  boolean isValid(long nowMs) {
    return !ownerByMachine.isEmpty()
        && nowMs - reservedAtMs
            < JobConstants.RESERVATION_TTL_MS - GangConstants.GANG_START_DELAY_MS;
  }

  /** Clears the reservation and passes each machine with its owner to {@code releaseAction}. */
  void releaseAll(BiConsumer<String, String> releaseAction) {
    ownerByMachine.forEach(releaseAction);
    ownerByMachine.clear();
  }
}

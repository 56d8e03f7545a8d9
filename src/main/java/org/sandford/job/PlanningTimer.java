package org.sandford.job;

import java.util.function.BooleanSupplier;
import org.sandford.constants.JobConstants;
import org.sandford.runtime.EventLoop;

/**
 * Decides when the next planning round begins. Requests that come close together are served by one
 * round. Rounds take no more than {@link JobConstants#PLAN_TIME_SHARE} of the time of the event
 * loop, on which they run.
 */
final class PlanningTimer {
  private static final double NANOS_PER_MS = 1e6;

  private final EventLoop loop;
  private final BooleanSupplier round;
  private boolean requested;
  private long lastRoundAtMs;
  private long intervalMs = JobConstants.PLAN_INTERVAL_MS;

  /**
   * @param round plans once; returns false if it could not, and its duration is ignored
   */
  PlanningTimer(EventLoop loop, BooleanSupplier round) {
    this.loop = loop;
    this.round = round;
  }

  /** Requests a round after a change that may let a task start, unless one is requested already. */
  void requestRound() {
    if (requested) {
      return;
    }
    requested = true;
    long sinceLastMs = loop.millis() - lastRoundAtMs;
    loop.after(Math.max(1, intervalMs - sinceLastMs), this::run);
  }

  private void run() {
    requested = false;
    long beganAtNanos = loop.nanos();
    lastRoundAtMs = loop.millis();
    if (!round.getAsBoolean()) {
      return;
    }
    // Long rounds under overload must leave the event loop time for heartbeats and user requests.
    double spentMs = (loop.nanos() - beganAtNanos) / NANOS_PER_MS;
    intervalMs =
        Math.max(JobConstants.PLAN_INTERVAL_MS, (long) (spentMs / JobConstants.PLAN_TIME_SHARE));
  }
}

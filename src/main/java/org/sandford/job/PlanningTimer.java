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
  private final BooleanSupplier planRound;
  private boolean roundRequested;
  private long lastRoundAtMs;
  private long intervalMs = JobConstants.PLAN_INTERVAL_MS;

  /**
   * @param planRound plans once; returns false if it could not, and its duration is ignored
   */
  PlanningTimer(EventLoop loop, BooleanSupplier planRound) {
    this.loop = loop;
    this.planRound = planRound;
  }

  /** Requests a round after a change that may let a task start, unless one is requested already. */
  void requestRound() {
    if (roundRequested) {
      return;
    }
    roundRequested = true;
    long sinceLastMs = loop.millis() - lastRoundAtMs;
    loop.after(Math.max(1, intervalMs - sinceLastMs), this::runRound);
  }

  private void runRound() {
    roundRequested = false;
    long startedAtNanos = loop.nanos();
    lastRoundAtMs = loop.millis();
    if (!planRound.getAsBoolean()) {
      return;
    }
    // Long rounds under overload must leave the event loop time for heartbeats and user requests.
    double durationMs = (loop.nanos() - startedAtNanos) / NANOS_PER_MS;
    intervalMs =
        Math.max(JobConstants.PLAN_INTERVAL_MS, (long) (durationMs / JobConstants.PLAN_TIME_SHARE));
  }
}

package org.sandford.constants;

/** Cancellations and the retention of jobs' terminal states. */
public final class CancellationConstants {
  private CancellationConstants() {}

  /** Confirmed cancellations that are kept for other controllers to read. */
  public static final int CANCELLATION_LOG_SIZE = 4_096;

  /**
   * Seconds for which a terminal state is kept in memory: longer than any task of the job can run.
   */
  public static final double TERMINAL_STATE_RETENTION_S = 300.0;
}

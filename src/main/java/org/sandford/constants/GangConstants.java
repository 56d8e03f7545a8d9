package org.sandford.constants;

/** Timeouts and backoff of gang scheduling. */
public final class GangConstants {
  private GangConstants() {}

  /** Seconds for which a gang's task waits for the others, unless the facts set it. */
  public static final double DEFAULT_GANG_WAIT_S = 30.0;

  /** Seconds within which a gang's tasks notice the loss of one, unless the facts set it. */
  public static final double DEFAULT_GANG_PEER_S = 8.0;

  /**
   * Share of {@code gang_wait_s} after which an attempt that does not run yet is stopped: its tasks
   * would soon exit one by one and occupy their machines until then.
   */
  public static final double GANG_START_TIMEOUT_SHARE = 0.8;

  /**
   * Seconds beyond the grace that an orderly stop of a gang may take; then its tasks are stopped
   * without grace.
   */
  public static final double GANG_STOP_EXTRA_S = 2.0;

  /**
   * Milliseconds of the first backoff after an attempt that never ran; doubles with each
   * consecutive failure.
   */
  public static final int GANG_BACKOFF_MS = 300;

  /** Upper limit of that backoff, in milliseconds. */
  public static final int GANG_BACKOFF_MAX_MS = 5_000;

  /** Milliseconds between two checks of all gangs for timeouts and for stops to repeat. */
  public static final int GANG_CHECK_MS = 500;

  /** Seconds of waiting after which free resources are reserved for a gang. */
  public static final double GANG_RESERVE_AFTER_S = 2.0;

  /**
   * Seconds after its start for which a gang counts as new; longer-running gangs are preempted
   * first.
   */
  public static final double RECENT_GANG_START_S = 30.0;

  /**
   * Milliseconds between reserving resources for a gang and starting it: by then the other
   * controllers have seen the reservations and start nothing there.
   */
  public static final int GANG_START_DELAY_MS = 180;
}

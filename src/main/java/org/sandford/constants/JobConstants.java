package org.sandford.constants;

/** Scheduling, retries and preemption. */
public final class JobConstants {
  private JobConstants() {}

  /**
   * Milliseconds before finished tasks are stored. Most jobs are done by then, so that only their
   * terminal state is written. Until then each task's worker keeps its result, so a failover loses
   * none.
   */
  public static final int PROGRESS_WRITE_DELAY_MS = 8_000;

  /** Minimum milliseconds between planning rounds; changes in between share the next one. */
  public static final int PLAN_INTERVAL_MS = 40;

  /** Maximum share of the event loop's time for planning; heartbeats and users need the rest. */
  public static final double PLAN_TIME_SHARE = 0.1;

  /** Milliseconds between two scans of all machines for preemptible tasks. */
  public static final int PREEMPTION_SCAN_MS = 250;

  /** Maximum preemption searches in one planning round, as each goes through all tasks. */
  public static final int MAX_PREEMPTION_SEARCHES = 4;

  /**
   * Milliseconds between two checks for jobs that were stored for a team's owner and that it has
   * not adopted yet.
   */
  public static final int ADDED_JOBS_CHECK_MS = 1_000;

  /** Milliseconds between two checks that a team's owner knows all open jobs of the team. */
  public static final int OPEN_JOBS_AUDIT_MS = 40_000;

  /**
   * Milliseconds between planning rounds when nothing changes. Also the interval at which replicas
   * to move off draining machines are searched for and at which the stops of an ended job's tasks
   * are repeated, and the longest time for which a class of tasks counts as unschedulable.
   */
  public static final int PLAN_IDLE_MS = 500;

  /** Milliseconds before a refused start is retried. */
  public static final int REFUSED_START_RETRY_MS = 300;

  /** Milliseconds of the first backoff after a failure; doubles per consecutive failure. */
  public static final int ERROR_BACKOFF_MS = 500;

  /** Milliseconds of the longest backoff, so that a job that always fails costs little. */
  public static final int ERROR_BACKOFF_MAX_MS = 60_000;

  /**
   * Attempt numbers per team generation. An attempt's number is the generation times this constant
   * plus a count, so numbers always increase.
   */
  public static final long ATTEMPTS_PER_GENERATION = 1L << 24;

  /** Minimum milliseconds between two preemption requests for one job. */
  public static final int PREEMPTION_INTERVAL_MS = 1_500;

  /**
   * Milliseconds for which a machine's owner keeps a reservation: long enough for preemption and
   * the next planning round.
   */
  public static final int RESERVATION_TTL_MS = 2_500;

  /** Seconds after which free resources are reserved for a job that waits to start as a whole. */
  public static final double RESERVE_AFTER_S = 40.0;

  /** Milliseconds between two such reservations; shorter than a reservation lasts. */
  public static final int RESERVE_INTERVAL_MS = 1_800;

  /**
   * Seconds after which a waiting job is started in parts, with the resources that are free. Users
   * allow 90 s, some of which planning and the boot of a machine take.
   */
  public static final double PARTIAL_START_AFTER_S = 60.0;

  /**
   * Seconds for a preempted task, or a replica that is moved off a draining machine, to save a
   * checkpoint; one without checkpoints ends at once.
   */
  public static final int PREEMPTION_GRACE_S = 10;

  /** Milliseconds between two replica moves of one controller; a replica is down meanwhile. */
  public static final int REPLICA_MOVE_INTERVAL_MS = 1_500;
}

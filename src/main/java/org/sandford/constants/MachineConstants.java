package org.sandford.constants;

/** Heartbeats, commands and snapshots of machines. */
public final class MachineConstants {
  private MachineConstants() {}

  /** Heartbeat periods without a message after which a machine is lost, even if not probed. */
  public static final double LOST_AFTER_HEARTBEAT_PERIODS = 3.5;

  /** Longest interval between two heartbeats that the protocol allows, in heartbeat periods. */
  public static final double HEARTBEAT_JITTER_FACTOR = 1.25;

  /** Seconds beyond that interval after which a heartbeat is overdue and the worker is probed. */
  public static final double HEARTBEAT_OVERDUE_S = 0.7;

  /** Milliseconds to wait for the answer to a probe. */
  public static final int PROBE_TIMEOUT_MS = 1_000;

  /** Milliseconds to wait for a worker's reply to commands. */
  public static final int COMMAND_TIMEOUT_MS = 1_500;

  /** Milliseconds between two attempts to reconcile a machine. */
  public static final int RECONCILE_RETRY_MS = 700;

  /** Consecutive failed commands after which starts are sent in heartbeat responses instead. */
  public static final int MAX_CONSECUTIVE_FAILED_COMMANDS = 2;

  /** Fencing tokens of one generation, which limits how often an owner may raise its token. */
  public static final long TOKENS_PER_GENERATION = 1L << 16;

  /** Seconds beyond {@code cancel_s} until a former owner's lease has certainly expired. */
  public static final double FORMER_LEASE_MARGIN_S = 2.0;

  /** Minimum milliseconds between listings of the open jobs, as a failover requests many. */
  public static final int OPEN_JOBS_LIST_INTERVAL_MS = 700;

  /** Distinct jobs that fail on a machine, with none done in between, before its quarantine. */
  public static final int QUARANTINE_AFTER_FAILED_JOBS = 2;

  /** Maximum images known per machine; the worker keeps the most recently used ones. */
  public static final int MAX_KNOWN_IMAGES = 24;

  /** Milliseconds for which changed snapshots are batched, as each goes to every controller. */
  public static final int SNAPSHOT_PUBLISH_MS = 120;

  /** Milliseconds for which the announcement of a machine to the leader is remembered. */
  public static final long ANNOUNCEMENT_RETENTION_MS = 60_000;

  /** Milliseconds between two checks of all machines. */
  public static final int MACHINE_CHECK_MS = 250;

  /** Milliseconds between two steps that republish some unchanged snapshots. */
  public static final int SNAPSHOT_REFRESH_MS = 1_000;

  /** Milliseconds in which these steps republish the snapshots of all machines. */
  public static final int SNAPSHOT_REFRESH_CYCLE_MS = 30_000;
}

package org.sandford.constants;

/** Intervals and limits for provisioning, draining, replacing and decommissioning machines. */
public final class ScalingConstants {
  private ScalingConstants() {}

  /** Milliseconds between two scaling checks. */
  public static final int SCALING_CHECK_MS = 500;

  /** Milliseconds between two reads of the machine list. */
  public static final int MACHINE_LIST_POLL_MS = 4_000;

  /** Multiple of the nominal lag by which the machine list may lag at most. */
  public static final double MACHINE_LIST_MAX_LAG_FACTOR = 2.0;

  /** Milliseconds between two reads of instance types and prices. */
  public static final int INSTANCE_TYPES_POLL_MS = 30_000;

  /** Milliseconds before a request to the cloud times out. */
  public static final int CLOUD_CALL_TIMEOUT_MS = 8_000;

  /** Share of the cloud's rate limit to use; the rest is for a second leader during failover. */
  public static final double CLOUD_RATE_SHARE = 0.7;

  /** Machines in one provisioning request, the protocol's maximum. */
  public static final int MAX_PROVISIONED_PER_REQUEST = 50;

  /** Names in one decommissioning request, the protocol's maximum. */
  public static final int MAX_DECOMMISSIONED_PER_REQUEST = 100;

  /** Items in one page of the machine list, the protocol's maximum. */
  public static final int MACHINE_LIST_PAGE_SIZE = 500;

  /** Milliseconds before a failed decommissioning request may be sent again. */
  public static final int DECOMMISSION_RETRY_MS = 1_500;

  /** Milliseconds for which no machine is requested from a pool without capacity. */
  public static final int POOL_BACKOFF_MS = 12_000;

  /**
   * Multiple of the nominal boot time after which a machine that never came up is decommissioned.
   */
  public static final double BOOT_TIMEOUT_FACTOR = 3.0;

  /** Seconds added to {@link #BOOT_TIMEOUT_FACTOR} boot times, since short ones vary more. */
  public static final double BOOT_TIMEOUT_EXTRA_S = 20.0;

  /** Seconds for which an idle machine is kept by default. */
  public static final double DEFAULT_IDLE_DECOMMISSION_S = 18.0;

  /** Milliseconds after which an unfinished drain is cancelled. */
  public static final int DRAIN_TIMEOUT_MS = 60_000;

  /**
   * Machines that may be drained at once in a small fleet; the others must hold the moved tasks.
   */
  public static final int MIN_CONCURRENT_DRAINS = 2;

  /** Share of a large fleet that may be drained at once. */
  public static final double CONCURRENT_DRAIN_SHARE = 0.04;

  /** CPU utilization up to which a machine may be drained. */
  public static final double DRAIN_BELOW_UTILIZATION = 0.5;

  /** One-CPU tasks for which the cheapest instance type is selected as headroom. */
  public static final int HEADROOM_TASKS = 4;

  /** Share of the fleet's CPUs kept free for urgent work. */
  public static final double HEADROOM_SHARE = 0.08;

  /** Seconds after its removal for which a stale list may still show a machine. */
  public static final double REMOVED_MACHINE_RETENTION_S = 120.0;

  /** Default limit of the fleet's size, in machines. */
  public static final int DEFAULT_MAX_MACHINES = 5_000;

  /**
   * Quarantined machines replaced at once, so that a failing job cannot get the whole fleet
   * replaced.
   */
  public static final int MAX_CONCURRENT_REPLACEMENTS = 2;

  /** Share of a zone's machines lost at once from which on the zone counts as unreachable. */
  public static final double UNREACHABLE_ZONE_SHARE = 0.6;

  /**
   * Fewest lost machines for a zone to count as unreachable; a few may have failed on their own.
   */
  public static final int UNREACHABLE_ZONE_MIN_MACHINES = 5;

  /**
   * Milliseconds for detecting whether a whole zone is unreachable; its other machines are probed
   * meanwhile.
   */
  public static final int UNREACHABLE_ZONE_DETECT_MS = 2_500;

  /** Lost machines of a zone in one shard from which on the zone's other machines are probed. */
  public static final int ZONE_PROBE_AFTER_LOST = 2;

  /** Milliseconds between two rounds of probes of a zone; a round probes each machine once. */
  public static final int ZONE_PROBE_INTERVAL_MS = 6_000;

  /**
   * Milliseconds for which the machines of an unreachable zone are kept; replacements there would
   * be unreachable too.
   */
  public static final int UNREACHABLE_ZONE_RETENTION_MS = 90_000;
}

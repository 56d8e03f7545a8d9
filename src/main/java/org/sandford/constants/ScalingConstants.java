package org.sandford.constants;

/** Provisioning, draining, replacement and decommissioning of machines. */
public final class ScalingConstants {
  private ScalingConstants() {}

  /** Milliseconds between two scaling checks. */
  public static final int SCALING_CHECK_MS = 500;

  /** Milliseconds between two readings of the machine list. */
  public static final int MACHINE_LIST_POLL_MS = 4_000;

  /** Milliseconds between two readings of instance types and prices. */
  public static final int INSTANCE_TYPES_POLL_MS = 30_000;

  /** Milliseconds before a request to the cloud times out. */
  public static final int CLOUD_CALL_TIMEOUT_MS = 8_000;

  /** Share of the cloud's rate that is used; the rest is for a second leader during failover. */
  public static final double CLOUD_RATE_SHARE = 0.7;

  /** Machines in one provisioning request, the protocol's most. */
  public static final int MAX_PROVISIONED_PER_REQUEST = 50;

  /** Names in one decommissioning request, the protocol's most. */
  public static final int MAX_DECOMMISSIONED_PER_REQUEST = 100;

  /** Items in one page of the machine list, the protocol's most. */
  public static final int MACHINE_LIST_PAGE_SIZE = 500;

  /** Milliseconds before a decommissioning request that failed is sent again. */
  public static final int DECOMMISSION_RETRY_MS = 1_500;

  /** Milliseconds for which nothing is provisioned from a pool without capacity. */
  public static final int POOL_BACKOFF_MS = 12_000;

  /** Times the nominal boot time after which a machine that never came up is decommissioned. */
  public static final double BOOT_TIMEOUT_FACTOR = 3.0;

  /** Seconds added to that: short boot times vary more. */
  public static final double BOOT_TIMEOUT_EXTRA_S = 20.0;

  /** Seconds for which an idle machine is kept when the operators set nothing. */
  public static final double IDLE_DECOMMISSION_S = 18.0;

  /** Milliseconds a drain may take before the machine serves again. */
  public static final int DRAIN_TIMEOUT_MS = 60_000;

  /** Machines that may be drained at once in a small fleet: the others must hold what moves. */
  public static final int MIN_CONCURRENT_DRAINS = 2;

  /** Share of a large fleet that may be drained at once. */
  public static final double CONCURRENT_DRAIN_SHARE = 0.04;

  /** Share of its CPUs in use up to which a machine may be drained. */
  public static final double DRAIN_BELOW_UTILIZATION = 0.5;

  /** Tasks of one CPU by whose price the instance type for headroom is selected. */
  public static final int HEADROOM_TASKS = 4;

  /** Share of the fleet's CPUs kept free for work that may not wait. */
  public static final double HEADROOM_SHARE = 0.08;

  /** Seconds after its removal for which a lagging list may still show a machine. */
  public static final double REMOVED_MACHINE_RETENTION_S = 120.0;

  /** Largest size of the fleet, in machines, when the operators set nothing. */
  public static final int DEFAULT_MAX_MACHINES = 5_000;

  /** Quarantined machines replaced at once: a failing job must not quarantine the whole fleet. */
  public static final int MAX_CONCURRENT_REPLACEMENTS = 2;

  /** Share of a zone's machines that are lost at once when the zone counts as unreachable. */
  public static final double UNREACHABLE_ZONE_SHARE = 0.6;

  /** Lost machines of a zone below which it never counts as unreachable: a few may have died. */
  public static final int UNREACHABLE_ZONE_MIN_MACHINES = 5;

  /**
   * Milliseconds in which it shows whether a whole zone is unreachable: its other machines are
   * probed meanwhile.
   */
  public static final int UNREACHABLE_ZONE_DETECT_MS = 2_500;

  /** Lost machines of a zone in one shard from which on the zone's others are probed. */
  public static final int ZONE_PROBE_AFTER_LOST = 2;

  /** Milliseconds between two rounds of probes of a whole zone: each machine gets one. */
  public static final int ZONE_PROBE_INTERVAL_MS = 6_000;

  /**
   * Milliseconds for which an unreachable zone's machines are kept, rather than provisioned anew
   * where nobody could reach them either.
   */
  public static final int UNREACHABLE_ZONE_RETENTION_MS = 90_000;
}

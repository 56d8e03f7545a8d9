package org.sandford.constants;

/** Session leases, leader election, the assignment map and record versions. */
public final class ClusterConstants {
  private ClusterConstants() {}

  /**
   * Milliseconds that a session lease lasts without renewal: the time to detect a lost controller.
   */
  public static final int SESSION_LEASE_TTL_MS = 3_000;

  /** Milliseconds between renewals: three fit into a session lease, so that one may fail. */
  public static final int SESSION_LEASE_RENEW_MS = 900;

  /** Milliseconds to wait for the answer to a renewal. */
  public static final int SESSION_LEASE_CALL_TIMEOUT_MS = 800;

  /**
   * Milliseconds before its end from which a session lease counts as expired, for work in progress.
   */
  public static final int SESSION_LEASE_MARGIN_MS = 250;

  /**
   * Milliseconds that the store may hold a watch request; each answer proves that the watch is
   * fresh.
   */
  public static final int WATCH_BLOCK_MS = 1_500;

  /** Milliseconds after which an unanswered watch request is abandoned and sent again. */
  public static final int WATCH_CALL_TIMEOUT_MS = 4_000;

  /** Milliseconds between reconciliations of the assignment map when nothing changes. */
  public static final int LEADER_CHECK_MS = 500;

  /** Milliseconds a new leader waits for all controllers before the first assignment. */
  public static final int LEADER_ASSIGNMENT_DELAY_MS = 1_500;

  /**
   * Milliseconds a leader that is the only member waits for others before it assigns itself
   * everything.
   */
  public static final int LEADER_ALONE_DELAY_MS = 500;

  /** Minimum number of machines that one rebalancing moves: each move costs a new fencing token. */
  public static final int MIN_MACHINES_PER_REBALANCE = 3;

  /** Share of a shard's surplus that one rebalancing moves. */
  public static final double REBALANCED_SURPLUS_SHARE = 0.34;

  /** Minimum milliseconds between two non-urgent writes of the map, to batch changes. */
  public static final int MAP_WRITE_INTERVAL_MS = 250;

  /** Share of the store's write rate for non-urgent writes of the map; records need the rest. */
  public static final double MAP_WRITE_RATE_SHARE = 0.4;

  /** Maximum milliseconds that a non-urgent write of the map waits for spare write rate. */
  public static final int MAP_WRITE_MAX_DELAY_MS = 2_000;

  /** Bytes of one machine in its partition: name, generation, address and two table indexes. */
  public static final int MAP_ENTRY_BYTES = 56;

  /**
   * Share of the store's value limit up to which a partition is filled; its tables take the rest.
   */
  public static final double MAP_PARTITION_FILL_SHARE = 0.8;

  /** Share of the store's value limit above which a partition is split: new owners enlarge it. */
  public static final double MAP_PARTITION_SPLIT_SHARE = 0.9;

  /** Milliseconds between two rebalancings, in which owners report their free resources. */
  public static final int REBALANCE_INTERVAL_MS = 4_000;

  /**
   * The version of stored records that this program reads and writes. Version 1, which is not
   * announced, supports only arrays and services; version 2 adds gangs.
   */
  public static final int RECORD_VERSION = 2;

  /** The first version of records in which a job may be a gang. */
  public static final int RECORD_VERSION_GANGS = 2;

  /**
   * Milliseconds between two reads of the announced versions, until all controllers support gangs.
   */
  public static final int RECORD_VERSIONS_POLL_MS = 2_000;
}

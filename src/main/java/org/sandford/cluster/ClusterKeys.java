package org.sandford.cluster;

/**
 * Keys of the cluster's own records in the store. They are part of the stored format and must never
 * change.
 */
final class ClusterKeys {
  /** Prefix of all keys of the cluster, watched as one. */
  static final String ROOT = "c/";

  /** Prefix of the members' keys, followed by the controller's label; each has a session lease. */
  static final String MEMBERS = "c/ctl/";

  /** The leader's incarnation id, stored with its session lease. */
  static final String LEADER = "c/leader";

  /** The teams of the assignment map. */
  static final String TEAMS = "c/teams";

  /** The head of the assignment map's machines: it changes with each of their partitions. */
  static final String MACHINES_HEAD = "c/machines";

  /** Prefix of the partitions of the assignment map's machines, followed by the number. */
  static final String PARTITIONS = "c/machines/";

  /** Prefix of the keys that announce a new job to its team's owner, followed by the job's id. */
  static final String NEW_JOBS = "c/new/";

  private ClusterKeys() {}
}

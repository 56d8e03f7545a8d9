package org.sandford.machine;

/** Why a machine's owner refuses a start. */
enum StartRefusal {
  /** The session lease of this controller may have expired. */
  NO_SESSION_LEASE,
  /** The team has a later owner. */
  STALE_TEAM_GENERATION,
  /** The machine is not in this shard, or was reassigned since the request was made. */
  MACHINE_NOT_OWNED,
  /**
   * The machine is not up, is quarantined or draining, or its worker has not seen this owner's
   * token.
   */
  MACHINE_NOT_SCHEDULABLE,
  /** The job has ended. */
  JOB_ENDED,
  /** An attempt at the task is already on the machine. */
  TASK_ON_MACHINE,
  /** The machine's resources, or those of its tasks, are not known yet. */
  RESOURCES_UNKNOWN,
  /** The machine has too few resources left beside its tasks and reservations. */
  INSUFFICIENT_RESOURCES
}

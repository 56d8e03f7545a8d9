package org.sandford.job;

/**
 * The states of a task that has, or may have, a placement, in their order. A task may skip states,
 * and a waiting task has none.
 */
enum TaskPhase {
  /** The start was requested from the machine's owner, which has not answered. */
  REQUESTED,
  /** The machine's owner accepted the start. */
  PLACED,
  /** The worker reported that the task runs. */
  RUNNING,
  /** A stop was requested. */
  STOPPING
}

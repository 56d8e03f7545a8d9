package org.sandford.machine;

/** The progress of a task's start on its way to the worker. */
enum StartState {
  /** Accepted but not sent yet. */
  QUEUED,
  /** Sent as a command that is not answered yet. */
  COMMAND_SENT,
  /** Sent in the response to a heartbeat; a later heartbeat shows the outcome. */
  RESPONSE_SENT,
  /**
   * Sent as a command that was not answered. The worker may carry it out until it sees a raised
   * token.
   */
  UNCONFIRMED,
  /** The worker has the task, by its reply or its last report. */
  CONFIRMED;

  /**
   * Returns whether a start may change from this state to another. A worker's report confirms a
   * start in any state.
   */
  boolean canTransitionTo(StartState next) {
    return switch (next) {
      case QUEUED -> false;
      case COMMAND_SENT, RESPONSE_SENT -> this == QUEUED;
      case UNCONFIRMED -> this == COMMAND_SENT;
      case CONFIRMED -> true;
    };
  }
}

package org.sandford.machine;

/** How far the start of a task has got on its way to the worker. */
enum StartState {
  /** Accepted from the team's owner, not sent yet. */
  QUEUED,
  /** Sent as a command; its reply is awaited. */
  COMMAND_SENT,
  /** Sent in the response to a heartbeat; a later heartbeat shows the outcome. */
  RESPONSE_SENT,
  /** Sent as a command without a reply: it may be carried out until a raised token is seen. */
  UNCONFIRMED,
  /** The worker has the task, or reported it last. */
  CONFIRMED;

  /** Whether a start may go from this state to that one. A worker's report confirms any start. */
  boolean canTransitionTo(StartState next) {
    return switch (next) {
      case QUEUED -> false;
      case COMMAND_SENT, RESPONSE_SENT -> this == QUEUED;
      case UNCONFIRMED -> this == COMMAND_SENT;
      case CONFIRMED -> true;
    };
  }
}

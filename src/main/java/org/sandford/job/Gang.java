package org.sandford.job;

/**
 * The state of one gang, a job whose tasks run all together or not at all. A gang runs in attempts.
 * All tasks of an attempt carry the same attempt number, by which the workers match them. The next
 * attempt begins only when every task of the previous one is confirmed off its machine.
 *
 * <p>Holds state only; {@link Gangs} decides when it changes. Used on the event loop.
 */
final class Gang {
  /** The states of a gang's attempt. */
  enum Phase {
    /** No attempt is active; the gang waits until all of its tasks can be placed at once. */
    WAITING,
    /** Starts were requested; not all have been accepted by the machines' owners. */
    STARTING,
    /** All starts were accepted; tasks pull their image or wait for the others. */
    RENDEZVOUS,
    /** All tasks run. */
    RUNNING,
    /** All tasks were commanded to save a checkpoint and to stop. */
    STOPPING,
    /** The attempt is over; its remaining tasks are stopped without grace, and still placed. */
    TERMINATING,
    /** All tasks are done. */
    DONE;

    /** Allows a new attempt only after the previous one ended; {@link #DONE} is terminal. */
    private boolean mayBecome(Phase next) {
      return switch (next) {
        case WAITING -> this == STOPPING || this == TERMINATING;
        case STARTING -> this == WAITING;
        case RENDEZVOUS -> this == WAITING || this == STARTING;
        case RUNNING -> this == STARTING || this == RENDEZVOUS;
        case STOPPING -> this == RUNNING;
        case TERMINATING -> this != WAITING && this != DONE;
        case DONE -> true;
      };
    }
  }

  private Phase phase = Phase.WAITING;
  private long phaseStartedAtNanos;
  private boolean allTasksRan;
  private int consecutiveFailures;

  Phase phase() {
    return phase;
  }

  /** Returns when the current phase began, in nanoseconds of the monotonic clock. */
  long phaseStartedAtNanos() {
    return phaseStartedAtNanos;
  }

  /** Returns the number of consecutive attempts that ended before all tasks ran. */
  int consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Returns whether an attempt is active whose tasks do not all run yet. */
  boolean isStarting() {
    return phase == Phase.STARTING || phase == Phase.RENDEZVOUS;
  }

  /** Changes the phase; no other code does. Returns false if the phase is unchanged. */
  boolean transitionTo(Phase next, long nowNanos) {
    if (phase == next) {
      return false;
    }
    if (!phase.mayBecome(next)) {
      throw new IllegalStateException("invalid gang phase transition: " + phase + " -> " + next);
    }
    switch (next) {
      case STARTING -> allTasksRan = false;
      case RUNNING -> {
        allTasksRan = true;
        consecutiveFailures = 0;
      }
      case WAITING -> consecutiveFailures += allTasksRan ? 0 : 1;
      default -> {
        // The other phases set only the start time.
      }
    }
    phase = next;
    phaseStartedAtNanos = nowNanos;
    return true;
  }
}

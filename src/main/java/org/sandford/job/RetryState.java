package org.sandford.job;

import java.util.HashSet;
import java.util.Set;
import org.sandford.constants.JobConstants;

/**
 * Tracks when the tasks of one job may be retried after failures and refusals, and which machines
 * they avoid then. Used on the event loop.
 */
final class RetryState {
  /** The number of doublings after which the backoff exceeds its maximum. */
  private static final int MAX_BACKOFF_DOUBLINGS = 7;

  private final Set<String> avoidedMachines = new HashSet<>();
  private int consecutiveFailures;
  private long notBeforeMs;
  private WaitReason lastFailure = WaitReason.NONE;

  /** Returns whether the job may be planned at this event loop time, in milliseconds. */
  boolean isDue(long nowMs) {
    return notBeforeMs <= nowMs;
  }

  /** Delays the next attempt until at least this time. */
  void delayUntil(long timeMs) {
    notBeforeMs = Math.max(notBeforeMs, timeMs);
  }

  /** Records a task failure; returns the job's backoff in milliseconds. */
  long recordFailure(WaitReason.TaskFailed failure) {
    consecutiveFailures++;
    avoidedMachines.add(failure.machine());
    lastFailure = failure;
    int doublings = Math.min(consecutiveFailures - 1, MAX_BACKOFF_DOUBLINGS);
    long backoffMs = (long) JobConstants.ERROR_BACKOFF_MS << doublings;
    return Math.min(backoffMs, JobConstants.ERROR_BACKOFF_MAX_MS);
  }

  /** Resets the backoff, because a task runs. */
  void resetBackoff() {
    consecutiveFailures = 0;
  }

  /** Returns the last failure of a task, or {@link WaitReason#NONE}. */
  WaitReason lastFailure() {
    return lastFailure;
  }

  /** Returns the machines on which a task failed; the set itself, which planning reads uncopied. */
  Set<String> avoidedMachines() {
    return avoidedMachines;
  }

  /** Allows all machines again; returns false if none was avoided. */
  boolean forgetAvoidedMachines() {
    boolean avoided = !avoidedMachines.isEmpty();
    avoidedMachines.clear();
    return avoided;
  }
}

package org.sandford.job;

import java.util.HashSet;
import java.util.Set;
import org.sandford.constants.JobConstants;

/**
 * When the tasks of one job may be tried again after failures and refusals, and which machines they
 * avoid then. Used on the event loop.
 */
final class RetryState {
  /** Doublings after which the backoff is past its maximum. */
  private static final int MAX_BACKOFF_DOUBLINGS = 7;

  private final Set<String> avoidedMachines = new HashSet<>();
  private int consecutiveFailures;
  private long notBeforeMs;
  private WaitReason lastFailure = WaitReason.NONE;

  /** Whether the job may be planned at this time of the event loop, in milliseconds. */
  boolean isDue(long nowMs) {
    return notBeforeMs <= nowMs;
  }

  /** Puts the next attempt off until then at the earliest. */
  void delayUntil(long timeMs) {
    notBeforeMs = Math.max(notBeforeMs, timeMs);
  }

  /** A task failed; returns for how many milliseconds the job backs off. */
  long recordFailure(WaitReason.TaskFailed failure) {
    consecutiveFailures++;
    avoidedMachines.add(failure.machine());
    lastFailure = failure;
    int doublings = Math.min(consecutiveFailures - 1, MAX_BACKOFF_DOUBLINGS);
    long backoffMs = (long) JobConstants.ERROR_BACKOFF_MS << doublings;
    return Math.min(backoffMs, JobConstants.ERROR_BACKOFF_MAX_MS);
  }

  /** A task runs, so failures that follow count anew. */
  void resetBackoff() {
    consecutiveFailures = 0;
  }

  /** The last failure of a task, or {@link WaitReason#NONE}. */
  WaitReason lastFailure() {
    return lastFailure;
  }

  /** Machines on which a task failed; the set itself, which planning reads without a copy. */
  Set<String> avoidedMachines() {
    return avoidedMachines;
  }

  /** Allows all machines again; false when none was avoided. */
  boolean forgetAvoidedMachines() {
    boolean avoided = !avoidedMachines.isEmpty();
    avoidedMachines.clear();
    return avoided;
  }
}

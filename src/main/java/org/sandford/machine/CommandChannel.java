package org.sandford.machine;

import org.sandford.constants.MachineConstants;

/**
 * Tracks the calls that this controller makes to one worker. Commands and reconciliations run one
 * at a time; probes run beside them. Runs on the event loop.
 */
final class CommandChannel {
  private final LastOccurrence lastReconcileAttempt = new LastOccurrence();
  private boolean busy;
  private boolean probing;
  private int consecutiveFailures;

  /** Returns whether a command or a reconciliation is in flight. */
  boolean isBusy() {
    return busy;
  }

  void beginCall() {
    busy = true;
  }

  void endCall() {
    busy = false;
  }

  /** Records that a reconciliation is attempted now. */
  void recordReconcileAttempt(long now) {
    lastReconcileAttempt.mark(now);
  }

  boolean isReconcileDue(long now) {
    return lastReconcileAttempt.isOlderThanMs(MachineConstants.RECONCILE_RETRY_MS, now);
  }

  /** Records that a command was answered. */
  void recordSuccess() {
    consecutiveFailures = 0;
  }

  /** Records that a command could not be sent, or was not answered. */
  void recordFailure() {
    consecutiveFailures++;
  }

  /**
   * Returns whether calls to the worker keep failing, so that commands are sent only in the
   * responses to heartbeats.
   */
  boolean isBroken() {
    return consecutiveFailures >= MachineConstants.MAX_CONSECUTIVE_FAILED_COMMANDS;
  }

  boolean isProbing() {
    return probing;
  }

  void setProbing(boolean inProgress) {
    probing = inProgress;
  }
}

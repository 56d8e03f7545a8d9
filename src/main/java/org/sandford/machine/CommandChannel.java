package org.sandford.machine;

import org.sandford.constants.MachineConstants;

/**
 * The state of the calls that this controller makes to one worker: commands and reconciliations go
 * one at a time, probes beside them. Runs on the event loop.
 */
final class CommandChannel {
  private final LastTime lastReconcileAttempt = new LastTime();
  private boolean busy;
  private boolean probing;
  private int consecutiveFailures;

  /** Whether a command or a reconciliation is under way. */
  boolean isBusy() {
    return busy;
  }

  void beginCall() {
    busy = true;
  }

  void endCall() {
    busy = false;
  }

  /** Takes in that a reconciliation is tried now. */
  void recordReconcileAttempt(long now) {
    lastReconcileAttempt.mark(now);
  }

  boolean isReconcileDue(long now) {
    return lastReconcileAttempt.isOlderThanMs(MachineConstants.RECONCILE_RETRY_MS, now);
  }

  /** Takes in that a command was answered. */
  void recordSuccess() {
    consecutiveFailures = 0;
  }

  /** Takes in that a command did not get through, or was not answered. */
  void recordFailure() {
    consecutiveFailures++;
  }

  /** Whether commands go with the responses to heartbeats, since calls to the worker fail. */
  boolean isBroken() {
    return consecutiveFailures >= MachineConstants.BROKEN_AFTER_FAILED_COMMANDS;
  }

  boolean isProbing() {
    return probing;
  }

  void setProbing(boolean inProgress) {
    probing = inProgress;
  }
}

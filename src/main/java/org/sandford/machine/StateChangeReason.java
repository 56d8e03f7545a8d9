package org.sandford.machine;

import java.util.Locale;

/**
 * The reason for a change of a machine's state, as logged after {@code reason=}. May be followed by
 * further key-value pairs.
 */
final class StateChangeReason {
  static final StateChangeReason HEARTBEAT_RECEIVED = new StateChangeReason("heartbeat_received");
  static final StateChangeReason HEARTBEATS_RESUMED = new StateChangeReason("heartbeats_resumed");
  static final StateChangeReason INTERRUPTION_NOTICED =
      new StateChangeReason("interruption_noticed");
  static final StateChangeReason COMMANDS_UNANSWERED = new StateChangeReason("commands_unanswered");
  static final StateChangeReason REPLACED = new StateChangeReason("replaced");
  static final StateChangeReason NOT_NEEDED = new StateChangeReason("not_needed");

  private final String text;

  private StateChangeReason(String code) {
    this.text = code;
  }

  /** Returns the reason that no message of the worker arrived for this time. */
  static StateChangeReason silentFor(double seconds) {
    return new StateChangeReason(String.format(Locale.ROOT, "silent silent_s=%.1f", seconds));
  }

  /**
   * Returns the reason that the worker refused commands with this HTTP status, or that they could
   * not be sent.
   */
  static StateChangeReason commandsNotAccepted(int status) {
    return new StateChangeReason("commands_not_accepted status=" + status);
  }

  @Override
  public String toString() {
    return text;
  }
}

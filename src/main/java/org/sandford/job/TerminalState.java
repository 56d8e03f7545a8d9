package org.sandford.job;

/** How a job ended. A terminal state is stored once and never changes. */
public enum TerminalState {
  /** All tasks of the job have completed. */
  DONE("done"),
  /** The job was cancelled by its user. */
  CANCELLED("aborted");

  private final String wireName;

  TerminalState(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the state's name in records, between controllers and in answers to users. */
  public String wireName() {
    return wireName;
  }

  /** Returns whether {@code status} in an answer about a job names a terminal state. */
  public static boolean isTerminal(String status) {
    return status.equals(DONE.wireName) || status.equals(CANCELLED.wireName);
  }

  /**
   * Returns the state that a terminal record names; only {@code done} proves that the tasks
   * completed.
   */
  public static TerminalState of(String wireName) {
    return wireName.equals(DONE.wireName) ? DONE : CANCELLED;
  }
}

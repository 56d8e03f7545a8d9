package org.sandford.api;

import org.sandford.constants.ApiConstants;

/** Kinds of users' requests about jobs. */
enum UserRequestKind {
  SUBMIT("submit", ApiConstants.CHANGE_DEADLINE_MS),
  POLL("poll", ApiConstants.POLL_DEADLINE_MS),
  CANCEL("abort", ApiConstants.CHANGE_DEADLINE_MS);

  private final String wireName;
  private final int deadlineMs;

  UserRequestKind(String wireName, int deadlineMs) {
    this.wireName = wireName;
    this.deadlineMs = deadlineMs;
  }

  /** Returns the verb that controllers and the audit log use. */
  String wireName() {
    return wireName;
  }

  /** Returns the milliseconds after which a request without an answer gets 503. */
  int deadlineMs() {
    return deadlineMs;
  }
}

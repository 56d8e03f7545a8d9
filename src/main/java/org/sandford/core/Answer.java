package org.sandford.core;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What a user or a worker is answered. */
public record Answer(int status, ObjectNode body, int retryAfterS) {
  public static Answer of(int status, ObjectNode body) {
    return new Answer(status, body, 0);
  }

  /** A refusal with a reason that a planner can read. */
  public static Answer refuse(int status, String reason) {
    return new Answer(status, Json.object().put("error", reason), 0);
  }

  /** A refusal for now, with the time to come back. */
  public static Answer later(int status, String reason, int retryAfterS) {
    return new Answer(status, Json.object().put("error", reason), retryAfterS);
  }
}

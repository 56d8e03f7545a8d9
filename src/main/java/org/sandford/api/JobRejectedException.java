package org.sandford.api;

import org.sandford.model.HttpStatus;

/** Thrown when a submission is permanently rejected; the message tells its user the reason. */
final class JobRejectedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int status;

  private JobRejectedException(int status, String reason) {
    super(reason, null, false, false);
    this.status = status;
  }

  /** Rejects a body that is not a JSON object, or that has a missing or invalid field. */
  static JobRejectedException malformed(String reason) {
    return new JobRejectedException(HttpStatus.BAD_REQUEST, reason);
  }

  /** Rejects a well-formed job that can never run. */
  static JobRejectedException infeasible(String reason) {
    return new JobRejectedException(HttpStatus.UNPROCESSABLE_CONTENT, reason);
  }

  /** Returns the HTTP status of the rejection. */
  int status() {
    return status;
  }
}

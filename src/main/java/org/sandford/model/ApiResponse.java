package org.sandford.model;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sandford.audit.Provenance;
import org.sandford.runtime.Json;

/**
 * The response to a request from a user or a worker.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param retryAfterS seconds for {@code Retry-After}; 0 for none
 * @param provenance the provenance of the response
 */
public record ApiResponse(int status, ObjectNode body, int retryAfterS, Provenance provenance) {
  private static final int NO_RETRY_AFTER = 0;
  private static final Provenance NO_PROVENANCE = new Provenance.None();

  /** Creates a response that states nothing about a job. */
  public static ApiResponse of(int status, ObjectNode body) {
    return of(status, body, NO_PROVENANCE);
  }

  /** Creates a response about a job, with its provenance. */
  public static ApiResponse of(int status, ObjectNode body, Provenance provenance) {
    return new ApiResponse(status, body, NO_RETRY_AFTER, provenance);
  }

  /** Creates a final refusal, with a reason that a user can act on. */
  public static ApiResponse refusal(int status, String reason) {
    return retryLater(status, reason, NO_RETRY_AFTER);
  }

  /** Creates a temporary refusal, with the seconds after which to repeat the request. */
  public static ApiResponse retryLater(int status, String reason, int retryAfterS) {
    return new ApiResponse(status, Json.object().put("error", reason), retryAfterS, NO_PROVENANCE);
  }

  /** Returns the job's {@code status} from the body, or an empty string if it has none. */
  public String jobStatus() {
    return body.path("status").asText();
  }
}

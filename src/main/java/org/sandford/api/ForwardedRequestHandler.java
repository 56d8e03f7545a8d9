package org.sandford.api;

import java.util.function.Consumer;
import org.sandford.constants.ApiConstants;
import org.sandford.job.JobScheduler;
import org.sandford.job.TerminalState;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.peer.wire.ForwardedRequest;
import org.sandford.peer.wire.ForwardedResponse;
import org.sandford.runtime.Json;

/**
 * Serves requests about jobs of this controller's teams, whether they arrived here or were
 * forwarded by another controller.
 *
 * <p>Stateless; runs on the event loop.
 */
public final class ForwardedRequestHandler {
  private final JobScheduler jobs;

  /** Creates a handler that serves requests from {@code jobs}. */
  public ForwardedRequestHandler(JobScheduler jobs) {
    this.jobs = jobs;
  }

  /** Serves a request that another controller forwarded. */
  void handleForwarded(ForwardedRequest request, Consumer<Object> reply) {
    handle(
        request,
        answer ->
            reply.accept(
                new ForwardedResponse(
                    request.call,
                    answer.status(),
                    Json.text(answer.body()),
                    answer.retryAfterS())));
  }

  /** Serves a request; refuses an unknown verb, which a later version may send. */
  void handle(ForwardedRequest request, Consumer<ApiResponse> answer) {
    if (isOfKind(request, UserRequestKind.SUBMIT)) {
      jobs.submit(ForwardedSpec.decode(request), answer);
    } else if (isOfKind(request, UserRequestKind.POLL)) {
      answer.accept(poll(request.job));
    } else if (isOfKind(request, UserRequestKind.CANCEL)) {
      cancel(request.job, answer);
    } else {
      answer.accept(ApiResponse.refusal(HttpStatus.BAD_REQUEST, "unknown call " + request.verb));
    }
  }

  private static boolean isOfKind(ForwardedRequest request, UserRequestKind kind) {
    return request.verb.equals(kind.wireName());
  }

  private ApiResponse poll(String id) {
    return jobs.answers()
        .fromMemory(id)
        .orElseGet(
            () ->
                ApiResponse.retryLater(
                    HttpStatus.SERVICE_UNAVAILABLE, "only the store can tell", 1));
  }

  private void cancel(String id, Consumer<ApiResponse> answer) {
    if (!jobs.cancel(id, answer)) {
      jobs.answers()
          .fromStore(id, storeAnswer -> answer.accept(cancellationAnswerFor(storeAnswer)));
    }
  }

  /** Answers 503 for a job that is open in the store, since this controller is still loading it. */
  private static ApiResponse cancellationAnswerFor(ApiResponse storeAnswer) {
    return storeAnswer.status() == HttpStatus.NOT_FOUND
            || TerminalState.isTerminal(storeAnswer.jobStatus())
        ? storeAnswer
        : ApiResponse.retryLater(
            HttpStatus.SERVICE_UNAVAILABLE,
            "the job's owner is not ready",
            ApiConstants.RETRY_AFTER_UNAVAILABLE_S);
  }
}

package org.sandford.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.sandford.constants.ApiConstants;
import org.sandford.machine.MachineShard;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.peer.wire.ForwardedRequest;
import org.sandford.peer.wire.ForwardedResponse;
import org.sandford.runtime.Json;

/**
 * Routes HTTP requests from users, workers and the load balancer, and requests forwarded by other
 * controllers, to their handlers.
 *
 * <p>Stateless; runs on the event loop.
 */
public final class Api {
  private static final String HEALTH_PATH = "/up";
  private static final String JOBS_PATH = "/work";
  private static final String JOB_PREFIX = "/work/";
  private static final String CANCEL_SUFFIX = "/abort";

  private final UserAnswers userAnswers;
  private final SubmissionHandler submissions;
  private final PollHandler polls;
  private final CancellationHandler cancellations;
  private final MachineShard machineShard;
  private final HealthHandler health;
  private final OwnerForwarding forwarding;

  /** Creates an interface that passes worker heartbeats to {@code machineShard}. */
  public Api(
      UserAnswers userAnswers,
      SubmissionHandler submissions,
      PollHandler polls,
      CancellationHandler cancellations,
      MachineShard machineShard,
      HealthHandler health,
      OwnerForwarding forwarding) {
    this.userAnswers = userAnswers;
    this.submissions = submissions;
    this.polls = polls;
    this.cancellations = cancellations;
    this.machineShard = machineShard;
    this.health = health;
    this.forwarding = forwarding;
  }

  /** Returns the response times of submissions to this controller, in milliseconds. */
  public Histogram submissionMillis() {
    return userAnswers.submissionMillis();
  }

  /**
   * Handles one HTTP request.
   *
   * @param uri the path; a query is ignored
   * @param answer receives the response, once
   */
  public void handle(String method, String uri, byte[] body, Consumer<ApiResponse> answer) {
    String path = pathOf(uri);
    if (path.equals(ApiConstants.HEARTBEAT_PATH)) {
      allowOnly(
          "POST",
          method,
          answer,
          () -> answer.accept(machineShard.handleHeartbeat(Json.read(body))));
    } else if (path.equals(HEALTH_PATH)) {
      allowOnly("GET", method, answer, () -> answer.accept(health.handle()));
    } else if (path.equals(JOBS_PATH)) {
      allowOnly("POST", method, answer, () -> submit(Json.read(body), answer));
    } else if (path.startsWith(JOB_PREFIX)) {
      routeJob(method, path.substring(JOB_PREFIX.length()), answer);
    } else {
      answer.accept(ApiResponse.refusal(HttpStatus.NOT_FOUND, "there is nothing at " + path));
    }
  }

  private static String pathOf(String uri) {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  private void routeJob(String method, String idAndSuffix, Consumer<ApiResponse> answer) {
    boolean cancel = idAndSuffix.endsWith(CANCEL_SUFFIX);
    String id =
        cancel
            ? idAndSuffix.substring(0, idAndSuffix.length() - CANCEL_SUFFIX.length())
            : idAndSuffix;
    if (!JobParser.isJobId(id)) {
      answer.accept(ApiResponse.refusal(HttpStatus.NOT_FOUND, "no job has this id"));
    } else if (cancel) {
      allowOnly("POST", method, answer, () -> cancel(id, answer));
    } else {
      allowOnly("GET", method, answer, () -> poll(id, answer));
    }
  }

  private static void allowOnly(
      String allowed, String method, Consumer<ApiResponse> answer, Runnable handler) {
    if (allowed.equals(method)) {
      handler.run();
    } else {
      answer.accept(
          ApiResponse.refusal(
              HttpStatus.METHOD_NOT_ALLOWED, "only " + allowed + " is allowed here"));
    }
  }

  private void submit(JsonNode body, Consumer<ApiResponse> answer) {
    String id = JobParser.validIdOrEmpty(body);
    submissions.handle(body, userAnswers.guardedReceiver(UserRequestKind.SUBMIT, id, answer));
  }

  private void poll(String id, Consumer<ApiResponse> answer) {
    polls.handle(id, userAnswers.guardedReceiver(UserRequestKind.POLL, id, answer));
  }

  private void cancel(String id, Consumer<ApiResponse> answer) {
    cancellations.handle(id, userAnswers.guardedReceiver(UserRequestKind.CANCEL, id, answer));
  }

  /** Handles a request that another controller forwarded to this one. */
  public void handleForwardedRequest(ForwardedRequest request, Consumer<Object> reply) {
    forwarding.handleRequest(request, reply);
  }

  /** Handles another controller's response to a request that was forwarded from here. */
  public void handleForwardedResponse(ForwardedResponse response) {
    forwarding.handleResponse(response);
  }
}

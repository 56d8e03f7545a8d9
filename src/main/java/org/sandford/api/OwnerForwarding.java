package org.sandford.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.sandford.audit.Provenance;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ApiConstants;
import org.sandford.job.TerminalState;
import org.sandford.job.TerminalStates;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.model.JobSpec;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.ForwardedRequest;
import org.sandford.peer.wire.ForwardedResponse;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.Json;

/**
 * Forwards requests to the controller that owns the job's team, and handles those for this
 * controller's own teams locally. Tracks the calls that await another controller's response.
 *
 * <p>Each call runs exactly one callback: {@code answer} with the owner's answer, or {@code
 * onUnreachable} if there is no link to the owner or no response within {@link
 * ApiConstants#FORWARD_TIMEOUT_MS}. The owner may have executed a request that timed out.
 *
 * <p>Runs on the event loop.
 */
public final class OwnerForwarding {
  private static final ByteBuffer NO_BODY = ByteBuffer.allocate(0);

  /** A call that awaits the response of the controller {@code ownerLabel}. */
  private record PendingCall(
      String ownerLabel, Consumer<ApiResponse> answer, EventLoop.Timer timeout) {}

  private final EventLoop loop;
  private final String ownLabel;
  private final Cluster cluster;
  private final PeerLinks links;
  private final TerminalStates terminalStates;
  private final ForwardedRequestHandler localHandler;
  private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
  private long lastCallId;

  /**
   * @param ownLabel the label of this controller
   * @param localHandler handles requests for this controller's teams
   */
  public OwnerForwarding(
      EventLoop loop,
      String ownLabel,
      Cluster cluster,
      PeerLinks links,
      TerminalStates terminalStates,
      ForwardedRequestHandler localHandler) {
    this.loop = loop;
    this.ownLabel = ownLabel;
    this.cluster = cluster;
    this.links = links;
    this.terminalStates = terminalStates;
    this.localHandler = localHandler;
  }

  /** Submits a job to the owner of its team. */
  void submit(JobSpec spec, Consumer<ApiResponse> answer, Runnable onUnreachable) {
    forward(
        spec.team(),
        UserRequestKind.SUBMIT,
        spec.id(),
        ForwardedSpec.encode(spec),
        answer,
        onUnreachable);
  }

  /** Requests the state of a job from the owner of the team. */
  void poll(String id, String team, Consumer<ApiResponse> answer, Runnable onUnreachable) {
    forward(team, UserRequestKind.POLL, id, NO_BODY, answer, onUnreachable);
  }

  /** Requests the cancellation of a job from the owner of the team. */
  void cancel(String id, String team, Consumer<ApiResponse> answer, Runnable onUnreachable) {
    forward(team, UserRequestKind.CANCEL, id, NO_BODY, answer, onUnreachable);
  }

  private void forward(
      String team,
      UserRequestKind kind,
      String id,
      ByteBuffer body,
      Consumer<ApiResponse> answer,
      Runnable onUnreachable) {
    ForwardedRequest request = new ForwardedRequest(++lastCallId, kind.wireName(), id, body);
    TeamAssignment assignment = cluster.teams().assignments().get(team);
    String ownerLabel = assignment == null ? "" : Cluster.labelOf(assignment.owner());
    if (ownerLabel.equals(ownLabel)) {
      localHandler.handle(request, answer);
    } else if (links.request(ownerLabel, request)) {
      awaitResponse(request.call, ownerLabel, answer, onUnreachable);
    } else {
      onUnreachable.run();
    }
  }

  private void awaitResponse(
      long callId, String ownerLabel, Consumer<ApiResponse> answer, Runnable onUnreachable) {
    EventLoop.Timer timeout =
        loop.after(
            ApiConstants.FORWARD_TIMEOUT_MS,
            () -> {
              if (pendingCalls.remove(callId) != null) {
                onUnreachable.run();
              }
            });
    pendingCalls.put(callId, new PendingCall(ownerLabel, answer, timeout));
  }

  /** Handles a request that another controller forwarded to this one. */
  void handleRequest(ForwardedRequest request, Consumer<Object> reply) {
    localHandler.handleForwarded(request, reply);
  }

  /** Handles the response of another controller; drops one that arrives after the timeout. */
  void handleResponse(ForwardedResponse response) {
    PendingCall pending = pendingCalls.remove(response.call);
    if (pending == null) {
      return;
    }
    pending.timeout.cancel();
    JsonNode body = Json.read(response.body);
    ObjectNode answerBody = body.isObject() ? (ObjectNode) body : Json.object();
    ApiResponse answer =
        new ApiResponse(
            response.status,
            answerBody,
            response.retryAfterS,
            new Provenance.Forwarded(pending.ownerLabel));
    if (answer.status() == HttpStatus.OK && TerminalState.isTerminal(answer.jobStatus())) {
      terminalStates.put(answerBody.path("name_id").asText(), TerminalState.of(answer.jobStatus()));
    }
    pending.answer.accept(answer);
  }
}

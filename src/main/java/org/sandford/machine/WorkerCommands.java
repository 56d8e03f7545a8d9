package org.sandford.machine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sandford.runtime.Json;

/**
 * Builds messages to workers. The protocol's field names differ from the names in the code: {@code
 * orders} are the commands, {@code piece} is the task, {@code try} the attempt, {@code fence} the
 * fencing token and {@code tenure} the agent epoch.
 */
final class WorkerCommands {
  private WorkerCommands() {}

  static ObjectNode start(TaskAttemptId id) {
    return command("start", id);
  }

  /**
   * Builds the command that stops a task and gives it the grace period, in seconds, to checkpoint.
   */
  static ObjectNode stop(TaskAttemptId id, int graceS) {
    return command("stop", id).put("wind_down_s", graceS);
  }

  /** Builds the command that lets the worker forget an attempt that has exited. */
  static ObjectNode acknowledgeExit(TaskAttemptId id) {
    return command("clear", id);
  }

  private static ObjectNode command(String verb, TaskAttemptId id) {
    return Json.object()
        .put("verb", verb)
        .put("piece", id.task().toString())
        .put("try", id.attempt());
  }

  /**
   * Returns the body of a call with these commands. A call without commands only shows the worker
   * the token.
   */
  static byte[] requestBody(long token, long agentEpoch, ArrayNode commands) {
    ObjectNode body = Json.object().put("fence", token).put("tenure", agentEpoch);
    body.set("orders", commands);
    return Json.bytes(body);
  }

  /** Returns the body of the response to a heartbeat. */
  static ObjectNode heartbeatResponseBody(long token, ArrayNode commands) {
    ObjectNode body = Json.object().put("fence", token);
    body.set("orders", commands);
    return body;
  }
}

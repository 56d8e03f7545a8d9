package org.sandford.machine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sandford.runtime.Json;

/**
 * Writes what goes to a worker in the words of the users' protocol: commands are its {@code
 * orders}, a task its {@code piece}, an attempt its {@code try}, the fencing token its {@code
 * fence} and the agent epoch its {@code tenure}.
 */
final class WorkerCommands {
  private WorkerCommands() {}

  static ObjectNode start(TaskAttempt id) {
    return command("start", id);
  }

  /** Stops a task that has so many seconds to save. */
  static ObjectNode stop(TaskAttempt id, int graceS) {
    return command("stop", id).put("wind_down_s", graceS);
  }

  /** Lets the worker forget an attempt that has exited. */
  static ObjectNode acknowledgeExit(TaskAttempt id) {
    return command("clear", id);
  }

  private static ObjectNode command(String verb, TaskAttempt id) {
    return Json.object()
        .put("verb", verb)
        .put("piece", id.task().toString())
        .put("try", id.attempt());
  }

  /** The body of a call with these commands; without any it shows the worker the token. */
  static byte[] requestBody(long token, long agentEpoch, ArrayNode commands) {
    ObjectNode body = Json.object().put("fence", token).put("tenure", agentEpoch);
    body.set("orders", commands);
    return Json.bytes(body);
  }

  /** The body of the response to a heartbeat. */
  static ObjectNode heartbeatResponseBody(long token, ArrayNode commands) {
    ObjectNode body = Json.object().put("fence", token);
    body.set("orders", commands);
    return body;
  }
}

package org.sandford.machine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.function.Consumer;
import org.sandford.constants.MachineConstants;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.runtime.Json;

/** Calls workers and applies the heartbeats in their replies. Runs on the event loop. */
final class WorkerClient {
  /** The kinds of content in the body of a reply. */
  enum ReplyContent {
    /** A heartbeat that is newer than the last one and was applied. */
    NEW_HEARTBEAT,
    /** A heartbeat that is not newer than the last one. */
    STALE_HEARTBEAT,
    NO_HEARTBEAT
  }

  private final HttpTransport http;
  private final HeartbeatProcessor processor;

  WorkerClient(HttpTransport http, HeartbeatProcessor processor) {
    this.http = http;
    this.processor = processor;
  }

  /** Requests a heartbeat from the worker; calls back once. */
  void requestHeartbeat(Machine machine, int timeoutMs, Consumer<Reply> callback) {
    http.send(machine.assignment().address(), "GET", "/show", null, timeoutMs, callback);
  }

  /** Sends commands with the machine's current token; calls back once. */
  void sendCommands(Machine machine, ArrayNode commands, Consumer<Reply> callback) {
    http.send(
        machine.assignment().address(),
        "POST",
        "/commands",
        WorkerCommands.requestBody(machine.token(), machine.agentEpoch(), commands),
        MachineConstants.COMMAND_TIMEOUT_MS,
        callback);
  }

  /** Applies the heartbeat in a reply, regardless of the reply's status. */
  ReplyContent applyReply(Machine machine, Reply reply) {
    if (!(HeartbeatReader.read(Json.read(reply.body())) instanceof Heartbeat heartbeat)) {
      return ReplyContent.NO_HEARTBEAT;
    }
    if (machine.isStale(heartbeat)) {
      return ReplyContent.STALE_HEARTBEAT;
    }
    processor.process(machine, heartbeat, WorkerChannel.COMMAND);
    return ReplyContent.NEW_HEARTBEAT;
  }
}

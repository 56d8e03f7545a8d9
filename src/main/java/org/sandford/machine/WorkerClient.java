package org.sandford.machine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.function.Consumer;
import org.sandford.constants.MachineConstants;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.runtime.Json;

/** Calls workers, and takes in the heartbeats that their replies carry. Runs on the event loop. */
final class WorkerClient {
  /** What the body of a reply turned out to be. */
  enum ReplyContent {
    /** A heartbeat with news, which was taken in. */
    NEW_HEARTBEAT,
    /** A heartbeat that is older than what is known. */
    STALE_HEARTBEAT,
    NO_HEARTBEAT
  }

  private final HttpTransport http;
  private final HeartbeatProcessor processor;

  WorkerClient(HttpTransport http, HeartbeatProcessor processor) {
    this.http = http;
    this.processor = processor;
  }

  /** Asks the worker for a heartbeat; calls back once. */
  void requestHeartbeat(Machine machine, int timeoutMs, Consumer<Reply> callback) {
    http.send(machine.assignment().address(), "GET", "/show", null, timeoutMs, callback);
  }

  /** Sends commands under the machine's present token; calls back once. */
  void sendCommands(Machine machine, ArrayNode commands, Consumer<Reply> callback) {
    http.send(
        machine.assignment().address(),
        "POST",
        "/commands",
        WorkerCommands.requestBody(machine.token(), machine.agentEpoch(), commands),
        MachineConstants.COMMAND_TIMEOUT_MS,
        callback);
  }

  /** Takes in the heartbeat that a reply carries, whatever the reply's status. */
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

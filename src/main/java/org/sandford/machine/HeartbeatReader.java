package org.sandford.machine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.sandford.machine.Heartbeat.ReportedTask;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.TaskState;

/**
 * Parses workers' messages. The protocol's field names differ from the names in the code: {@code
 * host} is the machine, {@code piece} the task, {@code try} the attempt, {@code tenure} the agent
 * epoch, {@code fence} the fencing token, {@code machine_kind} the instance type, {@code site} the
 * zone, and {@code reclaimable} tells a spot instance.
 */
final class HeartbeatReader {
  private HeartbeatReader() {}

  static WorkerMessage read(JsonNode node) {
    if (!node.isObject()
        || !node.path("host").isTextual()
        || !node.path("tenure").isIntegralNumber()) {
      return WorkerMessage.Malformed.MALFORMED;
    }
    List<ReportedTask> tasks = new ArrayList<>();
    for (JsonNode taskNode : node.path("pieces")) {
      TaskId task = TaskId.parse(taskNode.path("piece").asText());
      if (task == null) {
        return WorkerMessage.Malformed.MALFORMED;
      }
      tasks.add(
          new ReportedTask(
              task,
              taskNode.path("try").asLong(),
              state(taskNode.path("status").asText()),
              cause(taskNode.path("exit_cause").asText())));
    }
    return new Heartbeat(
        node.path("host").asText(),
        node.path("addr").asText(""),
        node.path("machine_kind").asText(),
        node.path("site").asText(),
        node.path("reclaimable").asBoolean(),
        node.path("tenure").asLong(),
        node.path("serial").asLong(),
        node.path("fence").asLong(),
        node.path("warning_s").isNumber(),
        tasks);
  }

  private static TaskState state(String protocolValue) {
    return switch (protocolValue) {
      // A gang's task that waits for the others uses its resources but does not run yet, like a
      // task that pulls its image.
      case "pulling", "gathering" -> TaskState.PULLING_IMAGE;
      case "saving" -> TaskState.CHECKPOINTING;
      case "ended" -> TaskState.EXITED;
      // A task in an unknown state may use its resources.
      default -> TaskState.RUNNING;
    };
  }

  private static ExitCause cause(String protocolValue) {
    return switch (protocolValue) {
      case "" -> ExitCause.NONE;
      case "done" -> ExitCause.DONE;
      // An incomplete gang is the fault of neither the machine nor the job.
      case "stopped", "peers", "alone" -> ExitCause.STOPPED;
      case "full" -> ExitCause.INSUFFICIENT_RESOURCES;
      case "in_use" -> ExitCause.ALREADY_PRESENT;
      case "unknown" -> ExitCause.UNKNOWN;
      default -> ExitCause.ERROR;
    };
  }
}

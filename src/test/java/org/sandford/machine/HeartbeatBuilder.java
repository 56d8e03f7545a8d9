package org.sandford.machine;

import java.util.ArrayList;
import java.util.List;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.TaskState;

/** Builds messages of the worker of machine n-1, with increasing serial numbers. */
final class HeartbeatBuilder {
  private long serial;

  /** Builds a message without tasks. */
  Heartbeat withoutTasks(long agentEpoch, long token) {
    return build(agentEpoch, token, List.of());
  }

  /** Builds a message of agent epoch 1 with one task. */
  Heartbeat withTask(long token, TaskId task, long attempt, TaskState state, ExitCause cause) {
    return build(1, token, List.of(new Heartbeat.ReportedTask(task, attempt, state, cause)));
  }

  private Heartbeat build(long agentEpoch, long token, List<Heartbeat.ReportedTask> tasks) {
    return new Heartbeat(
        "n-1",
        "n-1:90",
        "m8",
        "a",
        false,
        agentEpoch,
        ++serial,
        token,
        false,
        new ArrayList<>(tasks));
  }
}

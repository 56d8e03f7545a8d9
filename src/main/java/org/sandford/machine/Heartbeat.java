package org.sandford.machine;

import java.util.List;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.TaskState;

/**
 * A worker's heartbeat with the status of its machine.
 *
 * @param address host and port at which the worker takes commands; empty when it names none
 * @param instanceType the machine's instance type
 * @param spot whether the cloud may take the machine back
 * @param agentEpoch the incarnation of the worker's agent; a later one begins without tasks
 * @param serial rises with each message of one agent epoch
 * @param token the highest fencing token that the worker has seen
 * @param interruptionNoticed whether the cloud has announced that it takes the machine back
 */
record Heartbeat(
    String machine,
    String address,
    String instanceType,
    String zone,
    boolean spot,
    long agentEpoch,
    long serial,
    long token,
    boolean interruptionNoticed,
    List<ReportedTask> tasks)
    implements WorkerMessage {

  /** A task on the machine; an exited one stays until its exit is acknowledged. */
  record ReportedTask(TaskId task, long attempt, TaskState state, ExitCause cause) {}
}

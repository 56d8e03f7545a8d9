package org.sandford.machine;

import java.util.List;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.TaskState;

/**
 * A worker's heartbeat with the status of its machine.
 *
 * @param address host and port at which the worker accepts commands; empty if it reports none
 * @param instanceType the machine's instance type
 * @param spot whether the cloud may reclaim the machine
 * @param agentEpoch the incarnation of the worker's agent; a new one starts without tasks
 * @param serial increases with each message of one agent epoch
 * @param token the highest fencing token that the worker has seen
 * @param interruptionNoticed whether the cloud has announced that it will reclaim the machine
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

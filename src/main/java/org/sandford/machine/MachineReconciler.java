package org.sandford.machine;

import org.sandford.cluster.Cluster;
import org.sandford.constants.MachineConstants;
import org.sandford.peer.wire.MachineState;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.runtime.Json;

/**
 * Reconciles machines that changed their owner, are lost, or did not accept or answer commands.
 * Sends the current token to their workers immediately instead of waiting for the next heartbeat.
 * Runs on the event loop.
 */
final class MachineReconciler {
  private final EventLoop loop;
  private final Cluster cluster;
  private final MachineRegistry machines;
  private final WorkerClient workers;

  MachineReconciler(
      EventLoop loop, Cluster cluster, MachineRegistry machines, WorkerClient workers) {
    this.loop = loop;
    this.cluster = cluster;
    this.machines = machines;
    this.workers = workers;
  }

  /** Reconciles the machine now, if it needs that and no other call to it is in flight. */
  void reconcile(Machine machine) {
    if (!isReconcileAllowed(machine)) {
      return;
    }
    machine.channel().beginCall();
    machine.channel().recordReconcileAttempt(loop.nanos());
    if (!machine.isAgentEpochKnown()) {
      // Commands include the agent epoch, so it must be known first.
      workers.requestHeartbeat(
          machine, MachineConstants.COMMAND_TIMEOUT_MS, reply -> onHeartbeatReply(machine, reply));
    } else {
      workers.sendCommands(machine, Json.array(), reply -> onTokenReply(machine, reply));
    }
  }

  private boolean isReconcileAllowed(Machine machine) {
    boolean needsReconcile =
        machine.state() == MachineState.RECONCILING || machine.state() == MachineState.LOST;
    return machines.isCurrent(machine)
        && needsReconcile
        && !machine.channel().isBusy()
        && machine.assignment().hasAddress()
        && cluster.sessionLeaseValid();
  }

  private void onHeartbeatReply(Machine machine, Reply reply) {
    machine.channel().endCall();
    if (machines.isCurrent(machine)
        && reply.ok()
        && workers.applyReply(machine, reply) == WorkerClient.ReplyContent.NEW_HEARTBEAT) {
      reconcile(machine);
    }
  }

  private void onTokenReply(Machine machine, Reply reply) {
    machine.channel().endCall();
    if (!machines.isCurrent(machine)) {
      return;
    }
    workers.applyReply(machine, reply);
    if (reply.ok()) {
      machine.channel().recordSuccess();
    }
  }

  /** Reconciles the machine after {@link MachineConstants#RECONCILE_RETRY_MS}. */
  void reconcileLater(Machine machine) {
    loop.after(MachineConstants.RECONCILE_RETRY_MS, () -> reconcile(machine));
  }

  /** Reconciles the machine if the last attempt was long enough ago. */
  void retryIfDue(Machine machine, long now) {
    if (machine.channel().isReconcileDue(now)) {
      reconcile(machine);
    }
  }
}

package org.sandford.machine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import org.sandford.cluster.Cluster;
import org.sandford.peer.wire.MachineState;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport.Reply;

/**
 * Sends commands to workers without waiting for their next heartbeat, one call at a time to each. A
 * worker may carry out an unanswered call minutes later; a raised token invalidates the call. Runs
 * on the event loop.
 */
final class CommandDispatcher {
  private final EventLoop loop;
  private final Cluster cluster;
  private final MachineRegistry machines;
  private final SnapshotPublisher publisher;
  private final WorkerClient workers;
  private final MachineReconciler reconciler;

  CommandDispatcher(
      EventLoop loop,
      Cluster cluster,
      MachineRegistry machines,
      SnapshotPublisher publisher,
      WorkerClient workers,
      MachineReconciler reconciler) {
    this.loop = loop;
    this.cluster = cluster;
    this.machines = machines;
    this.publisher = publisher;
    this.workers = workers;
    this.reconciler = reconciler;
  }

  /** Sends the machine's urgent commands, if it has any and can receive them. */
  void dispatch(Machine machine) {
    boolean ready =
        machine.state() == MachineState.UP || machine.state() == MachineState.INTERRUPTION_NOTICED;
    // A stop is safe without a session lease: it applies to one attempt only, and a later owner of
    // the machine has a higher token.
    boolean mayStart = machine.state() == MachineState.UP && cluster.sessionLeaseValid();
    long now = loop.nanos();
    if (!machines.isCurrent(machine)
        || !ready
        || machine.channel().isBusy()
        || machine.channel().isBroken()
        || !machine.hasUrgentCommands(mayStart, now)) {
      return;
    }
    ArrayNode commands = machine.takeCommands(WorkerChannel.COMMAND, mayStart, now);
    List<TaskEntry> starts = machine.tasks().startsAwaitingReply();
    machine.channel().beginCall();
    workers.sendCommands(machine, commands, reply -> onReply(machine, starts, reply));
  }

  private void onReply(Machine machine, List<TaskEntry> starts, Reply reply) {
    machine.channel().endCall();
    if (!machines.isCurrent(machine)) {
      return;
    }
    switch (reply.status()) {
      case 200 -> onCarriedOut(machine, starts);
      case 409, 400, Reply.NOT_SENT -> onNotCarriedOut(machine, starts, reply);
      default -> onUnknownOutcome(machine, starts);
    }
    workers.applyReply(machine, reply);
    if (!reply.ok()) {
      publisher.markChanged(machine);
    }
    dispatch(machine);
  }

  private static void onCarriedOut(Machine machine, List<TaskEntry> starts) {
    machine.channel().recordSuccess();
    for (TaskEntry entry : starts) {
      if (entry.isCommandSent()) {
        entry.confirmStart();
      }
    }
  }

  /**
   * Removes the starts, which the worker has not carried out and never will, and reconciles later.
   */
  private void onNotCarriedOut(Machine machine, List<TaskEntry> starts, Reply reply) {
    machine.tasks().removeStartsAwaitingReply(starts);
    if (reply.status() == Reply.NOT_SENT) {
      machine.channel().recordFailure();
    }
    machine.transitionTo(
        MachineState.RECONCILING, StateChangeReason.commandsNotAccepted(reply.status()));
    reconciler.reconcileLater(machine);
  }

  private void onUnknownOutcome(Machine machine, List<TaskEntry> starts) {
    machine.markStartsUnconfirmed(starts);
    machine.channel().recordFailure();
    machine.transitionTo(MachineState.RECONCILING, StateChangeReason.COMMANDS_UNANSWERED);
    reconciler.reconcileLater(machine);
  }
}

package org.sandford.machine;

import java.util.function.Predicate;
import org.sandford.peer.wire.MachineState;
import org.sandford.runtime.EventLoop;

/**
 * Applies workers' messages, which are heartbeats and replies to commands. Updates the machine's
 * state and tasks, and ends tasks of jobs that have ended. Runs on the event loop.
 */
final class HeartbeatProcessor {
  private final EventLoop loop;
  private final Predicate<String> isTerminal;
  private final SnapshotPublisher publisher;
  private final OpenJobResolver openJobs;
  private final CommandScheduler commands;

  /**
   * @param isTerminal returns whether the job of an id is known to have ended
   */
  HeartbeatProcessor(
      EventLoop loop,
      Predicate<String> isTerminal,
      SnapshotPublisher publisher,
      OpenJobResolver openJobs,
      CommandScheduler commands) {
    this.loop = loop;
    this.isTerminal = isTerminal;
    this.publisher = publisher;
    this.openJobs = openJobs;
    this.commands = commands;
  }

  /** Applies a message that is not stale. */
  void process(Machine machine, Heartbeat heartbeat, WorkerChannel source) {
    long now = loop.nanos();
    boolean changed = machine.applyHeartbeat(heartbeat, source, now);
    changed |= updateState(machine);
    changed |= openJobs.applyKnownSpecs(machine);
    endTasksOfTerminalJobs(machine);
    if (changed) {
      publisher.markChanged(machine);
    }
    if (machine.hasUrgentCommands(true, now)) {
      commands.schedule(machine);
    }
  }

  private static boolean updateState(Machine machine) {
    boolean acceptsCommands =
        machine.assignment().hasAddress() && machine.isGenerationSeen() && !machine.isSuperseded();
    if (acceptsCommands && !machine.isRequiredTokenSeen()) {
      return machine.transitionTo(MachineState.RECONCILING, StateChangeReason.HEARTBEAT_RECEIVED);
    }
    if (acceptsCommands) {
      return machine.isInterruptionNoticed()
          ? machine.transitionTo(
              MachineState.INTERRUPTION_NOTICED, StateChangeReason.INTERRUPTION_NOTICED)
          : machine.transitionTo(MachineState.UP, StateChangeReason.HEARTBEAT_RECEIVED);
    }
    return machine.state() == MachineState.LOST
        && machine.transitionTo(MachineState.RECONCILING, StateChangeReason.HEARTBEATS_RESUMED);
  }

  /**
   * Ends the machine's tasks of jobs that are known to have ended. The end may have been received
   * before the machine was assigned to this controller, and the team's owner may no longer know the
   * job.
   */
  private void endTasksOfTerminalJobs(Machine machine) {
    for (TaskEntry entry : machine.tasks().all()) {
      if (entry.isExitAcknowledged()
          || entry.isImmediateStopRequested()
          || !isTerminal.test(entry.job())) {
        continue;
      }
      if (entry.isOnMachine()) {
        entry.requestStop(0);
      } else {
        entry.acknowledgeExit();
      }
    }
  }
}

package org.sandford.machine;

import java.util.function.Predicate;
import org.sandford.peer.wire.MachineState;
import org.sandford.runtime.EventLoop;

/**
 * Takes in what workers report, in heartbeats and in replies to commands: the machine's state, its
 * tasks, and which of them have to end. Runs on the event loop.
 */
final class HeartbeatProcessor {
  private final EventLoop loop;
  private final Predicate<String> isTerminal;
  private final SnapshotPublisher publisher;
  private final OpenJobResolver openJobs;
  private final CommandScheduler commands;

  /**
   * @param isTerminal whether the end of the job of this id is known here
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

  /** Takes in a message that is not stale. */
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
   * Ends what is here of jobs whose end is known. The end may have been received before the machine
   * was assigned to this controller, and the team's owner may have forgotten the job by now.
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

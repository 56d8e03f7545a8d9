package org.sandford.machine;

import java.util.ArrayList;
import org.sandford.model.TaskId;

/** Stops tasks on machines of this shard. Runs on the event loop. */
final class TaskStopper {
  private final MachineRegistry machines;
  private final SnapshotPublisher publisher;
  private final CommandScheduler commands;
  private final CommandAudit audit;

  TaskStopper(
      MachineRegistry machines,
      SnapshotPublisher publisher,
      CommandScheduler commands,
      CommandAudit audit) {
    this.machines = machines;
    this.publisher = publisher;
    this.commands = commands;
    this.audit = audit;
  }

  /**
   * Stops an attempt if it is on the machine. A start that was not sent yet is removed.
   *
   * @param graceS seconds that the task has to checkpoint; 0 ends it immediately
   */
  void stop(Machine machine, TaskId task, long attempt, int graceS) {
    TaskEntry entry = machine.find(task, attempt);
    if (entry == null || !entry.isOnMachine()) {
      return;
    }
    if (entry.isQueued()) {
      machine.tasks().remove(entry);
      publisher.markChanged(machine);
    } else if (entry.requestStop(graceS)) {
      audit.stopRequested(task, attempt, machine);
      commands.schedule(machine);
    }
  }

  /** Ends a task whose job has ended: stops it immediately, or acknowledges its exit. */
  void end(Machine machine, TaskEntry entry) {
    if (entry.isOnMachine()) {
      stop(machine, entry.id().task(), entry.id().attempt(), 0);
    } else {
      entry.acknowledgeExit();
    }
  }

  /** Ends all tasks of a job that has ended. */
  void endTasksOf(String job) {
    for (Machine machine : machines.all()) {
      for (TaskEntry entry : new ArrayList<>(machine.tasks().all())) {
        if (entry.job().equals(job)) {
          end(machine, entry);
        }
      }
    }
  }
}

package org.sandford.job;

import org.sandford.constants.JobConstants;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles ended attempts. Acknowledges the exit of a finished task once its job's record contains
 * the task, and every other exit immediately, followed by a retry. Runs on the event loop.
 */
final class TaskExits {
  private static final Logger log = LoggerFactory.getLogger(TaskExits.class);

  private final EventLoop loop;
  private final TaskCommands commands;
  private final PlacementLedger ledger;
  private final JobRecords records;
  private final PlanningTimer timer;

  TaskExits(
      EventLoop loop,
      TaskCommands commands,
      PlacementLedger ledger,
      JobRecords records,
      PlanningTimer timer) {
    this.loop = loop;
    this.commands = commands;
    this.ledger = ledger;
    this.records = records;
    this.timer = timer;
  }

  /** Handles the exit of the attempt that is its task's placement. */
  void placementExited(TaskPlacement placement, MachineSnapshot snapshot, TaskSnapshot task) {
    Job job = placement.job;
    if (isCompletion(job, task)) {
      job.completeTask(task.task);
      ledger.release(placement);
      acknowledgeOnceStored(job, snapshot, task);
      return;
    }
    commands.acknowledgeExit(job, snapshot.machine, task.task, task.attempt);
    boolean preempted = task.cause == ExitCause.STOPPED && placement.phase() != TaskPhase.STOPPING;
    if (preempted) {
      job.markPreempted();
    }
    ledger.release(placement);
    job.retry.delayUntil(loop.millis() + retryDelayMs(job, snapshot, task));
    timer.requestRound();
  }

  /** Handles the exit of an attempt that is not its task's placement. */
  void unplacedAttemptExited(Job job, MachineSnapshot snapshot, TaskSnapshot task) {
    if (!isCompletion(job, task)) {
      commands.acknowledgeExit(job, snapshot.machine, task.task, task.attempt);
      return;
    }
    if (!job.tasks.isDone(task.task)) {
      job.completeTask(task.task);
      // Another attempt may still run elsewhere; an unknown one is stopped once it is reported.
      TaskPlacement other = job.placementOf(task.task);
      if (other != null) {
        commands.stop(other, 0);
      }
    }
    acknowledgeOnceStored(job, snapshot, task);
  }

  private static boolean isCompletion(Job job, TaskSnapshot task) {
    return task.cause == ExitCause.DONE && !job.spec.isService() && job.phase() == Job.Phase.OPEN;
  }

  private void acknowledgeOnceStored(Job job, MachineSnapshot snapshot, TaskSnapshot task) {
    job.acknowledgeOnceStored(task.task, task.attempt, snapshot.machine);
    records.flush(job);
  }

  private static long retryDelayMs(Job job, MachineSnapshot snapshot, TaskSnapshot task) {
    return switch (task.cause) {
      case ERROR, UNKNOWN -> recordFailure(job, snapshot, task);
      case INSUFFICIENT_RESOURCES, ALREADY_PRESENT -> JobConstants.REFUSED_START_RETRY_MS;
      default -> 0L;
    };
  }

  private static long recordFailure(Job job, MachineSnapshot snapshot, TaskSnapshot task) {
    WaitReason.TaskFailed failure =
        new WaitReason.TaskFailed(task.task, snapshot.machine, snapshot.zone);
    long backoffMs = job.retry.recordFailure(failure);
    log.info(
        "task failed job={} task={} machine={} zone={} backoff_ms={}",
        job.spec.id(),
        task.task,
        snapshot.machine,
        snapshot.zone,
        backoffMs);
    return backoffMs;
  }
}

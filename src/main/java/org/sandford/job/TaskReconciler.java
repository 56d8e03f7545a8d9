package org.sandford.job;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.sandford.cluster.Cluster;
import org.sandford.machine.MachineSnapshots.ReceivedSnapshot;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the placements of this controller's jobs with the machine snapshots that the machines'
 * owners publish. Updates the tasks' phases, releases lost tasks so that they wait again, adopts
 * attempts of a former owner, and stops duplicate attempts. Runs on the event loop.
 */
final class TaskReconciler {
  private static final Logger log = LoggerFactory.getLogger(TaskReconciler.class);

  private final EventLoop loop;
  private final Cluster cluster;
  private final OwnedJobs owned;
  private final PlacementLedger ledger;
  private final TaskCommands commands;
  private final Gangs gangs;
  private final TaskExits exits;

  TaskReconciler(
      EventLoop loop,
      Cluster cluster,
      OwnedJobs owned,
      PlacementLedger ledger,
      TaskCommands commands,
      Gangs gangs,
      TaskExits exits) {
    this.loop = loop;
    this.cluster = cluster;
    this.owned = owned;
    this.ledger = ledger;
    this.commands = commands;
    this.gangs = gangs;
    this.exits = exits;
  }

  /**
   * Reconciles all tasks of the snapshot and all placements that are missing from it. The machine
   * must be in the assignment map.
   */
  void reconcile(String publisher, MachineSnapshot snapshot) {
    if (!snapshot.reconciled) {
      return;
    }
    Set<AttemptId> reported = new HashSet<>();
    for (TaskSnapshot task : snapshot.tasks) {
      reported.add(AttemptId.of(task));
      Job job = owned.job(task.job);
      if (job != null) {
        reconcileTask(publisher, snapshot, job, task);
      }
    }
    for (TaskPlacement placement : ledger.placementsOn(snapshot.machine)) {
      if (!reported.contains(AttemptId.of(placement))) {
        reconcileMissing(snapshot, placement);
      }
    }
  }

  /**
   * Reconciles stored snapshots for jobs that became known only now. A former owner may have
   * started their tasks, and unchanged machines are not reported again. Tasks of other jobs are
   * skipped: a start that was accepted after a stored snapshot appears only in the next one, and
   * its task must not be released as lost.
   *
   * @param storedSnapshots the stored snapshots of all machines in the assignment map; not modified
   *     during the call
   * @param jobIds ids of the jobs that became known
   */
  void adoptTasks(Collection<ReceivedSnapshot> storedSnapshots, Set<String> jobIds) {
    for (ReceivedSnapshot receivedSnapshot : storedSnapshots) {
      MachineSnapshot snapshot = receivedSnapshot.snapshot();
      if (snapshot.reconciled) {
        snapshot.tasks.stream()
            .filter(task -> jobIds.contains(task.job) && owned.contains(task.job))
            .forEach(
                task ->
                    reconcileTask(receivedSnapshot.owner(), snapshot, owned.job(task.job), task));
      }
    }
  }

  /**
   * Releases a placement that its machine's snapshot lacks. An unanswered start is kept until the
   * answer comes, unless a newer owner reconciled the machine.
   */
  private void reconcileMissing(MachineSnapshot snapshot, TaskPlacement placement) {
    boolean isStartPending = placement.phase() == TaskPhase.REQUESTED;
    boolean ofNewerOwner = snapshot.generation > placement.machineGeneration;
    boolean ofSameOwner = snapshot.generation == placement.machineGeneration;
    if (isStartPending && ofNewerOwner) {
      ledger.release(placement);
    } else if (!isStartPending && (ofNewerOwner || ofSameOwner)) {
      ledger.releaseLost(placement, PlacementLedger.LossCause.NOT_ON_MACHINE);
    }
  }

  private void reconcileTask(
      String publisher, MachineSnapshot snapshot, Job job, TaskSnapshot task) {
    TaskPlacement placement = job.placementOf(task.task);
    boolean isCurrentAttempt = placement != null && placement.attempt == task.attempt;
    if (task.state == TaskState.EXITED) {
      if (isCurrentAttempt) {
        exits.placementExited(placement, snapshot, task);
      } else {
        exits.unplacedAttemptExited(job, snapshot, task);
      }
      return;
    }
    if (job.tasks.isDone(task.task) && !isCurrentAttempt) {
      commands.stopAttempt(job, snapshot.machine, task.task, task.attempt);
      return;
    }
    if (placement != null
        && !isCurrentAttempt
        && !isLaterAttemptOfFormerOwner(job, task, placement)) {
      stopDuplicate(snapshot, job, task, placement);
      return;
    }
    if (!isCurrentAttempt) {
      placement = adopt(publisher, snapshot, job, task);
    }
    updatePhase(placement, snapshot, task);
    stopIfRequired(placement, snapshot, task);
    gangs.check(job);
  }

  private void updatePhase(TaskPlacement placement, MachineSnapshot snapshot, TaskSnapshot task) {
    if (task.state == TaskState.RUNNING) {
      placement.transitionTo(TaskPhase.RUNNING);
      handleRunning(placement.job, snapshot);
    } else if (placement.phase() == TaskPhase.REQUESTED) {
      placement.transitionTo(TaskPhase.PLACED);
    }
  }

  private void handleRunning(Job job, MachineSnapshot snapshot) {
    job.retry.resetBackoff();
    if (job.becameFullyRunning()) {
      log.debug(
          "job fully running job={} class={} machine={} seconds_since_accepted={}",
          job.spec.id(),
          job.spec.jobClass(),
          snapshot.machine,
          (loop.wallMillis() - job.acceptedAt) / 1000.0);
    }
  }

  /**
   * Stops a task of a cancelled job, or one that can save before its machine is interrupted, and
   * repeats a stop that had no effect so far: it may be lost with the link, or with the machine's
   * owner.
   */
  private void stopIfRequired(
      TaskPlacement placement, MachineSnapshot snapshot, TaskSnapshot task) {
    Job job = placement.job;
    if (job.phase() == Job.Phase.CANCELLING) {
      commands.stop(placement, 0);
    } else if (placement.phase() == TaskPhase.STOPPING && task.state != TaskState.CHECKPOINTING) {
      commands.repeatStop(placement);
    } else if (snapshot.state == MachineState.INTERRUPTION_NOTICED
        && job.spec.checkpointIntervalS() > 0
        && placement.phase() == TaskPhase.RUNNING) {
      int graceS = (int) Math.ceil(job.spec.checkpointCostS());
      if (job.spec.isGang()) {
        gangs.stopGracefully(job, graceS);
      } else {
        commands.stop(placement, graceS);
      }
    }
  }

  /**
   * Returns whether a former owner of the team started this attempt after the current one had
   * ended. The current one may come from a stored snapshot older than this controller's ownership.
   * An owner starts a task again only after the previous attempt ended, so the later attempt is the
   * live one.
   */
  private boolean isLaterAttemptOfFormerOwner(Job job, TaskSnapshot task, TaskPlacement current) {
    long generation = owned.team(job.spec.team()).generation;
    boolean ofFormerOwner = Team.generationOf(task.attempt) < generation;
    return ofFormerOwner && task.attempt > current.attempt;
  }

  /** Stops an attempt of a task whose placement is another attempt. */
  private void stopDuplicate(
      MachineSnapshot snapshot, Job job, TaskSnapshot task, TaskPlacement current) {
    if (!cluster.sessionLeaseValid()) {
      // The team may have a new owner by now that started this attempt.
      return;
    }
    log.error(
        "duplicate attempt stopped job={} task={} machine={} attempt={} known_attempt={}"
            + " known_machine={}",
        job.spec.id(),
        task.task,
        snapshot.machine,
        task.attempt,
        current.attempt,
        current.machine);
    commands.stopAttempt(job, snapshot.machine, task.task, task.attempt);
  }

  /** Records an attempt of a former owner, which replaces an older one if there is any. */
  private TaskPlacement adopt(
      String publisher, MachineSnapshot snapshot, Job job, TaskSnapshot task) {
    TaskPlacement superseded = job.placementOf(task.task);
    if (superseded != null) {
      log.info(
          "later attempt adopted job={} task={} machine={} attempt={} known_attempt={}"
              + " known_machine={}",
          job.spec.id(),
          task.task,
          snapshot.machine,
          task.attempt,
          superseded.attempt,
          superseded.machine);
      commands.stop(superseded, 0);
      ledger.supersede(superseded);
    }
    TaskPlacement adopted =
        new TaskPlacement(
            job,
            task.task,
            task.attempt,
            snapshot.machine,
            snapshot.generation,
            publisher,
            commands.linkEpoch(publisher),
            snapshot.zone,
            TaskPhase.PLACED);
    ledger.record(adopted);
    return adopted;
  }
}

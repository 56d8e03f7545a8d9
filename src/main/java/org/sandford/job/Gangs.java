package org.sandford.job;

import java.util.List;
import org.sandford.cluster.Cluster;
import org.sandford.constants.GangConstants;
import org.sandford.constants.TimeConstants;
import org.sandford.job.Gang.Phase;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the gangs of this controller's teams. Checks a gang after each change of its tasks and
 * periodically. Ends an attempt that cannot complete because a start was refused, a task was lost,
 * tasks of two attempts were found after a failover, or the start takes too long.
 *
 * <p>Stops the remaining tasks of such an attempt repeatedly until all are gone, and only then lets
 * the gang be planned again. So a task never runs twice at the same time, and a gang never consists
 * of tasks of two attempts. Runs on the event loop.
 */
final class Gangs {
  private static final Logger log = LoggerFactory.getLogger(Gangs.class);

  /** Doublings after which the backoff exceeds its maximum. */
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  private final EventLoop loop;
  private final Settings.Facts facts;
  private final Cluster cluster;
  private final OwnedJobs owned;
  private final TaskCommands commands;

  Gangs(
      EventLoop loop,
      Settings.Facts facts,
      Cluster cluster,
      OwnedJobs owned,
      TaskCommands commands) {
    this.loop = loop;
    this.facts = facts;
    this.cluster = cluster;
    this.owned = owned;
    this.commands = commands;
  }

  /** Checks all gangs for timeouts and repeats stops. */
  void checkAll() {
    List.copyOf(owned.jobs().values()).forEach(this::check);
  }

  /** Checks the job if it is a gang. Called for every change of a task of any job. */
  void check(Job job) {
    if (!job.spec.isGang()) {
      return;
    }
    Team team = owned.team(job.spec.team());
    if (team != null && cluster.sessionLeaseValid()) {
      boolean teamRecovered = !job.inherited || team.phase() == Team.Phase.READY;
      updatePhase(job, teamRecovered);
    }
  }

  /** Handles a gang of which the starts of all tasks were requested. */
  void startsRequested(Job job) {
    transitionTo(job, Phase.STARTING, "all tasks placed");
    updatePhase(job, true);
  }

  /**
   * Updates the gang's phase from its placements. While {@code teamRecovered} is false, directly
   * after a failover, missing tasks do not count as lost, since they may not have been reported
   * yet.
   */
  private void updatePhase(Job job, boolean teamRecovered) {
    if (job.phase() != Job.Phase.OPEN) {
      return;
    }
    if (job.allDone()) {
      transitionTo(job, Phase.DONE, "all tasks done");
      return;
    }
    switch (job.gang.phase()) {
      case WAITING -> adoptRecoveredAttempt(job, teamRecovered);
      case STARTING, RENDEZVOUS, RUNNING -> checkAttempt(job, teamRecovered);
      case STOPPING -> checkGracefulStop(job);
      case TERMINATING -> stopRemainingTasks(job);
      case DONE -> {
        // Terminal phase.
      }
    }
  }

  /** Stops all tasks at the same time so that they save a common checkpoint. */
  void stopGracefully(Job job, int graceS) {
    if (job.gang.phase() != Phase.RUNNING) {
      return;
    }
    transitionTo(job, Phase.STOPPING, "orderly stop");
    job.placements().forEach(task -> commands.stop(task, graceS));
  }

  /** Adopts an attempt of a former owner if tasks of it were found. */
  private void adoptRecoveredAttempt(Job job, boolean teamRecovered) {
    if (job.placementCount() == 0 || !teamRecovered) {
      return;
    }
    transitionTo(job, Phase.RENDEZVOUS, "tasks of a former owner found");
    checkAttempt(job, true);
  }

  private void checkAttempt(Job job, boolean teamRecovered) {
    if (teamRecovered && !hasCompleteAttempt(job)) {
      endAttempt(job, "task lost");
      return;
    }
    if (job.runningCount() == job.spec.tasks()) {
      transitionTo(job, Phase.RUNNING, "all tasks run");
      return;
    }
    if (job.gang.phase() == Phase.STARTING && allStartsAccepted(job)) {
      transitionTo(job, Phase.RENDEZVOUS, "all starts accepted");
    }
    if (job.gang.isStarting()
        && secondsInPhase(job) > facts.gangWaitS() * GangConstants.GANG_START_TIMEOUT_SHARE) {
      endAttempt(job, "start timed out");
    }
  }

  private void checkGracefulStop(Job job) {
    if (job.placementCount() == 0) {
      attemptEnded(job);
    } else if (secondsInPhase(job)
        > facts.gangPeerS() + job.spec.checkpointCostS() + GangConstants.GANG_STOP_EXTRA_S) {
      endAttempt(job, "orderly stop timed out");
    }
  }

  private void endAttempt(Job job, String reason) {
    transitionTo(job, Phase.TERMINATING, reason);
    stopRemainingTasks(job);
  }

  private void stopRemainingTasks(Job job) {
    List<TaskPlacement> remaining = job.placements();
    if (remaining.isEmpty()) {
      attemptEnded(job);
    } else {
      remaining.forEach(task -> commands.stop(task, 0));
    }
  }

  /**
   * Lets the next attempt begin now that all tasks are confirmed gone, after a backoff if the last
   * one never ran.
   */
  private void attemptEnded(Job job) {
    transitionTo(job, Phase.WAITING, "no task is left");
    int failures = job.gang.consecutiveFailures();
    if (failures > 0) {
      int doublings = Math.min(failures - 1, MAX_BACKOFF_DOUBLINGS);
      long backoffMs = (long) GangConstants.GANG_BACKOFF_MS << doublings;
      job.retry.delayUntil(loop.millis() + Math.min(backoffMs, GangConstants.GANG_BACKOFF_MAX_MS));
    }
  }

  private void transitionTo(Job job, Phase next, String reason) {
    Phase previous = job.gang.phase();
    if (job.gang.transitionTo(next, loop.nanos())) {
      log.debug(
          "gang phase changed job={} from={} to={} reason=\"{}\"",
          job.spec.id(),
          previous,
          next,
          reason);
    }
  }

  /** Returns whether all tasks have a placement of the same attempt. */
  private static boolean hasCompleteAttempt(Job job) {
    List<TaskPlacement> placements = job.placements();
    return placements.size() == job.spec.tasks()
        && placements.stream().allMatch(task -> task.attempt == placements.get(0).attempt);
  }

  private static boolean allStartsAccepted(Job job) {
    return job.placements().stream().noneMatch(task -> task.phase() == TaskPhase.REQUESTED);
  }

  private double secondsInPhase(Job job) {
    return (loop.nanos() - job.gang.phaseStartedAtNanos()) / TimeConstants.NANOS_PER_S;
  }
}

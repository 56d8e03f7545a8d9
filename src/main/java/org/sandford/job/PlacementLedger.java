package org.sandford.job;

import java.util.List;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records and releases task placements consistently in the three places that count them: the job,
 * the machine's free resources and the team's quota. Runs on the event loop.
 */
final class PlacementLedger {
  private static final Logger log = LoggerFactory.getLogger(PlacementLedger.class);

  /** Why a placement is lost. */
  enum LossCause {
    /** The snapshot of the machine's owner lacks the task. */
    NOT_ON_MACHINE,
    /** The machine left the assignment map, and its tasks are gone. */
    MACHINE_REMOVED
  }

  private final EventLoop loop;
  private final OwnedJobs owned;
  private final CandidateMachines candidates;
  private final Gangs gangs;
  private final PlanningTimer timer;

  PlacementLedger(
      EventLoop loop,
      OwnedJobs owned,
      CandidateMachines candidates,
      Gangs gangs,
      PlanningTimer timer) {
    this.loop = loop;
    this.owned = owned;
    this.candidates = candidates;
    this.gangs = gangs;
    this.timer = timer;
  }

  /** Returns the attempts of this controller's jobs that are or may be on the machine. */
  List<TaskPlacement> placementsOn(String machine) {
    return candidates.placementsOn(machine);
  }

  /** Records a placement whose task is, or may soon be, on the machine. */
  void record(TaskPlacement placement) {
    Job job = placement.job;
    job.recordPlacement(placement);
    candidates.addPlacement(placement);
    Team team = owned.team(job.spec.team());
    if (team != null) {
      team.addTask(job);
    }
  }

  /**
   * Releases an attempt that is confirmed off its machine. Its task waits again unless it is done.
   */
  void release(TaskPlacement placement) {
    Job job = placement.job;
    Team team = owned.team(job.spec.team());
    if (team != null && job.placementOf(placement.task) == placement) {
      team.removeTask(job);
    }
    job.releasePlacement(placement, loop.nanos());
    candidates.removePlacement(placement);
    gangs.check(job);
  }

  /** Releases an attempt that ended without a report of its worker. */
  void releaseLost(TaskPlacement placement, LossCause cause) {
    log.info(
        "task lost job={} task={} machine={} attempt={} cause={}",
        placement.job.spec.id(),
        placement.task,
        placement.machine,
        placement.attempt,
        cause);
    release(placement);
    timer.requestRound();
  }

  /**
   * Stops counting an attempt that a later one of its task replaces. The caller records the later
   * one immediately, so that the task does not wait in between and its gang does not count it as
   * lost.
   */
  void supersede(TaskPlacement superseded) {
    candidates.removePlacement(superseded);
    owned.team(superseded.job.spec.team()).removeTask(superseded.job);
  }
}

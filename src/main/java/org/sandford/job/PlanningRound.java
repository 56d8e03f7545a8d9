package org.sandford.job;

import java.util.List;
import org.sandford.constants.GangConstants;
import org.sandford.constants.JobConstants;
import org.sandford.constants.TimeConstants;
import org.sandford.model.JobSpec;
import org.sandford.placement.CandidateMachine;
import org.sandford.placement.Planner;
import org.sandford.placement.ResourceRequest;
import org.sandford.runtime.EventLoop;

/**
 * Plans the waiting jobs one by one against the free resources that the snapshots and the earlier
 * plans of the round leave. Starts a job with a plan immediately. For a job without a plan,
 * requests preemption or reserves resources. Runs on the event loop.
 */
final class PlanningRound {
  /** The result of planning for a job without a feasible placement. */
  private static final Planner.Plan EMPTY_PLAN = new Planner.Plan(List.of(), 0, 0);

  private final EventLoop loop;
  private final OwnedJobs owned;
  private final QuotaUse quota;
  private final CandidateMachines candidates;
  private final Preemptor preemptor;
  private final TaskStarter starter;
  private final Planner planner = new Planner();
  private final UnschedulableClasses unschedulableClasses = new UnschedulableClasses();

  PlanningRound(
      EventLoop loop,
      OwnedJobs owned,
      QuotaUse quota,
      CandidateMachines candidates,
      Preemptor preemptor,
      TaskStarter starter) {
    this.loop = loop;
    this.owned = owned;
    this.quota = quota;
    this.candidates = candidates;
    this.preemptor = preemptor;
    this.starter = starter;
  }

  /** Plans the jobs in the given order, each within its team's quota. */
  void plan(List<Job> waiting) {
    quota.recount();
    List<CandidateMachine> usableMachines = candidates.usable();
    unschedulableClasses.beginRound(candidates.capacityGrowthCount(), loop.millis());
    preemptor.beginRound();
    for (Job job : waiting) {
      Team team = owned.team(job.spec.team());
      int tasksWithinLimit = team.tasksWithinLimit(job.spec.cpus(), job.spec.gpus());
      int taskCount = Math.min(job.tasks.waitingCount(), tasksWithinLimit);
      if (taskCount == 0 || (job.spec.isGang() && taskCount < job.tasks.waitingCount())) {
        job.setWaitReason(
            new WaitReason.TeamLimitReached(
                team.name, job.spec.cpus(), team.limits.cpusMax(), job.tasks.waitingCount()));
      } else {
        planJob(team, job, taskCount, usableMachines);
      }
    }
  }

  private void planJob(Team team, Job job, int taskCount, List<CandidateMachine> usableMachines) {
    double waitedS = (loop.nanos() - job.tasks.waitingSinceNanos()) / TimeConstants.NANOS_PER_S;
    boolean gang = job.spec.isGang();
    boolean allOrNone = gang || requiresAllTasks(job, taskCount, waitedS);
    Planner.Plan plan = findPlan(job, taskCount, allOrNone, usableMachines);
    if (plan.tasks() == 0) {
      job.setWaitReason(insufficientResources(job, allOrNone ? taskCount : 1));
      preemptor.releaseReservation(team, job);
      preemptor.preempt(team, job, taskCount, usableMachines, allOrNone);
      double reserveAfterS =
          gang ? GangConstants.GANG_RESERVE_AFTER_S : JobConstants.RESERVE_AFTER_S;
      if (allOrNone && taskCount > 1 && waitedS > reserveAfterS) {
        preemptor.reserveFreeResources(team, job, taskCount, usableMachines);
      }
    } else if (gang && !preemptor.hasReservation(job)) {
      preemptor.reserve(team, job, plan);
    } else {
      preemptor.releaseUnused(team, job, plan);
      starter.start(team, job, plan);
    }
  }

  /**
   * Returns whether the job starts only once all its tasks can be placed. A job of which the team's
   * limit allows only a part is planned in parts: if it waited for the full quota, larger jobs that
   * start in parts would starve it. So is a job that waited for longer than {@link
   * JobConstants#PARTIAL_START_AFTER_S}: a small cluster may never have all resources free at once.
   */
  private static boolean requiresAllTasks(Job job, int taskCount, double waitedS) {
    return !job.hasStarted()
        && taskCount == job.tasks.waitingCount()
        && waitedS <= JobConstants.PARTIAL_START_AFTER_S;
  }

  private static WaitReason insufficientResources(Job job, int tasks) {
    JobSpec spec = job.spec;
    return spec.isGang()
        ? new WaitReason.InsufficientResourcesForGang(
            tasks, spec.cpus(), spec.ramGb(), spec.sameZone())
        : new WaitReason.InsufficientResources(tasks, spec.cpus(), spec.ramGb());
  }

  /**
   * Returns a plan for the job's tasks, or {@link #EMPTY_PLAN}. Skips jobs of a class that could
   * not be placed.
   */
  private Planner.Plan findPlan(
      Job job, int taskCount, boolean allOrNone, List<CandidateMachine> usableMachines) {
    int requiredTasks = allOrNone ? taskCount : 1;
    if (unschedulableClasses.contains(job.equivalenceClass, requiredTasks)) {
      return EMPTY_PLAN;
    }
    ResourceRequest request = job.resourceRequest();
    int maxFittingTasks = Planner.upperBound(request, requiredTasks, usableMachines);
    Planner.Plan plan =
        maxFittingTasks < requiredTasks
            ? null
            : planner.place(request, taskCount, usableMachines, allOrNone);
    if (plan != null) {
      return plan;
    }
    if (job.retry.forgetAvoidedMachines()) {
      // No other machine fits, so the machines on which it failed are allowed again.
      return findPlan(job, taskCount, allOrNone, usableMachines);
    }
    if (job.placementCount() == 0) {
      unschedulableClasses.add(
          job.equivalenceClass,
          maxFittingTasks < requiredTasks ? maxFittingTasks + 1 : requiredTasks);
    }
    return EMPTY_PLAN;
  }
}

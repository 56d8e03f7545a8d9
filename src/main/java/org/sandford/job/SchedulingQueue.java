package org.sandford.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.sandford.runtime.EventLoop;

/** The jobs with waiting tasks, in planning order. Runs on the event loop. */
final class SchedulingQueue {
  private final EventLoop loop;
  private final OwnedJobs owned;
  private final Comparator<Job> planningOrder =
      Comparator.comparing((Job job) -> job.spec.rank())
          .thenComparing(this::yieldsToUnstartedJobs)
          .thenComparingLong(job -> job.acceptedAt)
          .thenComparing(job -> job.spec.id());

  SchedulingQueue(EventLoop loop, OwnedJobs owned) {
    this.loop = loop;
    this.owned = owned;
  }

  /** Returns the jobs that may be planned now, in planning order. */
  List<Job> waiting() {
    List<Job> waiting = new ArrayList<>();
    long nowMs = loop.millis();
    for (Job job : owned.jobs().values()) {
      if (job.hasSchedulableTasks() && job.retry.isDue(nowMs) && mayBePlanned(job)) {
        waiting.add(job);
      }
    }
    waiting.sort(planningOrder);
    return waiting;
  }

  /** Returns whether the team is ready; before that, tasks of inherited jobs may run unknown. */
  private boolean mayBePlanned(Job job) {
    Team team = owned.team(job.spec.team());
    return team != null && team.isServed() && (team.phase() == Team.Phase.READY || !job.inherited);
  }

  /**
   * Returns whether the job is opportunistic and has placements. Such jobs are planned after those
   * without any: by arrival alone, a job of one task would wait behind an array of thousands.
   */
  private boolean yieldsToUnstartedJobs(Job job) {
    return job.placementCount() > 0 && owned.team(job.spec.team()).isOpportunistic(job.spec);
  }
}

package org.sandford.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sandford.constants.PlacementConstants;
import org.sandford.constants.TimeConstants;
import org.sandford.model.JobSpec;
import org.sandford.peer.wire.DemandClass;

/**
 * Reports the waiting tasks within the teams' limits to the leader, which provisions machines for
 * all controllers. Tasks whose job makes no difference to provisioning are combined into one class,
 * so that the report does not grow with the number of jobs.
 */
final class DemandReport {
  /** The resources that a team's limit still allows. */
  private static final class RemainingQuota {
    private double cpus;
    private double gpus;

    RemainingQuota(Team team) {
      cpus = team.limits.cpusMax() - team.cpusUsed();
      gpus = team.limits.gpusMax() - team.gpusUsed();
    }

    /** Returns how many of the job's waiting tasks are allowed; for a gang all or none. */
    int allowedTasks(Job job) {
      int allowed =
          Math.min(countFitting(cpus, job.spec.cpus()), countFitting(gpus, job.spec.gpus()));
      int tasks = Math.max(0, Math.min(allowed, job.tasks.waitingCount()));
      return job.spec.isGang() && tasks < job.tasks.waitingCount() ? 0 : tasks;
    }

    private static int countFitting(double remaining, double perTask) {
      return perTask <= 0
          ? Integer.MAX_VALUE
          : (int) Math.floor((remaining + PlacementConstants.RESOURCE_EPSILON) / perTask);
    }

    void deduct(Job job, int tasks) {
      cpus -= tasks * job.spec.cpus();
      gpus -= tasks * job.spec.gpus();
    }
  }

  /** The key by which tasks are combined. */
  private record RankedClass(TaskEquivalenceClass equivalenceClass, JobSpec.Rank rank) {}

  private final Map<String, Team> teams;
  private final long nowNanos;
  private final Map<String, RemainingQuota> remainingQuotas = new HashMap<>();
  private final Map<RankedClass, DemandClass> byRankedClass = new HashMap<>();
  private final List<DemandClass> classes = new ArrayList<>();

  /**
   * Creates a report for teams whose quota use was just counted.
   *
   * @param nowNanos the time on the monotonic clock in nanoseconds
   */
  DemandReport(Map<String, Team> teams, long nowNanos) {
    this.teams = teams;
    this.nowNanos = nowNanos;
  }

  /** Returns the demand of the waiting jobs, which are given in planning order. */
  List<DemandClass> demandOf(List<Job> waitingJobs) {
    waitingJobs.forEach(this::add);
    return classes;
  }

  private void add(Job job) {
    RemainingQuota remainingQuota =
        remainingQuotas.computeIfAbsent(
            job.spec.team(), name -> new RemainingQuota(teams.get(name)));
    int tasks = remainingQuota.allowedTasks(job);
    if (tasks == 0) {
      return;
    }
    remainingQuota.deduct(job, tasks);
    double waitedS = (nowNanos - job.tasks.waitingSinceNanos()) / TimeConstants.NANOS_PER_S;
    JobSpec spec = job.spec;
    if (spec.spreadAcrossZones() || spec.sameZone() || spec.isGang()) {
      classes.add(classOf(job, tasks, waitedS));
      return;
    }
    RankedClass key = new RankedClass(job.equivalenceClass, spec.rank());
    DemandClass existing = byRankedClass.get(key);
    if (existing == null) {
      DemandClass first = classOf(job, tasks, waitedS);
      byRankedClass.put(key, first);
      classes.add(first);
    } else {
      existing.tasks += tasks;
      existing.waitedS = Math.max(existing.waitedS, waitedS);
    }
  }

  private static DemandClass classOf(Job job, int tasks, double waitedS) {
    JobSpec spec = job.spec;
    return new DemandClass(
        spec.rank().number(),
        spec.cpus(),
        spec.gpus(),
        spec.ramGb(),
        tasks,
        spec.spotAllowed(),
        spec.spreadAcrossZones(),
        spec.sameZone(),
        spec.isService(),
        new ArrayList<>(spec.allowedInstanceTypes()),
        spec.zone(),
        waitedS,
        spec.tasks(),
        job.resourceRequest().tasksByZone());
  }
}

package org.sandford.api;

import java.util.Map;
import org.sandford.cloud.InstanceType;
import org.sandford.constants.PlacementConstants;
import org.sandford.model.JobSpec;
import org.sandford.settings.Settings;

/** Rejects jobs that could not run even on an idle cluster. */
final class JobFeasibility {
  private JobFeasibility() {}

  /**
   * Checks a job against its team's limits and the available instance types.
   *
   * @param teams the teams by name
   * @param instanceTypes the instance types of the cloud by name
   * @throws JobRejectedException if the job can never run
   */
  static void check(
      JobSpec job, Map<String, Settings.Team> teams, Map<String, InstanceType> instanceTypes)
      throws JobRejectedException {
    Settings.Team team = teams.get(job.team());
    if (team == null) {
      throw JobRejectedException.infeasible("there is no team " + job.team());
    }
    if (instanceTypes.values().stream().noneMatch(type -> canHostTask(job, type))) {
      throw JobRejectedException.infeasible(
          "a task of this size fits no machine type that the job allows");
    }
    checkQuota(job, team);
    if (job.spreadAcrossZones() && job.tasks() > 1 && (job.sameZone() || !job.zone().isEmpty())) {
      throw JobRejectedException.infeasible(
          "tasks that must be scattered over zones cannot all be in one zone");
    }
  }

  private static boolean canHostTask(JobSpec job, InstanceType type) {
    return (job.allowedInstanceTypes().isEmpty()
            || job.allowedInstanceTypes().contains(type.name()))
        && (job.zone().isEmpty() || type.zones().contains(job.zone()))
        && type.fits(job.cpus(), job.gpus(), job.ramGb());
  }

  /** Counts one task of a job array, whose tasks may run in turn, and all tasks of other jobs. */
  private static void checkQuota(JobSpec job, Settings.Team team) throws JobRejectedException {
    boolean concurrent = job.shape() != JobSpec.Shape.ARRAY;
    int concurrentTasks = concurrent ? job.tasks() : 1;
    if (exceeds(concurrentTasks * job.cpus(), team.cpusMax())
        || exceeds(concurrentTasks * job.gpus(), team.gpusMax())) {
      throw JobRejectedException.infeasible(
          (concurrent ? "all tasks together need" : "one task needs")
              + " more than the limit of team "
              + team.name()
              + " ("
              + team.cpusMax()
              + " CPUs, "
              + team.gpusMax()
              + " accelerators)");
    }
  }

  private static boolean exceeds(double amount, double limit) {
    return amount > limit + PlacementConstants.RESOURCE_EPSILON;
  }
}

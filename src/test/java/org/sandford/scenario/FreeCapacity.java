package org.sandford.scenario;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Determines whether free machine capacity and the team's limit allow a waiting job to start. */
final class FreeCapacity {
  private static final double MACHINE_CPUS = 8;
  private static final double CPU_EPSILON = 1e-9;

  private final FakeCloud cloud;
  private final Map<String, Double> teamMaxCpus;

  FreeCapacity(FakeCloud cloud, Map<String, Double> teamMaxCpus) {
    this.cloud = cloud;
    this.teamMaxCpus = teamMaxCpus;
  }

  /**
   * Returns whether a task of the job that is on no machine fits a suitable machine and its team's
   * limit.
   */
  boolean hasCapacityFor(UserJob job) {
    if (job.gang) {
      return hasCapacityForGang(job);
    }
    Set<String> placed = new HashSet<>();
    Map<String, Integer> placedByZone = new HashMap<>();
    double teamCpus = 0;
    for (FakeCloud.RentedMachine machine : cloud.machines.values()) {
      for (FakeWorker.WorkerTask task :
          machine.worker == null
              ? List.<FakeWorker.WorkerTask>of()
              : machine.worker.tasks.values()) {
        if (!task.isEnded() && task.job != null) {
          teamCpus += task.job.team.equals(job.team) ? task.job.cpus : 0;
          if (task.job == job) {
            placed.add(task.piece);
            placedByZone.merge(machine.zone, 1, Integer::sum);
          }
        }
      }
    }
    Set<String> placedOrFinished = new HashSet<>(placed);
    placedOrFinished.addAll(job.service ? Set.of() : job.finishedTasks);
    if (placedOrFinished.size() >= job.tasks || teamCpus + job.cpus > teamMaxCpus.get(job.team)) {
      return false;
    }
    for (FakeCloud.RentedMachine machine : cloud.machines.values()) {
      boolean allowed =
          machine.worker != null
              && machine.worker.isUsable()
              && (!machine.spot || job.spot)
              && (job.zone.isEmpty() || job.zone.equals(machine.zone))
              && (!job.sameZone || placedByZone.isEmpty() || placedByZone.containsKey(machine.zone))
              && (!job.spreadAcrossZones
                  || placedByZone.getOrDefault(machine.zone, 0) < (job.tasks + 1) / 2);
      if (allowed) {
        double usedCpus =
            machine.worker.tasks.values().stream()
                .filter(task -> !task.isEnded() && task.job != null)
                .mapToDouble(task -> task.job.cpus)
                .sum();
        if (usedCpus + job.cpus <= MACHINE_CPUS + CPU_EPSILON) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Returns whether all tasks of a gang that does not run fit suitable machines at once, and its
   * team's limit.
   */
  private boolean hasCapacityForGang(UserJob gang) {
    Map<String, Integer> slotsByZone = new HashMap<>();
    double teamCpus = 0;
    int runningTasks = 0;
    for (FakeCloud.RentedMachine machine : cloud.machines.values()) {
      if (machine.worker == null) {
        continue;
      }
      double usedCpus = 0;
      for (FakeWorker.WorkerTask task : machine.worker.tasks.values()) {
        if (task.isEnded() || task.job == null) {
          continue;
        }
        if (task.job == gang) {
          runningTasks += task.status.equals("running") ? 1 : 0;
          continue;
        }
        usedCpus += task.job.cpus;
        teamCpus += task.job.team.equals(gang.team) ? task.job.cpus : 0;
      }
      boolean allowed =
          machine.worker.isUsable()
              && (!machine.spot || gang.spot)
              && (gang.zone.isEmpty() || gang.zone.equals(machine.zone));
      if (allowed) {
        slotsByZone.merge(
            gang.sameZone ? machine.zone : "",
            (int) Math.floor((MACHINE_CPUS - usedCpus + CPU_EPSILON) / gang.cpus),
            Integer::sum);
      }
    }
    boolean runningOrFinished =
        gang.finishedTasks.size() >= gang.tasks || runningTasks == gang.tasks;
    return !runningOrFinished
        && teamCpus + gang.tasks * gang.cpus <= teamMaxCpus.get(gang.team) + CPU_EPSILON
        && slotsByZone.values().stream().anyMatch(slots -> slots >= gang.tasks);
  }
}

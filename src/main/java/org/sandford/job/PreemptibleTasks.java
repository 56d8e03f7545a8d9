package org.sandford.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.sandford.constants.GangConstants;
import org.sandford.constants.PlacementConstants;
import org.sandford.constants.TimeConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.model.JobSpec;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;
import org.sandford.placement.Preemption.Eviction;
import org.sandford.placement.Preemption.Victim;
import org.sandford.settings.Settings;

/**
 * The tasks on all machines at one moment, and which of them may be preempted for a job: tasks of
 * lower rank, and, if the job lies within its team's guarantee, tasks of teams that exceed theirs.
 * Production tasks are exempt from the second rule. Used on the event loop.
 */
final class PreemptibleTasks {
  private final List<Victim> activeTasks = new ArrayList<>();

  /** CPUs that each team uses beyond its guarantee; negative below it. */
  private final Map<String, Double> cpusBeyondGuarantee = new HashMap<>();

  private final Map<String, List<Victim>> gangTasks = new HashMap<>();

  /** Scans the snapshots of all machines, in time linear in the number of tasks. */
  PreemptibleTasks(MachineSnapshots machineSnapshots, Settings.Facts facts, long nowNanos) {
    for (MachineSnapshots.ReceivedSnapshot received : machineSnapshots.all()) {
      if (machineSnapshots.isFromOwner(received) && received.snapshot().state == MachineState.UP) {
        received.snapshot().tasks.forEach(task -> add(received, task, nowNanos));
      }
    }
    findGangs();
    facts
        .teams()
        .forEach(
            (name, limits) ->
                cpusBeyondGuarantee.computeIfPresent(
                    name, (n, used) -> used - limits.guaranteedCpus()));
  }

  /**
   * Groups the tasks of gangs. Only tasks of one gang share an attempt number, so gangs of other
   * controllers are found as well. Few tasks are in gangs; the others cost one sorted array entry.
   */
  private void findGangs() {
    long[] attempts = activeTasks.stream().mapToLong(Victim::attempt).sorted().toArray();
    Set<Long> sharedAttempts = new HashSet<>();
    for (int i = 1; i < attempts.length; i++) {
      if (attempts[i] == attempts[i - 1]) {
        sharedAttempts.add(attempts[i]);
      }
    }
    if (sharedAttempts.isEmpty()) {
      return;
    }
    for (Victim victim : activeTasks) {
      if (sharedAttempts.contains(victim.attempt())) {
        gangTasks.computeIfAbsent(gangKey(victim), name -> new ArrayList<>()).add(victim);
      }
    }
    gangTasks.values().removeIf(tasks -> tasks.size() < 2);
    activeTasks.replaceAll(
        victim -> {
          List<Victim> gang =
              sharedAttempts.contains(victim.attempt()) ? gangTasks.get(gangKey(victim)) : null;
          return gang == null ? victim : victim.asPartOfGang(gangKey(victim), gangLossCpuS(gang));
        });
  }

  private static String gangKey(Victim victim) {
    return victim.job() + "@" + victim.attempt();
  }

  private void add(MachineSnapshots.ReceivedSnapshot received, TaskSnapshot task, long nowNanos) {
    if (!task.described || task.state == TaskState.EXITED) {
      return;
    }
    // Snapshots are sent only on changes, so the time since the snapshot is added to the age.
    double ageS = task.ageS + (nowNanos - received.receivedAt()) / TimeConstants.NANOS_PER_S;
    activeTasks.add(
        new Victim(
            received.snapshot().machine,
            task.team,
            task.job,
            task.task,
            task.attempt,
            task.rank,
            task.cpus,
            task.gpus,
            task.ram,
            task.cpus * ageS));
    cpusBeyondGuarantee.merge(task.team, task.cpus, Double::sum);
  }

  /**
   * Returns the CPU seconds lost with the gang. Its age counts only while it has just started,
   * since its start would be wasted then; later it saves a checkpoint before it stops.
   */
  private static double gangLossCpuS(List<Victim> gang) {
    double cpus = gang.stream().mapToDouble(Victim::cpus).sum();
    double cpuSeconds = gang.stream().mapToDouble(Victim::lossCpuS).sum();
    boolean justStarted = cpuSeconds < cpus * GangConstants.RECENT_GANG_START_S;
    return cpus * GangConstants.RECENT_GANG_START_S * (justStarted ? 2 : 1);
  }

  /** Returns the tasks that stop together with this one. */
  private List<Victim> preemptedTogether(Victim victim) {
    return gangTasks.getOrDefault(victim.gang(), List.of(victim));
  }

  /** Returns the tasks that may be preempted for the job and for which no preemption is pending. */
  List<Victim> victimsFor(Team team, Job job, Predicate<AttemptId> preemptionRequested) {
    PreemptingJob preemptingJob = new PreemptingJob(team, job);
    return activeTasks.stream()
        .filter(victim -> !preemptionRequested.test(attemptIdOf(victim)))
        .filter(preemptingJob::mayPreempt)
        .toList();
  }

  /** The job to preempt for, and the CPUs beyond each team's guarantee that it may still claim. */
  private final class PreemptingJob {
    private final Team team;
    private final int rank;
    private final boolean guaranteed;
    private final boolean wasPreempted;
    private final Map<String, Double> unclaimedBorrowedCpus = new HashMap<>(cpusBeyondGuarantee);

    PreemptingJob(Team team, Job job) {
      this.team = team;
      this.rank = job.spec.rank().number();
      this.guaranteed = withinGuarantee(team, job);
      this.wasPreempted = job.wasPreempted();
    }

    boolean mayPreempt(Victim victim) {
      if (victim.rank() > rank && mayPreemptLowerRank(victim)) {
        return true;
      }
      boolean production = victim.rank() == JobSpec.Rank.PRODUCTION.number();
      return guaranteed && !isOfSameTeam(victim) && !production && claimBorrowed(victim);
    }

    /**
     * Returns whether the job may preempt a task of lower rank. If it exceeds its team's guarantee
     * and was preempted itself, it spares tasks within other teams' guarantees: it may have been
     * preempted for them, and the two would preempt each other forever. Production jobs are never
     * preempted back.
     */
    private boolean mayPreemptLowerRank(Victim victim) {
      boolean production = rank == JobSpec.Rank.PRODUCTION.number();
      boolean mayPreemptAny = production || guaranteed || !wasPreempted;
      return mayPreemptAny || isOfSameTeam(victim) || claimBorrowed(victim);
    }

    private boolean isOfSameTeam(Victim victim) {
      return victim.team().equals(team.name);
    }

    private boolean claimBorrowed(Victim victim) {
      double remaining = unclaimedBorrowedCpus.getOrDefault(victim.team(), 0.0);
      if (remaining < victim.cpus()) {
        return false;
      }
      unclaimedBorrowedCpus.put(victim.team(), remaining - victim.cpus());
      return true;
    }
  }

  /** Returns the tasks to stop for these evictions by machine; a gang always as a whole. */
  Map<String, List<Victim>> victimsByMachine(List<Eviction> evictions) {
    Map<String, List<Victim>> byMachine = new TreeMap<>();
    Set<String> addedGangs = new HashSet<>();
    for (Eviction eviction : evictions) {
      for (Victim victim : eviction.victims()) {
        if (victim.gang().isEmpty() || addedGangs.add(victim.gang())) {
          preemptedTogether(victim)
              .forEach(v -> byMachine.computeIfAbsent(v.machine(), m -> new ArrayList<>()).add(v));
        }
      }
    }
    return byMachine;
  }

  static AttemptId attemptIdOf(Victim victim) {
    return new AttemptId(victim.job(), victim.task(), victim.attempt());
  }

  /** Returns whether the team's guarantee covers the job and the team's earlier unfinished jobs. */
  private static boolean withinGuarantee(Team team, Job job) {
    double cpus = 0;
    double gpus = 0;
    for (Job other : team.jobs.values()) {
      boolean earlier = other == job || other.acceptedAt < job.acceptedAt;
      if (earlier && !other.phase().isTerminal()) {
        int unfinished = other.tasks.unfinishedCount();
        cpus += unfinished * other.spec.cpus();
        gpus += unfinished * other.spec.gpus();
      }
    }
    return cpus <= team.limits.guaranteedCpus() + PlacementConstants.RESOURCE_EPSILON
        && gpus <= team.limits.guaranteedGpus() + PlacementConstants.RESOURCE_EPSILON;
  }
}

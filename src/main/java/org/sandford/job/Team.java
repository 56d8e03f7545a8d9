package org.sandford.job;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.sandford.constants.JobConstants;
import org.sandford.constants.PlacementConstants;
import org.sandford.model.JobSpec;
import org.sandford.settings.Settings;

/**
 * Holds the jobs of a team that this controller owns under one generation, and their use of its
 * quota. Used on the event loop.
 */
final class Team {
  /** The states of the ownership. */
  enum Phase {
    /** Its open jobs are being read from the store. */
    LOADING,
    /** Its jobs are known; not all machines have reported which of their tasks they hold. */
    RECOVERING,
    /** Its jobs are known and all machines have reported. */
    READY,
    /** It was handed over; the leader's assignment map will name the next owner. */
    HANDED_OVER;

    private boolean canTransitionTo(Phase next) {
      return switch (next) {
        case LOADING -> false;
        case RECOVERING -> this == LOADING;
        case READY -> this == RECOVERING;
        case HANDED_OVER -> this == RECOVERING || this == READY;
      };
    }
  }

  final String name;
  final long generation;
  final Settings.Team limits;
  private Phase phase = Phase.LOADING;
  final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Labels of the controllers that acknowledged the claim and refuse older generations. */
  final Set<String> claimAcknowledgedBy = new HashSet<>();

  private UnreportedMachines unreported = UnreportedMachines.uninitialized();

  private long attemptCount;

  /** What the placements of its jobs use. */
  private Resources trackedUse = Resources.ZERO;

  /** The part of {@code trackedUse} by jobs that a former owner may have started. */
  private Resources inheritedUse = Resources.ZERO;

  private Resources untrackedUse = Resources.ZERO;

  /** The most that tasks of inherited jobs without a known placement may use. */
  private Resources unlocatedMax = Resources.ZERO;

  /** The most that tasks of recently cancelled jobs may use. */
  private Resources cancelledMax = Resources.ZERO;

  Team(String name, long generation, Settings.Team limits) {
    this.name = name;
    this.generation = generation;
    this.limits = limits;
  }

  Phase phase() {
    return phase;
  }

  /** Changes the phase, as the only place that does; throws if the change is not allowed. */
  void transitionTo(Phase next) {
    if (!phase.canTransitionTo(next)) {
      throw new IllegalStateException(
          "team " + name + " is " + phase + " and cannot become " + next);
    }
    phase = next;
  }

  /**
   * Returns the machines whose owner has not reported all they hold since acknowledging the claim.
   */
  UnreportedMachines unreported() {
    return unreported;
  }

  /** Sets the machines that must report before the team becomes {@link Phase#READY}. */
  void expectReports(UnreportedMachines machines) {
    unreported = machines;
  }

  /**
   * Returns whether the job is opportunistic: an array of the lowest rank that may use spot
   * machines, of a team without a guarantee. It runs on capacity that other jobs leave, and is
   * preempted first.
   */
  boolean isOpportunistic(JobSpec spec) {
    return spec.shape() == JobSpec.Shape.ARRAY
        && spec.rank() == JobSpec.Rank.BEST_EFFORT
        && spec.spotAllowed()
        && !limits.hasGuarantee();
  }

  /** Returns whether requests for the team can be handled here. */
  boolean isServed() {
    return phase == Phase.RECOVERING || phase == Phase.READY;
  }

  /**
   * Returns a number above those of all earlier attempts of the team: its upper bits are the
   * generation, which grows with every change of owner.
   */
  long nextAttempt() {
    return generation * JobConstants.ATTEMPTS_PER_GENERATION + ++attemptCount;
  }

  /** Returns the generation of the team under which the attempt was started. */
  static long generationOf(long attempt) {
    return attempt / JobConstants.ATTEMPTS_PER_GENERATION;
  }

  /**
   * Recounts what the tasks of its jobs use, once per planning round: a recount for each job of the
   * round would take quadratic time. Untracked use is added afterwards.
   */
  void recountUse() {
    trackedUse = Resources.ZERO;
    inheritedUse = Resources.ZERO;
    untrackedUse = Resources.ZERO;
    unlocatedMax = Resources.ZERO;
    for (Job job : jobs.values()) {
      Resources ofJob = Resources.ofTask(job.spec).times(job.placementCount());
      trackedUse = trackedUse.plus(ofJob);
      if (job.inherited) {
        inheritedUse = inheritedUse.plus(ofJob);
        unlocatedMax =
            unlocatedMax.plus(Resources.ofTask(job.spec).times(job.tasks.waitingCount()));
      }
    }
  }

  /** Adds what tasks of the team use that belong to no known attempt. */
  void addUntracked(Resources use) {
    untrackedUse = untrackedUse.plus(use);
  }

  /** Sets the most that unreported tasks of recently cancelled jobs may use. */
  void setCancelledMax(Resources max) {
    cancelledMax = max;
  }

  /** Adds a task of the job that was placed since the last recount. */
  void addTask(Job job) {
    trackedUse = trackedUse.plus(Resources.ofTask(job.spec));
  }

  /** Subtracts a task of the job that was released since the last recount. */
  void removeTask(Job job) {
    trackedUse = trackedUse.minus(Resources.ofTask(job.spec));
  }

  /** Returns the CPUs that the team uses, or may use on machines that have not reported. */
  double cpusUsed() {
    double knownInherited = inheritedUse.cpus() + untrackedUse.cpus();
    return trackedUse.cpus()
        + untrackedUse.cpus()
        + maxUndetectedUse(limits.cpusMax() - knownInherited, maxOnUnreportedMachines().cpus());
  }

  /** Returns the accelerators that the team uses, or may use on unreported machines. */
  double gpusUsed() {
    double knownInherited = inheritedUse.gpus() + untrackedUse.gpus();
    return trackedUse.gpus()
        + untrackedUse.gpus()
        + maxUndetectedUse(limits.gpusMax() - knownInherited, maxOnUnreportedMachines().gpus());
  }

  /** Returns the most that tasks on unreported machines may use, limited by their capacity. */
  private Resources maxOnUnreportedMachines() {
    return unlocatedMax.plus(cancelledMax).min(unreported.capacity());
  }

  /**
   * Returns the most that tasks of the former owner may use on machines that have not reported; the
   * tasks may be of open jobs and of ended ones. The former owner enforced the limit, so together
   * with the tasks already found they use at most the limit.
   */
  private double maxUndetectedUse(double limitLeft, double maxOnUnreported) {
    return phase == Phase.READY ? 0 : Math.max(0, Math.min(limitLeft, maxOnUnreported));
  }

  /** Returns how many more tasks of this size the team's limit allows. */
  int tasksWithinLimit(double cpus, double gpus) {
    double epsilon = PlacementConstants.RESOURCE_EPSILON;
    double count = Integer.MAX_VALUE;
    if (cpus > 0) {
      count = Math.min(count, (limits.cpusMax() - cpusUsed() + epsilon) / cpus);
    }
    if (gpus > 0) {
      count = Math.min(count, (limits.gpusMax() - gpusUsed() + epsilon) / gpus);
    }
    return (int) Math.max(0, Math.floor(count));
  }
}

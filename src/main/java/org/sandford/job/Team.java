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
 * A team that this controller owns, under one generation: its jobs, and what they use of its quota.
 * Used on the event loop.
 */
final class Team {
  /** The states of an ownership. */
  enum Phase {
    /** Its open jobs are being read from the store. */
    LOADING,
    /** Its jobs are known; where their tasks are is still being found out. */
    RECOVERING,
    /** All is known. */
    READY,
    /** It was handed over; the leader's map will name the next owner. */
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

  /** Labels of the controllers that refuse commands of older generations from now on. */
  final Set<String> claimAcknowledgedBy = new HashSet<>();

  private UnreportedMachines unreported = UnreportedMachines.unlisted();

  private long attemptCount;
  private Resources trackedUse = Resources.ZERO;

  /** What of that is used by jobs that a former owner may have started. */
  private Resources inheritedUse = Resources.ZERO;

  private Resources untrackedUse = Resources.ZERO;

  /** What tasks of inherited jobs may use that were not found. */
  private Resources unlocatedMax = Resources.ZERO;

  /** What tasks of jobs that were cancelled lately may use. */
  private Resources cancelledMax = Resources.ZERO;

  Team(String name, long generation, Settings.Team limits) {
    this.name = name;
    this.generation = generation;
    this.limits = limits;
  }

  Phase phase() {
    return phase;
  }

  /** The one place where the phase changes. */
  void transitionTo(Phase next) {
    if (!phase.canTransitionTo(next)) {
      throw new IllegalStateException("team " + name + " is " + phase + ", not to be " + next);
    }
    phase = next;
  }

  /** Machines whose owner has not reported all that they hold since it acknowledged the claim. */
  UnreportedMachines unreported() {
    return unreported;
  }

  /** These machines have to report before the team is {@link Phase#READY}. */
  void expectReports(UnreportedMachines machines) {
    unreported = machines;
  }

  /**
   * Whether the job is opportunistic: an array of the lowest rank that may use spot machines, of a
   * team without a guarantee. It runs on what others leave, and is the first to be preempted.
   */
  boolean isOpportunistic(JobSpec spec) {
    return spec.shape() == JobSpec.Shape.ARRAY
        && spec.rank() == JobSpec.Rank.BEST_EFFORT
        && spec.spotAllowed()
        && !limits.hasGuarantee();
  }

  /** Whether it can take and answer calls. */
  boolean isServed() {
    return phase == Phase.RECOVERING || phase == Phase.READY;
  }

  /**
   * Attempts rise for ever: generations rise with every change of owner and stand above the count.
   */
  long nextAttempt() {
    return generation * JobConstants.ATTEMPTS_PER_GENERATION + ++attemptCount;
  }

  /** The generation of the team under which the attempt was started. */
  static long generationOf(long attempt) {
    return attempt / JobConstants.ATTEMPTS_PER_GENERATION;
  }

  /**
   * Counts anew what the tasks of its jobs use, once for a whole planning round: for each job of
   * the round it would cost a step for each pair of jobs. What is untracked is added after it.
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

  /** Tasks of the team that belong to no known attempt use so much more. */
  void addUntracked(Resources use) {
    untrackedUse = untrackedUse.plus(use);
  }

  /** Tasks of the team's jobs that were cancelled lately may use so much unreported. */
  void setCancelledBound(Resources max) {
    cancelledMax = max;
  }

  /** A task of the job is placed since the last count. */
  void addTask(Job job) {
    trackedUse = trackedUse.plus(Resources.ofTask(job.spec));
  }

  /** A task of the job is released since the last count. */
  void removeTask(Job job) {
    trackedUse = trackedUse.minus(Resources.ofTask(job.spec));
  }

  /** CPUs that the team uses, or may use unseen. */
  double cpusUsed() {
    double knownInherited = inheritedUse.cpus() + untrackedUse.cpus();
    return trackedUse.cpus()
        + untrackedUse.cpus()
        + maxUndetectedUse(limits.cpusMax() - knownInherited, maxOnUnreportedMachines().cpus());
  }

  /** Accelerators that the team uses, or may use unseen. */
  double gpusUsed() {
    double knownInherited = inheritedUse.gpus() + untrackedUse.gpus();
    return trackedUse.gpus()
        + untrackedUse.gpus()
        + maxUndetectedUse(limits.gpusMax() - knownInherited, maxOnUnreportedMachines().gpus());
  }

  /** What may be on machines that did not report: no more than they can hold. */
  private Resources maxOnUnreportedMachines() {
    return unlocatedMax.plus(cancelledMax).atMost(unreported.capacity());
  }

  /**
   * Until all machines have reported, tasks that the former owner started may be running on those
   * that have not, of jobs that are open and of jobs that have ended. The former owner enforced the
   * limit, so together with what was found they use the limit at the most.
   */
  private double maxUndetectedUse(double limitLeft, double maxOnUnreported) {
    return phase == Phase.READY ? 0 : Math.max(0, Math.min(limitLeft, maxOnUnreported));
  }

  /** How many more tasks of this size the team's limit allows. */
  int tasksWithinLimit(double cpus, double gpus) {
    double epsilon = PlacementConstants.EPSILON;
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

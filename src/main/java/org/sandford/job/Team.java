package org.sandford.job;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.sandford.Constants;
import org.sandford.settings.Settings;

/** A team that this controller owns, under one generation. */
final class Team {
  /** Life of an ownership. */
  enum Phase {
    /** Its open jobs are being read from the store. */
    LOADING,
    /** Its jobs are known; where their tasks are is still being found out. */
    SETTLING,
    /** All is known. */
    READY,
    /** It was given up; the leader's map will name the next owner. */
    YIELDED
  }

  final String name;
  final long generation;
  final Settings.Team limits;
  private Phase phase = Phase.LOADING;
  final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Owners that refuse older generations of this team from now on. */
  final Set<String> claimed = new HashSet<>();

  /**
   * Machines whose tasks were not told completely yet after their owner took the claim; null before
   * the first look.
   */
  Set<String> open;

  private long attempts;
  private double heldCpus;
  private double heldGpus;

  Team(String name, long generation, Settings.Team limits) {
    this.name = name;
    this.generation = generation;
    this.limits = limits;
  }

  Phase phase() {
    return phase;
  }

  void becomes(Phase next) {
    phase = next;
  }

  /** Whether it can take and answer calls. */
  boolean speaks() {
    return phase == Phase.SETTLING || phase == Phase.READY;
  }

  /**
   * Attempts rise for ever: generations rise with every change of owner and stand above the count.
   */
  long nextAttempt() {
    return generation * Constants.ATTEMPTS_PER_GENERATION + ++attempts;
  }

  /**
   * Counts anew what its tasks hold, once for a whole planning round: counted for each job of the
   * round, it cost as many steps as there are pairs of jobs.
   */
  void countHeld() {
    heldCpus = 0;
    heldGpus = 0;
    for (Job job : jobs.values()) {
      heldCpus += job.holding() * job.spec.cpus();
      heldGpus += job.holding() * job.spec.gpus();
    }
  }

  /** A task of the job takes room, or with -1 gives it up, since the last count. */
  void holds(Job job, int more) {
    heldCpus += more * job.spec.cpus();
    heldGpus += more * job.spec.gpus();
  }

  double cpusUsed() {
    return heldCpus + hidden(limits.cpusMax(), true);
  }

  double gpusUsed() {
    return heldGpus + hidden(limits.gpusMax(), false);
  }

  /**
   * Until all is known, tasks of inherited jobs that were not found may be running somewhere; the
   * former owner kept the limit, so together with those found they use the limit at the most.
   */
  private double hidden(double max, boolean cpus) {
    if (phase == Phase.READY) {
      return 0;
    }
    double found = 0;
    double missing = 0;
    for (Job job : jobs.values()) {
      if (job.inherited) {
        double each = cpus ? job.spec.cpus() : job.spec.gpus();
        found += job.holding() * each;
        missing += job.waitingCount * each;
      }
    }
    return Math.max(0, Math.min(missing, max - found));
  }

  /** How many more tasks of this size the team's limit allows. */
  int allowed(double cpus, double gpus) {
    double e = Constants.EPSILON;
    double most = Integer.MAX_VALUE;
    if (cpus > 0) {
      most = Math.min(most, (limits.cpusMax() - cpusUsed() + e) / cpus);
    }
    if (gpus > 0) {
      most = Math.min(most, (limits.gpusMax() - gpusUsed() + e) / gpus);
    }
    return (int) Math.max(0, Math.floor(most));
  }
}

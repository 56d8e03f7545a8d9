package org.sandford.job;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.sandford.constants.TimeConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.MonotonicTime;

/**
 * Tracks recently cancelled jobs. For {@code cancel_s} after a job's cancellation its tasks may
 * still be on machines, and a new owner of its team does not find the job among the open ones. Used
 * on the event loop.
 */
final class CancelledJobs {
  /**
   * A cancelled job.
   *
   * @param team its team; empty if its record lacks it
   * @param tasks the number of all its tasks; 0 if its record lacks it
   * @param learnedAtNanos when the cancellation became known, in nanoseconds of monotonic time
   */
  private record CancelledJob(String team, int tasks, long learnedAtNanos) {
    private boolean mayBelongTo(String other) {
      return team.isEmpty() || team.equals(other);
    }

    private boolean hasTaskCount() {
      return tasks > 0;
    }
  }

  private final EventLoop loop;
  private final JobReader jobReader;
  private final Supplier<MonotonicTime> terminalStatesCompleteSince;
  private final long retentionNanos;
  private final Map<String, CancelledJob> jobs = new LinkedHashMap<>();

  /**
   * @param terminalStatesCompleteSince the time since which no terminal state was missed here
   * @param cancelS seconds after which a cancelled job's tasks are certainly gone
   */
  CancelledJobs(
      EventLoop loop,
      JobReader jobReader,
      Supplier<MonotonicTime> terminalStatesCompleteSince,
      double cancelS) {
    this.loop = loop;
    this.jobReader = jobReader;
    this.terminalStatesCompleteSince = terminalStatesCompleteSince;
    double retentionS = cancelS * (1 + TimeConstants.MAX_CLOCK_DRIFT) + TimeConstants.KILL_MARGIN_S;
    this.retentionNanos = (long) (retentionS * 1e9);
  }

  /** Records a cancellation; {@code team} is empty and {@code tasks} is 0 if unknown. */
  void add(String job, String team, int tasks) {
    long now = loop.nanos();
    CancelledJob known = jobs.get(job);
    if (known == null) {
      jobs.put(job, new CancelledJob(team, tasks, now));
    } else if (known.team.isEmpty()) {
      jobs.put(job, new CancelledJob(team, tasks, known.learnedAtNanos));
    }
    Iterator<CancelledJob> oldest = jobs.values().iterator();
    while (oldest.hasNext() && now - oldest.next().learnedAtNanos > retentionNanos) {
      oldest.remove();
    }
  }

  /** Returns the most that tasks of the team's cancelled jobs may use on unreported machines. */
  Resources maxUseOfTeam(String team) {
    long now = loop.nanos();
    if (!terminalStatesCompleteSince.get().isOlderThan(retentionNanos, now)) {
      return Resources.UNBOUNDED;
    }
    Resources bound = Resources.ZERO;
    for (Map.Entry<String, CancelledJob> job : jobs.entrySet()) {
      if (now - job.getValue().learnedAtNanos <= retentionNanos) {
        bound = bound.plus(maxUseOfJob(team, job.getKey(), job.getValue()));
      }
    }
    return bound;
  }

  private Resources maxUseOfJob(String team, String job, CancelledJob cancelled) {
    if (!cancelled.mayBelongTo(team)) {
      return Resources.ZERO;
    }
    Resources taskSize = jobReader.taskSizeOf(job);
    boolean isBounded = taskSize != null && cancelled.hasTaskCount();
    return isBounded ? taskSize.times(cancelled.tasks) : Resources.UNBOUNDED;
  }
}

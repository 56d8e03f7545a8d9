package org.sandford.job;

import com.google.common.collect.RangeSet;
import org.sandford.model.JobSpec;

/** The result of reading one job from the store. */
public sealed interface JobReadResult {
  /**
   * The job was accepted and has not ended.
   *
   * @param spec what its user submitted
   * @param acceptedAt the wall-clock time of its submission, in milliseconds
   * @param finishedTasks the tasks that are recorded as finished
   * @param revision the revision of the open job's record
   */
  record Open(JobSpec spec, long acceptedAt, RangeSet<Integer> finishedTasks, long revision)
      implements JobReadResult {}

  /**
   * The job has ended.
   *
   * @param state how it ended
   * @param revision the revision of the terminal record
   */
  record Terminal(TerminalState state, long revision) implements JobReadResult {}

  /** No job with this id was accepted before the read began. */
  record Absent() implements JobReadResult {}

  /** The store did not answer, so nothing is known about the job. */
  record Unavailable() implements JobReadResult {}
}

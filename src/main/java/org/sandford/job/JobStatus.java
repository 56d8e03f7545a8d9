package org.sandford.job;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sandford.runtime.Json;

/** Builds the answers to users about jobs of which this controller knows only the record. */
final class JobStatus {
  private static final String JOB_ID = "name_id";
  private static final String STATUS = "status";
  private static final String DONE_TASKS = "done";
  private static final String RUNNING_TASKS = "running";
  private static final String QUEUED = "queued";
  private static final String RUNNING = "running";

  private JobStatus() {}

  /** Returns the answer for a job that has just been accepted. */
  static ObjectNode accepted(String id) {
    return Json.object().put(JOB_ID, id).put(STATUS, QUEUED);
  }

  /** Returns the answer for a job that has ended. */
  static ObjectNode terminal(String id, TerminalState state) {
    return Json.object().put(JOB_ID, id).put(STATUS, state.wireName());
  }

  /** Returns the answer from an open job's record, which lacks the number of running tasks. */
  static ObjectNode open(JobReadResult.Open job) {
    int finished = TaskRanges.count(job.finishedTasks());
    return Json.object()
        .put(JOB_ID, job.spec().id())
        .put(STATUS, finished > 0 ? RUNNING : QUEUED)
        .put(DONE_TASKS, finished)
        .put(RUNNING_TASKS, 0);
  }
}

package org.sandford.cluster;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.sandford.cluster.Cluster.NewJob;
import org.sandford.store.KeyChange;
import org.sandford.store.StoreClient.Entry;

/**
 * Holds the jobs that any controller stored for their team's owner and that the owner has not
 * loaded yet. Runs on the event loop.
 */
final class NewJobs {
  private static final String TEAM_FIELD = "t";

  private final BiConsumer<String, String> onNewJob;
  private final Map<String, NewJob> jobs = new TreeMap<>();
  private final Map<String, NewJob> readOnlyJobs = Collections.unmodifiableMap(jobs);

  /**
   * Creates an empty collection.
   *
   * @param onNewJob receives the id and the team of each announced job
   */
  NewJobs(BiConsumer<String, String> onNewJob) {
    this.onNewJob = onNewJob;
  }

  /** Returns a view of the jobs by id. */
  Map<String, NewJob> jobs() {
    return readOnlyJobs;
  }

  void removeAll() {
    jobs.clear();
  }

  /** Applies a change of the key that announces the job. */
  void apply(String jobId, KeyChange change) {
    if (change instanceof Entry entry) {
      NewJob job = new NewJob(entry.value().path(TEAM_FIELD).asText(), entry.revision());
      jobs.put(jobId, job);
      onNewJob.accept(jobId, job.team());
    } else {
      jobs.remove(jobId);
    }
  }
}

package org.sandford.job;

import java.util.TreeMap;
import org.sandford.cluster.Cluster;
import org.sandford.model.JobSpec;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adopts open jobs of owned teams that another controller stored and that are not known here. A key
 * in the store announces each such job until it is adopted.
 *
 * <p>Has no state of its own; runs on the event loop.
 */
final class JobAdoption {
  private static final Logger log = LoggerFactory.getLogger(JobAdoption.class);

  private final EventLoop loop;
  private final Cluster cluster;
  private final OwnedJobs owned;
  private final TerminalStates terminalStates;
  private final JobReader jobReader;
  private final JobRecordStore recordStore;
  private final Submissions.Listener listener;

  JobAdoption(
      EventLoop loop,
      Cluster cluster,
      OwnedJobs owned,
      TerminalStates terminalStates,
      JobReader jobReader,
      JobRecordStore recordStore,
      Submissions.Listener listener) {
    this.loop = loop;
    this.cluster = cluster;
    this.owned = owned;
    this.terminalStates = terminalStates;
    this.jobReader = jobReader;
    this.recordStore = recordStore;
    this.listener = listener;
  }

  /** Adopts all jobs that keys in the store announce. */
  void adoptNewJobs() {
    new TreeMap<>(cluster.newJobs()).forEach((id, newJob) -> adoptNewJob(id, newJob.team()));
  }

  /** Adopts a job that another controller stored, and removes the key that announced it. */
  void adoptNewJob(String id, String teamName) {
    Team team = owned.team(teamName);
    if (team == null || !team.isServed()) {
      return;
    }
    Job known = owned.job(id);
    if (known != null && known.phase() == Job.Phase.STORING) {
      // If this controller's own write fails, the job is removed here, so the key stays for the
      // next check.
      return;
    }
    if (known != null || terminalStates.contains(id)) {
      removeNewJobKey(id);
      return;
    }
    jobReader.read(
        id,
        result -> {
          if (owned.team(teamName) == team && team.isServed()) {
            adoptReadResult(id, result);
          }
        });
  }

  private void adoptReadResult(String id, JobReadResult result) {
    if (result instanceof JobReadResult.Open open) {
      adoptIfUnknown(open);
      removeNewJobKey(id);
    } else if (result instanceof JobReadResult.Terminal) {
      removeNewJobKey(id);
    } else {
      log.debug("added job not readable job={}", id);
    }
  }

  /** Adopts a stored job, unless its team is not owned here or the job is already known. */
  void adoptIfUnknown(JobReadResult.Open stored) {
    JobSpec spec = stored.spec();
    Team team = owned.team(spec.team());
    // The read may be older than a terminal state that became known meanwhile.
    boolean ended = terminalStates.contains(spec.id());
    if (team == null || !team.isServed() || owned.contains(spec.id()) || ended) {
      return;
    }
    Job job = Job.inherited(stored, loop.nanos());
    owned.add(team, job);
    listener.jobAdopted(job);
  }

  private void removeNewJobKey(String id) {
    Cluster.NewJob newJob = cluster.newJobs().get(id);
    if (newJob != null) {
      recordStore.removeNewJobKey(id, newJob.revision());
    }
  }
}

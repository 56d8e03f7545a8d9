package org.sandford.job;

import com.fasterxml.jackson.databind.JsonNode;
import org.sandford.cluster.Cluster;
import org.sandford.model.JobSpec;
import org.sandford.store.OpenJobReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares the store's open jobs with those that are known here, and adopts any that is missing. No
 * job should ever be missing; the audit limits how long a fault could leave one without an owner.
 *
 * <p>Has no state of its own; runs on the event loop.
 */
final class OpenJobAudit {
  private static final Logger log = LoggerFactory.getLogger(OpenJobAudit.class);

  private final Cluster cluster;
  private final OwnedJobs owned;
  private final OpenJobReader store;
  private final TerminalStates terminalStates;
  private final JobReader jobReader;
  private final JobAdoption adoption;

  OpenJobAudit(
      Cluster cluster,
      OwnedJobs owned,
      OpenJobReader store,
      TerminalStates terminalStates,
      JobReader jobReader,
      JobAdoption adoption) {
    this.cluster = cluster;
    this.owned = owned;
    this.store = store;
    this.terminalStates = terminalStates;
    this.jobReader = jobReader;
    this.adoption = adoption;
  }

  /** Reads all open jobs, unless no team is owned or the session lease is not valid. */
  void run() {
    if (!cluster.sessionLeaseValid() || owned.ownsNothing()) {
      return;
    }
    store.listOpenJobs(
        openJobs -> openJobs.forEach((id, entry) -> adoptIfMissing(id, entry.value())));
  }

  private void adoptIfMissing(String id, JsonNode record) {
    JobSpec spec = OpenJobReader.readSpec(id, record);
    jobReader.cacheFacts(spec);
    String team = spec.team();
    if (owned.owns(team) && !owned.contains(id) && !terminalStates.contains(id)) {
      log.info("open job unknown to its owner job={} team={}", id, team);
      // The listing may be older than the job's end, so the job is read again.
      adoption.adoptNewJob(id, team);
    }
  }
}

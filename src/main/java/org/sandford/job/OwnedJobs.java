package org.sandford.job;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.sandford.audit.Provenance;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ApiConstants;
import org.sandford.model.ApiResponse;

/**
 * Holds the teams that this controller owns, and their jobs: open ones, and ended ones that still
 * have placements. Used on the event loop.
 */
final class OwnedJobs {
  private final Cluster cluster;
  private final JobReader jobReader;
  private final CandidateMachines candidates;
  private final Map<String, Team> teams = new TreeMap<>();
  private final Map<String, Job> jobs = new HashMap<>();

  OwnedJobs(Cluster cluster, JobReader jobReader, CandidateMachines candidates) {
    this.cluster = cluster;
    this.jobReader = jobReader;
    this.candidates = candidates;
  }

  /** Returns the teams by name; only {@link TeamOwnership} changes them. */
  Map<String, Team> teams() {
    return teams;
  }

  /** Returns the jobs of all teams by id. */
  Map<String, Job> jobs() {
    return jobs;
  }

  Team team(String name) {
    return teams.get(name);
  }

  boolean owns(String team) {
    return teams.containsKey(team);
  }

  boolean ownsNothing() {
    return teams.isEmpty();
  }

  Job job(String id) {
    return jobs.get(id);
  }

  boolean contains(String id) {
    return jobs.containsKey(id);
  }

  /**
   * Returns whether this very object is still held: its team may have been relinquished, or another
   * job may have replaced it under the same id.
   */
  boolean isCurrent(Job job) {
    return jobs.get(job.spec.id()) == job;
  }

  /**
   * Returns the refusal of a request for a team that this controller cannot serve now; null if it
   * can.
   */
  ApiResponse refusalFor(String team) {
    Team owned = teams.get(team);
    if (owned == null || !owned.isServed() || !cluster.sessionLeaseValid()) {
      return ApiResponse.retryLater(
          503,
          "no controller speaks for team " + team + " just now",
          ApiConstants.RETRY_AFTER_UNAVAILABLE_S);
    }
    return null;
  }

  /** Returns the provenance of an answer from memory for a team of this controller. */
  Provenance ownerMemory(String team) {
    return new Provenance.OwnerMemory(cluster.incarnationId(), teams.get(team).generation);
  }

  /** Removes the job and its placements. */
  void remove(Job job) {
    jobs.remove(job.spec.id(), job);
    job.placements().forEach(candidates::removePlacement);
    Team team = teams.get(job.spec.team());
    if (team != null) {
      team.jobs.remove(job.spec.id(), job);
    }
  }

  /** Adds a job to one of the teams and caches its immutable facts. */
  void add(Team team, Job job) {
    team.jobs.put(job.spec.id(), job);
    jobs.put(job.spec.id(), job);
    jobReader.cacheFacts(job.spec);
  }
}

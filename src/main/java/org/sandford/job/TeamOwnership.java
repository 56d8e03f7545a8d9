package org.sandford.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sandford.audit.AuditLog;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ApiConstants;
import org.sandford.model.ApiResponse;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.ClaimReply;
import org.sandford.peer.wire.ClaimTeam;
import org.sandford.peer.wire.TeamHandedOver;
import org.sandford.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires and relinquishes teams according to the assignment map, and hands them over when the
 * leader requests it. An acquired team is claimed at every controller: one that has acknowledged
 * the claim refuses commands of the team's former owners. Runs on the event loop.
 */
final class TeamOwnership {
  private static final Logger log = LoggerFactory.getLogger(TeamOwnership.class);

  private final Settings settings;
  private final Cluster cluster;
  private final PeerLinks links;
  private final AuditLog audit;
  private final OwnedJobs owned;
  private final CandidateMachines candidates;

  TeamOwnership(
      Settings settings,
      Cluster cluster,
      PeerLinks links,
      AuditLog audit,
      OwnedJobs owned,
      CandidateMachines candidates) {
    this.settings = settings;
    this.cluster = cluster;
    this.links = links;
    this.audit = audit;
    this.owned = owned;
    this.candidates = candidates;
  }

  /** Applies the assignment map; returns the acquired teams, whose jobs have yet to be loaded. */
  List<Team> applyAssignments() {
    Map<String, TeamAssignment> assignments = cluster.teams().assignments();
    for (Team team : new ArrayList<>(owned.teams().values())) {
      TeamAssignment assignment = assignments.get(team.name);
      if (assignment == null
          || !assignment.owner().equals(cluster.incarnationId())
          || assignment.generation() != team.generation) {
        relinquish(team);
      }
    }
    List<Team> acquired = new ArrayList<>();
    assignments.forEach(
        (name, assignment) -> {
          if (assignment.owner().equals(cluster.incarnationId()) && !owned.owns(name)) {
            acquired.add(acquire(name, assignment.generation()));
          }
        });
    return acquired;
  }

  private Team acquire(String name, long generation) {
    Settings.Team limits = settings.facts().teams().get(name);
    if (limits == null) {
      limits = new Settings.Team(name, 0, 0, 0, 0);
    }
    Team team = new Team(name, generation, limits);
    owned.teams().put(name, team);
    log.info("team acquired team={} generation={}", name, generation);
    audit.teamAcquired(name, generation, cluster.incarnationId(), cluster.teams().revision());
    requestClaim(settings.label(), team);
    settings.peers().forEach(peer -> requestClaim(peer.label(), team));
    return team;
  }

  private void requestClaim(String label, Team team) {
    links.request(label, new ClaimTeam(team.name, team.generation));
  }

  /** Sends the claims of all owned teams over a new link to a controller. */
  void linkEstablished(String peer) {
    owned.teams().values().forEach(team -> requestClaim(peer, team));
  }

  /**
   * Records the reply to a claim; returns false if it refuses, or answers an older ownership's
   * claim.
   */
  boolean claimReplied(String from, ClaimReply reply) {
    Team team = owned.team(reply.team);
    if (team == null || team.generation != reply.generation || !reply.accepted) {
      return false;
    }
    team.claimAcknowledgedBy.add(from);
    return true;
  }

  private void relinquish(Team team) {
    log.info("team relinquished team={} generation={}", team.name, team.generation);
    audit.teamRelinquished(team.name, team.generation, "map");
    owned.teams().remove(team.name);
    for (Job job : team.jobs.values()) {
      owned.jobs().remove(job.spec.id());
      job.placements().forEach(candidates::removePlacement);
      ApiResponse retryLater =
          ApiResponse.retryLater(
              503, "the team's owner changes", ApiConstants.RETRY_AFTER_UNAVAILABLE_S);
      job.submissionCallbacks.forEach(callback -> callback.accept(retryLater));
      job.cancellationCallbacks.forEach(callback -> callback.accept(retryLater));
    }
  }

  /**
   * Hands over a team that the leader wants another controller to own: this one answers and decides
   * nothing more for it under this generation. A repeated request is confirmed again, since the
   * first confirmation may be lost.
   *
   * @return whether the team is handed over; false if it is not served here under this generation
   */
  boolean handOver(String name, long generation) {
    Team team = owned.team(name);
    Optional<HandoverRefusal> refusal = checkHandover(team, generation);
    if (refusal.isPresent()) {
      audit.handoverRefused(name, generation, refusal.get().logName());
      return false;
    }
    if (team.isServed()) {
      log.info("team handed over team={} generation={}", name, generation);
      audit.teamRelinquished(name, generation, "yield");
      team.transitionTo(Team.Phase.HANDED_OVER);
    }
    return true;
  }

  private static Optional<HandoverRefusal> checkHandover(Team team, long generation) {
    if (team == null) {
      return Optional.of(HandoverRefusal.NOT_OWNED);
    }
    if (team.generation != generation) {
      return Optional.of(HandoverRefusal.OTHER_GENERATION);
    }
    return team.phase() == Team.Phase.LOADING
        ? Optional.of(HandoverRefusal.LOADING)
        : Optional.empty();
  }

  /**
   * Announces to all controllers the teams that were handed over and have no next owner yet. Called
   * once a heartbeat. A leader remembers a handover only until it ends, so without the announcement
   * the team would have no owner after that. It stays true however late it arrives: no team is
   * served again under a generation in which it was handed over.
   */
  void announceHandovers() {
    for (Team team : owned.teams().values()) {
      if (team.phase() == Team.Phase.HANDED_OVER) {
        links.publish(new TeamHandedOver(team.name, team.generation));
      }
    }
  }
}

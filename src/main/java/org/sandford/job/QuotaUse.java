package org.sandford.job;

/**
 * Counts the quota use of each owned team: the placements of its jobs, untracked tasks, and, until
 * the team has recovered, an upper bound for tasks of cancelled jobs that were not reported. Runs
 * on the event loop.
 */
final class QuotaUse {
  private final OwnedJobs owned;
  private final UntrackedTasks untracked;
  private final CancelledJobs cancelled;

  QuotaUse(OwnedJobs owned, UntrackedTasks untracked, CancelledJobs cancelled) {
    this.owned = owned;
    this.untracked = untracked;
    this.cancelled = cancelled;
  }

  /** Recounts the use of all teams. Later placements adjust the counts. */
  void recount() {
    owned.teams().values().forEach(Team::recountUse);
    untracked.addTo(owned.teams());
    for (Team team : owned.teams().values()) {
      if (team.phase() != Team.Phase.READY) {
        team.setCancelledBound(cancelled.maxHeldBy(team.name));
      }
    }
  }
}

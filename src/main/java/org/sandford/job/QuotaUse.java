package org.sandford.job;

/**
 * Counts the quota use of each owned team: the placements of its jobs, untracked tasks, and, until
 * the team has recovered, an upper bound for tasks of cancelled jobs that were not reported. Runs
 * on the event loop.
 */
final class QuotaUse {
  private final OwnedJobs owned;
  private final UntrackedTasks untrackedTasks;
  private final CancelledJobs cancelledJobs;

  QuotaUse(OwnedJobs owned, UntrackedTasks untrackedTasks, CancelledJobs cancelledJobs) {
    this.owned = owned;
    this.untrackedTasks = untrackedTasks;
    this.cancelledJobs = cancelledJobs;
  }

  /** Recounts the use of all teams. Later placements adjust the counts. */
  void recount() {
    owned.teams().values().forEach(Team::recountUse);
    untrackedTasks.addUseTo(owned.teams());
    for (Team team : owned.teams().values()) {
      if (team.phase() != Team.Phase.READY) {
        team.setCancelledMax(cancelledJobs.maxUseOfTeam(team.name));
      }
    }
  }
}

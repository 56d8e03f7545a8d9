package org.sandford.job;

import java.util.HashSet;
import java.util.Set;
import org.sandford.constants.JobConstants;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.peer.wire.StartReply;
import org.sandford.runtime.EventLoop;

/**
 * Resolves starts that were requested from machines' owners, by the owner's answer or by its
 * absence once the link was replaced. Runs on the event loop.
 */
final class PendingStarts {
  private final EventLoop loop;
  private final OwnedJobs owned;
  private final PlacementLedger ledger;
  private final TaskCommands commands;
  private final Gangs gangs;
  private final PlanningTimer timer;

  PendingStarts(
      EventLoop loop,
      OwnedJobs owned,
      PlacementLedger ledger,
      TaskCommands commands,
      Gangs gangs,
      PlanningTimer timer) {
    this.loop = loop;
    this.owned = owned;
    this.ledger = ledger;
    this.commands = commands;
    this.gangs = gangs;
    this.timer = timer;
  }

  /** Handles the answer of a machine's owner, which accepted or refused the start. */
  void handleReply(StartReply reply) {
    Job job = owned.job(reply.job);
    TaskPlacement placement = job == null ? null : job.placementOf(reply.task);
    if (placement == null
        || placement.attempt != reply.attempt
        || placement.phase() != TaskPhase.REQUESTED) {
      return;
    }
    if (reply.accepted) {
      placement.transitionTo(TaskPhase.PLACED);
      if (job.phase() != Job.Phase.OPEN) {
        commands.stop(placement, 0);
      }
      gangs.check(job);
    } else {
      ledger.release(placement);
      job.retry.delayUntil(loop.millis() + JobConstants.REFUSED_START_RETRY_MS);
      timer.requestRound();
    }
  }

  /**
   * Releases unanswered starts after the owner sent snapshots of all its machines. A start that was
   * requested over an earlier link and is not in the snapshots was never accepted.
   */
  void releaseUnanswered(String owner, SnapshotUpdate update) {
    Set<AttemptId> reported = new HashSet<>();
    update.machines.forEach(
        machine -> machine.tasks.forEach(task -> reported.add(AttemptId.of(task))));
    for (Job job : owned.jobs().values()) {
      for (TaskPlacement placement : job.placements()) {
        if (placement.phase() == TaskPhase.REQUESTED
            && placement.owner.equals(owner)
            && commands.startIsObsolete(placement, owner)
            && !reported.contains(AttemptId.of(placement))) {
          ledger.release(placement);
        }
      }
    }
  }
}

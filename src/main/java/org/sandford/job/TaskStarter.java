package org.sandford.job;

import java.util.ArrayList;
import java.util.List;
import org.sandford.audit.AuditLog;
import org.sandford.cluster.Cluster;
import org.sandford.placement.Planner;

/**
 * Commits plans. For each task of a plan, assigns an attempt, records the placement and requests
 * the start from the machine's owner. Runs on the event loop.
 */
final class TaskStarter {
  private final Cluster cluster;
  private final PlacementLedger ledger;
  private final TaskCommands commands;
  private final Gangs gangs;
  private final AuditLog audit;

  TaskStarter(
      Cluster cluster, PlacementLedger ledger, TaskCommands commands, Gangs gangs, AuditLog audit) {
    this.cluster = cluster;
    this.ledger = ledger;
    this.commands = commands;
    this.gangs = gangs;
    this.audit = audit;
  }

  /**
   * Starts the tasks of the plan. Tasks whose start could not be sent wait again; for a gang, only
   * after all its other starts were sent.
   */
  void start(Team team, Job job, Planner.Plan plan) {
    List<Integer> tasks = job.tasks.firstWaiting(plan.tasks());
    List<TaskPlacement> unsent = new ArrayList<>();
    boolean gang = job.spec.isGang();
    long gangAttempt = gang ? team.nextAttempt() : 0;
    int nextIndex = 0;
    job.setWaitReason(WaitReason.NONE);
    for (Planner.Allocation allocation : plan.allocations()) {
      long generation =
          cluster.machines().assignments().get(allocation.candidate().machine).generation();
      for (int i = 0; i < allocation.tasks(); i++) {
        long attempt = gang ? gangAttempt : team.nextAttempt();
        TaskPlacement placement =
            new TaskPlacement(
                job,
                tasks.get(nextIndex++),
                attempt,
                allocation.candidate().machine,
                generation,
                allocation.candidate().ownerLabel,
                commands.linkEpoch(allocation.candidate().ownerLabel),
                allocation.candidate().zone,
                TaskPhase.REQUESTED);
        if (!recordAndRequestStart(team, placement)) {
          unsent.add(placement);
        }
      }
    }
    if (gang) {
      gangs.startsRequested(job);
    }
    unsent.forEach(ledger::release);
  }

  private boolean recordAndRequestStart(Team team, TaskPlacement placement) {
    ledger.record(placement);
    audit.startRequested(
        placement.job.spec.id(),
        placement.task,
        placement.attempt,
        placement.machine,
        team.generation,
        cluster.incarnationId());
    return commands.start(team, placement);
  }
}

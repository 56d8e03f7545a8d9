package org.sandford.machine;

import java.util.function.Consumer;
import org.sandford.cluster.Cluster;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.AcknowledgeExit;
import org.sandford.peer.wire.ClaimReply;
import org.sandford.peer.wire.ClaimTeam;
import org.sandford.peer.wire.DecommissionMachine;
import org.sandford.peer.wire.DrainMachine;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.StopTask;
import org.sandford.peer.wire.TaskState;
import org.sandford.peer.wire.Victim;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles requests from team owners and the leader for this shard's machines, except starts. Drops
 * requests for a machine of another shard and requests of a team's former owner. Runs on the event
 * loop.
 */
final class PeerRequests {
  private static final Logger log = LoggerFactory.getLogger(PeerRequests.class);

  private final EventLoop loop;
  private final Cluster cluster;
  private final MachineRegistry machines;
  private final TeamGenerations teams;
  private final SnapshotPublisher publisher;
  private final TaskStopper stopper;

  PeerRequests(
      EventLoop loop,
      Cluster cluster,
      MachineRegistry machines,
      TeamGenerations teams,
      SnapshotPublisher publisher,
      TaskStopper stopper) {
    this.loop = loop;
    this.cluster = cluster;
    this.machines = machines;
    this.teams = teams;
    this.publisher = publisher;
    this.stopper = stopper;
  }

  /**
   * Accepts a team's new owner; afterwards no earlier owner can start tasks here. Replies after
   * publishing the snapshots of everything accepted before.
   */
  void claimTeam(ClaimTeam claim, Consumer<Object> reply) {
    boolean accepted = teams.accept(claim.team, claim.generation);
    publisher.publish();
    reply.accept(new ClaimReply(claim.team, claim.generation, accepted));
  }

  void stopTask(StopTask request) {
    if (!teams.accept(request.team, request.generation)) {
      return;
    }
    Machine machine = machines.get(request.machine);
    if (machine != null) {
      TaskId task = new TaskId(request.job, request.task);
      stopper.stop(machine, task, request.attempt, request.graceS);
    }
  }

  /** Reserves resources for a job and stops the tasks that hold them. */
  void preempt(Preempt request) {
    Machine machine = machines.get(request.machine);
    if (machine == null || !cluster.sessionLeaseValid()) {
      return;
    }
    machine.reserve(request, loop.nanos());
    publisher.markChanged(machine);
    for (Victim victim : request.victims) {
      log.info(
          "task preempted task={}/{} machine={} for_job={} team={}",
          victim.job,
          victim.task,
          request.machine,
          request.forJob,
          request.team);
      TaskId task = new TaskId(victim.job, victim.task);
      stopper.stop(machine, task, victim.attempt, request.graceS);
    }
  }

  /**
   * Records that the team's owner has recorded an exit, so that the worker may forget the attempt.
   */
  void acknowledgeExit(AcknowledgeExit request) {
    Machine machine = machines.get(request.machine);
    if (machine == null || !teams.accept(request.team, request.generation)) {
      return;
    }
    TaskEntry entry = machine.find(new TaskId(request.job, request.task), request.attempt);
    if (entry != null && entry.state() == TaskState.EXITED) {
      entry.acknowledgeExit();
    }
  }

  /** Decommissions a machine, permanently, if it is idle or must be replaced. */
  void decommission(DecommissionMachine request) {
    Machine machine = machines.get(request.machine);
    if (machine == null) {
      return;
    }
    boolean allowed = request.force || machine.tasks().isIdle();
    StateChangeReason reason =
        request.force ? StateChangeReason.REPLACED : StateChangeReason.NOT_NEEDED;
    if (allowed && machine.transitionTo(MachineState.DECOMMISSIONED, reason)) {
      publisher.markChanged(machine);
    }
    publisher.publish();
  }

  /** Starts or ends a drain: a draining machine accepts no starts. */
  void drain(DrainMachine request) {
    Machine machine = machines.get(request.machine);
    if (machine != null && machine.setDraining(request.drain)) {
      log.info(
          "machine drain changed machine={} zone={} draining={}",
          machine.name(),
          machine.assignment().zone(),
          request.drain);
      publisher.markChanged(machine);
    }
  }
}

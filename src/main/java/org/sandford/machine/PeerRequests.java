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
 * Carries out what team owners and the leader request of this shard's machines, except starts. A
 * request for a machine of another shard, or of a former owner of a team, is dropped. Runs on the
 * event loop.
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
   * Accepts a team's new owner, after which no earlier one starts anything here. The answer comes
   * after the snapshots of all that was accepted before.
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

  /** Takes in that an exit is recorded, so that the worker may forget the attempt. */
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

  /** Takes a machine out of service if it is idle or has to be replaced; it stays so. */
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

  /** Begins or ends a drain: a draining machine accepts no starts. */
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

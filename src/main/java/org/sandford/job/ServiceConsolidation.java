package org.sandford.job;

import java.util.ArrayList;
import java.util.List;
import org.sandford.constants.JobConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.machine.MachineSnapshots.ReceivedSnapshot;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.placement.CandidateMachine;
import org.sandford.placement.Planner;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves replicas of services off draining machines while no job waits to be planned. Runs on the
 * event loop.
 */
final class ServiceConsolidation {
  private static final Logger log = LoggerFactory.getLogger(ServiceConsolidation.class);

  private final EventLoop loop;
  private final MachineSnapshots machineSnapshots;
  private final OwnedJobs owned;
  private final CandidateMachines candidates;
  private final TaskCommands commands;
  private final Planner planner = new Planner();
  private long nextMoveAtMs;

  ServiceConsolidation(
      EventLoop loop,
      MachineSnapshots machineSnapshots,
      OwnedJobs owned,
      CandidateMachines candidates,
      TaskCommands commands) {
    this.loop = loop;
    this.machineSnapshots = machineSnapshots;
    this.owned = owned;
    this.candidates = candidates;
    this.commands = commands;
  }

  /**
   * Stops one replica if a machine with its image has free resources for it. Moves only one at a
   * time, since the service lacks the replica until it runs again.
   */
  void moveReplica() {
    long nowMs = loop.millis();
    if (nowMs < nextMoveAtMs) {
      return;
    }
    nextMoveAtMs = nowMs + JobConstants.PLAN_IDLE_MS;
    List<TaskPlacement> movableReplicas = replicasOnDrainingMachines();
    if (movableReplicas.isEmpty()) {
      return;
    }
    List<CandidateMachine> usableMachines = candidates.usable();
    for (TaskPlacement replica : movableReplicas) {
      if (fitsOnMachineWithImage(replica, usableMachines)) {
        log.info(
            "replica moved off draining machine job={} task={} machine={}",
            replica.job.spec.id(),
            replica.task,
            replica.machine);
        nextMoveAtMs = nowMs + JobConstants.REPLICA_MOVE_INTERVAL_MS;
        commands.stop(replica, JobConstants.PREEMPTION_GRACE_S);
        return;
      }
    }
  }

  private List<TaskPlacement> replicasOnDrainingMachines() {
    List<TaskPlacement> movableReplicas = new ArrayList<>();
    for (ReceivedSnapshot received : machineSnapshots.all()) {
      MachineSnapshot snapshot = received.snapshot();
      if (snapshot.draining
          && snapshot.state == MachineState.UP
          && machineSnapshots.isFromOwner(received)) {
        addMovableReplicas(snapshot, movableReplicas);
      }
    }
    return movableReplicas;
  }

  private void addMovableReplicas(MachineSnapshot snapshot, List<TaskPlacement> movableReplicas) {
    for (TaskSnapshot task : snapshot.tasks) {
      Job job = owned.job(task.job);
      TaskPlacement placement = job == null ? null : job.placementOf(task.task);
      if (placement != null && placement.attempt == task.attempt && isFullyRunningService(job)) {
        movableReplicas.add(placement);
      }
    }
  }

  /** Returns whether the job is a service of which every replica runs. */
  private static boolean isFullyRunningService(Job job) {
    return job.spec.isService()
        && job.phase() == Job.Phase.OPEN
        && job.tasks.waitingCount() == 0
        && job.runningCount() == job.spec.tasks();
  }

  private boolean fitsOnMachineWithImage(
      TaskPlacement replica, List<CandidateMachine> usableMachines) {
    String image = replica.job.spec.image();
    List<CandidateMachine> withImage =
        usableMachines.stream().filter(candidate -> candidate.images.contains(image)).toList();
    return planner.place(replica.job.resourceRequestWithout(replica), 1, withImage, true) != null;
  }
}

package org.sandford.job;

import java.util.HashMap;
import java.util.Map;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.model.JobSpec;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.AcknowledgeExit;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.StopTask;

/**
 * Sends the commands for tasks to the controllers that own their machines. Every command carries
 * the team's generation, by which a machine's owner refuses commands of a former owner of the team.
 * A command is sent once and may be lost; callers that need its effect repeat it.
 *
 * <p>Numbers the links to each of the other controllers by epoch. Runs on the event loop.
 */
final class TaskCommands {
  private final Cluster cluster;
  private final PeerLinks links;
  private final OwnedJobs owned;

  /** The number of links so far to each controller, which is the epoch of the latest. */
  private final Map<String, Integer> linkEpochs = new HashMap<>();

  TaskCommands(Cluster cluster, PeerLinks links, OwnedJobs owned) {
    this.cluster = cluster;
    this.links = links;
    this.owned = owned;
  }

  void linkEstablished(String peer) {
    linkEpochs.merge(peer, 1, Integer::sum);
  }

  /** Returns the epoch of the current link to this controller, or else of the last one. */
  int linkEpoch(String peer) {
    return linkEpochs.getOrDefault(peer, 0);
  }

  /**
   * Returns whether an unanswered start can no longer be executed. A new link closes the old one at
   * the remote end, so a start that was not accepted by then never will be. This holds only for the
   * same incarnation of the owner: a former incarnation may have accepted the start and ended
   * before it answered. In that case the machine's next owner reports the task.
   */
  boolean startIsObsolete(TaskPlacement placement, String owner) {
    return placement.linkEpoch < linkEpoch(owner)
        && hasSameOwner(placement, links.incarnationIdOf(owner));
  }

  private boolean hasSameOwner(TaskPlacement placement, String incarnationId) {
    MachineAssignment assignment = cluster.machines().assignments().get(placement.machine);
    return assignment != null
        && assignment.generation() == placement.machineGeneration
        && assignment.owner().equals(incarnationId);
  }

  /** Requests the start of the task. Returns false if there is no link to the owner. */
  boolean start(Team team, TaskPlacement placement) {
    Job job = placement.job;
    JobSpec spec = job.spec;
    return links.request(
        placement.owner,
        new StartTask(
            team.name,
            team.generation,
            placement.machine,
            placement.machineGeneration,
            spec.id(),
            placement.task,
            placement.attempt,
            spec.rank().number(),
            job.acceptedAt,
            spec.cpus(),
            spec.gpus(),
            spec.ramGb(),
            spec.image()));
  }

  /**
   * Requests the stop of a task, which gets {@code graceS} seconds to save a checkpoint. An
   * unanswered start stays {@link TaskPhase#REQUESTED}, since the owner may not have accepted it.
   */
  void stop(TaskPlacement placement, int graceS) {
    stop(placement.job, placement.machine, placement.task, placement.attempt, graceS);
    if (placement.phase() != TaskPhase.REQUESTED) {
      placement.recordStop(graceS);
    }
  }

  /** Requests a stop again as it was requested last. */
  void repeatStop(TaskPlacement placement) {
    stop(placement, placement.stopGraceS());
  }

  /** Requests the stop without grace of an attempt that is not its task's placement. */
  void stopAttempt(Job job, String machine, int task, long attempt) {
    stop(job, machine, task, attempt, 0);
  }

  private void stop(Job job, String machine, int task, long attempt, int graceS) {
    MachineAssignment assignment = cluster.machines().assignments().get(machine);
    if (assignment != null) {
      links.request(
          Cluster.labelOf(assignment.owner()),
          new StopTask(
              job.spec.team(),
              owned.team(job.spec.team()).generation,
              machine,
              job.spec.id(),
              task,
              attempt,
              graceS));
    }
  }

  /** Allows the worker to discard the result of an ended attempt. */
  void acknowledgeExit(Job job, String machine, int task, long attempt) {
    MachineAssignment assignment = cluster.machines().assignments().get(machine);
    Team team = owned.team(job.spec.team());
    if (assignment != null && team != null) {
      links.request(
          Cluster.labelOf(assignment.owner()),
          new AcknowledgeExit(team.name, team.generation, machine, job.spec.id(), task, attempt));
    }
  }
}

package org.sandford.machine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sandford.audit.AuditLog;
import org.sandford.cancel.Cancellations;
import org.sandford.cloud.InstanceType;
import org.sandford.cluster.Cluster;
import org.sandford.model.ApiResponse;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.AcknowledgeExit;
import org.sandford.peer.wire.ClaimTeam;
import org.sandford.peer.wire.DecommissionMachine;
import org.sandford.peer.wire.DrainMachine;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.StopTask;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport;
import org.sandford.settings.Settings;
import org.sandford.store.OpenJobReader;

/**
 * The machines that this controller owns by the assignment map. It alone commands and answers their
 * workers, and tells the teams' owners what became of their tasks. This class assembles the parts
 * and passes calls on; all of it runs on the event loop.
 */
public final class MachineShard {
  private final MachineRegistry machines = new MachineRegistry();
  private final SnapshotPublisher publisher;
  private final MachineMonitor monitor;
  private final ShardAssignment assignment;
  private final OpenJobResolver openJobs;
  private final TaskStopper stopper;
  private final HeartbeatHandler heartbeatHandler;
  private final StartHandler startHandler;
  private final PeerRequests peerRequests;

  /**
   * Assembles the shard; nothing runs before {@link #start}. It is longer than other constructors
   * and takes more collaborators, since each part and what it needs is named here once; no part
   * takes more than seven.
   *
   * @param instanceTypes the instance type of this name, or null when it is not known yet
   * @param isTerminal whether the end of the job of this id is known here
   */
  public MachineShard(
      EventLoop loop,
      Settings settings,
      Cluster cluster,
      Cancellations cancellations,
      HttpTransport http,
      PeerLinks links,
      OpenJobReader jobs,
      Function<String, InstanceType> instanceTypes,
      Predicate<String> isTerminal,
      MachineSnapshots machineSnapshots,
      AuditLog audit) {
    TeamGenerations teams = new TeamGenerations();
    CommandScheduler commands = new CommandScheduler(loop);
    CommandAudit commandAudit = new CommandAudit(cluster, audit);
    MachineAnnouncer announcer = new MachineAnnouncer(loop, cluster, links);
    publisher = new SnapshotPublisher(loop, cluster, links, machines);
    stopper = new TaskStopper(machines, publisher, commands, commandAudit);
    openJobs = new OpenJobResolver(loop, jobs, machines, publisher, stopper);
    HeartbeatProcessor processor =
        new HeartbeatProcessor(loop, isTerminal, publisher, openJobs, commands);
    WorkerClient workers = new WorkerClient(http, processor);
    MachineReconciler reconciler = new MachineReconciler(loop, cluster, machines, workers);
    CommandDispatcher dispatcher =
        new CommandDispatcher(loop, cluster, machines, publisher, workers, reconciler);
    commands.setDispatcher(dispatcher::dispatch);
    monitor =
        new MachineMonitor(
            loop,
            machines,
            new LostMachineDetector(loop, settings, machines, publisher, workers),
            reconciler,
            publisher,
            dispatcher,
            announcer);
    assignment =
        new ShardAssignment(
            loop, cluster, machines, teams, machineSnapshots, publisher, reconciler);
    heartbeatHandler =
        new HeartbeatHandler(
            loop, settings, cluster, cancellations, machines, announcer, processor);
    StartAdmission admission =
        new StartAdmission(loop, cluster, machines, teams, instanceTypes, isTerminal);
    startHandler = new StartHandler(loop, machines, admission, publisher, commands, commandAudit);
    peerRequests = new PeerRequests(loop, cluster, machines, teams, publisher, stopper);
  }

  /** Begins the periodic checks; called once. */
  public void start() {
    monitor.start();
    publisher.start();
  }

  /** Takes in a new assignment map: machines and teams may have changed their owners. */
  public void mapChanged() {
    assignment.mapChanged();
  }

  /** The snapshots of all machines, for a controller whose link comes up. */
  public SnapshotUpdate completeUpdate() {
    return publisher.completeUpdate();
  }

  /** Answers whether a team's new owner is accepted, after the snapshots of what was before. */
  public void claimTeam(ClaimTeam claim, Consumer<Object> reply) {
    peerRequests.claimTeam(claim, reply);
  }

  /** Answers whether a start is accepted; its outcome comes with a snapshot. */
  public void startTask(StartTask request, Consumer<Object> reply) {
    startHandler.start(request, reply);
  }

  /** Stops an attempt; the exit comes with a snapshot. */
  public void stopTask(StopTask request) {
    peerRequests.stopTask(request);
  }

  /** Reserves resources for a job and stops the tasks that hold them. */
  public void preempt(Preempt request) {
    peerRequests.preempt(request);
  }

  /** Takes in that an exit is recorded, so that the worker may forget the attempt. */
  public void acknowledgeExit(AcknowledgeExit request) {
    peerRequests.acknowledgeExit(request);
  }

  /** Takes a machine out of service if it is idle or has to be replaced. */
  public void decommission(DecommissionMachine request) {
    peerRequests.decommission(request);
  }

  /** Begins or ends a drain: a draining machine accepts no starts. */
  public void drain(DrainMachine request) {
    peerRequests.drain(request);
  }

  /** A job's terminal state is stored: whatever of it is still here has to end. */
  public void jobEnded(String job) {
    openJobs.jobEnded(job);
    stopper.endTasksOf(job);
  }

  /** Ends of jobs may have been missed: the jobs of all tasks here are read again. */
  public void jobEndsMissed() {
    openJobs.jobEndsMissed();
  }

  /**
   * Answers a worker's heartbeat: 200 with the token and commands, 421 with the owner's label when
   * another controller owns the machine, 400 when the body is none, 503 when its lease must not be
   * renewed now.
   */
  public ApiResponse handleHeartbeat(JsonNode body) {
    return heartbeatHandler.handle(body);
  }

  /** How many machines are in each state, by the state's name in lower case. */
  public Map<String, Integer> countByState() {
    return machines.countByState();
  }
}

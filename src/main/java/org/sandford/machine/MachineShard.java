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
 * Manages the machines that the assignment map gives to this controller. Only their owner sends
 * commands to their workers and answers them, and it reports the state of their tasks to the teams'
 * owners. This class creates the components and delegates calls to them. Runs on the event loop.
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
   * Creates the shard's components; nothing runs before {@link #start}. This constructor is longer
   * and has more parameters than others because it connects all components; none of them takes more
   * than seven parameters.
   *
   * @param instanceTypes returns the instance type of a name, or null if it is not known yet
   * @param isTerminal returns whether the job of an id is known to have ended
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

  /** Starts the periodic checks; called once. */
  public void start() {
    monitor.start();
    publisher.start();
  }

  /** Applies a new assignment map, in which machines and teams may have new owners. */
  public void applyAssignmentMap() {
    assignment.applyAssignmentMap();
  }

  /** Returns the snapshots of all machines, for a controller whose link has come up. */
  public SnapshotUpdate completeUpdate() {
    return publisher.completeUpdate();
  }

  /**
   * Replies whether a team's new owner is accepted, after publishing the snapshots of all earlier
   * changes.
   */
  public void claimTeam(ClaimTeam claim, Consumer<Object> reply) {
    peerRequests.claimTeam(claim, reply);
  }

  /** Replies whether a start is accepted; a later snapshot shows its outcome. */
  public void startTask(StartTask request, Consumer<Object> reply) {
    startHandler.start(request, reply);
  }

  /** Stops an attempt; a later snapshot shows its exit. */
  public void stopTask(StopTask request) {
    peerRequests.stopTask(request);
  }

  /** Reserves resources for a job and stops the tasks that hold them. */
  public void preempt(Preempt request) {
    peerRequests.preempt(request);
  }

  /**
   * Records that the team's owner has recorded an exit, so that the worker may forget the attempt.
   */
  public void acknowledgeExit(AcknowledgeExit request) {
    peerRequests.acknowledgeExit(request);
  }

  /** Decommissions a machine if it is idle or must be replaced. */
  public void decommission(DecommissionMachine request) {
    peerRequests.decommission(request);
  }

  /** Starts or ends a drain: a draining machine accepts no starts. */
  public void drain(DrainMachine request) {
    peerRequests.drain(request);
  }

  /** Ends all remaining tasks of a job whose terminal state is stored. */
  public void jobEnded(String job) {
    openJobs.jobEnded(job);
    stopper.endTasksOf(job);
  }

  /** Reads the jobs of all tasks again, since ends of jobs may have been missed. */
  public void recheckJobs() {
    openJobs.recheckJobs();
  }

  /**
   * Answers a worker's heartbeat: 200 with the token and commands, 421 with the owner's label when
   * another controller owns the machine, 400 when the body is not a heartbeat, 503 when the lease
   * must not be renewed now or a newer message is known.
   */
  public ApiResponse handleHeartbeat(JsonNode body) {
    return heartbeatHandler.handle(body);
  }

  /** Returns the number of machines in each state, by the state's name in lower case. */
  public Map<String, Integer> countByState() {
    return machines.countByState();
  }
}

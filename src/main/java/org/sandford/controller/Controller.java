package org.sandford.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.sandford.api.Api;
import org.sandford.api.CancellationHandler;
import org.sandford.api.ForwardedRequestHandler;
import org.sandford.api.HealthHandler;
import org.sandford.api.OwnerForwarding;
import org.sandford.api.PollHandler;
import org.sandford.api.SubmissionHandler;
import org.sandford.api.UserAnswers;
import org.sandford.audit.AuditLog;
import org.sandford.cancel.Cancellations;
import org.sandford.cloud.CloudClient;
import org.sandford.cloud.InstanceType;
import org.sandford.cluster.AssignmentMap.TeamAssignment;
import org.sandford.cluster.Cluster;
import org.sandford.cluster.RecordVersions;
import org.sandford.constants.PeerConstants;
import org.sandford.constants.TimeConstants;
import org.sandford.job.JobReader;
import org.sandford.job.JobScheduler;
import org.sandford.job.TerminalStates;
import org.sandford.machine.MachineShard;
import org.sandford.machine.MachineSnapshots;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.AcknowledgeExit;
import org.sandford.peer.wire.AssignmentRevisions;
import org.sandford.peer.wire.AssignmentUpdate;
import org.sandford.peer.wire.CancellationsRequest;
import org.sandford.peer.wire.CancellationsResponse;
import org.sandford.peer.wire.ClaimReply;
import org.sandford.peer.wire.ClaimTeam;
import org.sandford.peer.wire.DecommissionMachine;
import org.sandford.peer.wire.Demand;
import org.sandford.peer.wire.DrainMachine;
import org.sandford.peer.wire.ForwardedRequest;
import org.sandford.peer.wire.ForwardedResponse;
import org.sandford.peer.wire.HandOverTeam;
import org.sandford.peer.wire.JobCancelled;
import org.sandford.peer.wire.MachineDiscovered;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.peer.wire.StartReply;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.StopTask;
import org.sandford.peer.wire.TeamHandedOver;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.PeerTransport;
import org.sandford.scaling.Autoscaler;
import org.sandford.settings.Settings;
import org.sandford.store.OpenJobReader;
import org.sandford.store.RecordWriter;
import org.sandford.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assembles the components of one controller, routes messages from other controllers to them, and
 * notifies them of changes in the cluster. Everything runs on the given event loop. The constructor
 * sends nothing; {@link #start} joins the cluster.
 */
public final class Controller
    implements PeerLinks.RequestHandler, PeerLinks.ResponseHandler, Cluster.Listener {
  private static final Logger log = LoggerFactory.getLogger(Controller.class);

  private final EventLoop loop;
  private final Settings settings;
  private final Cluster cluster;
  private final PeerLinks links;
  private final MachineSnapshots machineSnapshots;
  private final MachineShard machineShard;
  private final JobScheduler jobs;
  private final TerminalStates terminalStates;
  private final Cancellations cancellations;
  private final Autoscaler autoscaler;
  private final RecordVersions versions;
  private final Api api;
  private final AuditLog audit = new AuditLog();
  private final PeerMessageRouter router = new PeerMessageRouter();
  private AssignmentRevisions assignmentRevisions = new AssignmentRevisions(0L, 0L);

  /**
   * Creates a controller without starting it.
   *
   * @param loop the event loop on which everything runs
   * @param http transport to the store, the cloud and the workers
   * @param peers transport to the other controllers
   */
  public Controller(EventLoop loop, Settings settings, HttpTransport http, PeerTransport peers) {
    this.loop = loop;
    this.settings = settings;
    Settings.Facts facts = settings.facts();
    StoreClient storeClient =
        new StoreClient(
            loop, http, settings.store().toString(), facts.storeRps(), facts.storeWriteRps());
    terminalStates = new TerminalStates(loop);
    OpenJobReader openJobReader = new OpenJobReader(loop, storeClient, audit);
    JobReader jobReader = new JobReader(storeClient, terminalStates, audit);
    cluster = new Cluster(loop, settings, storeClient, audit);
    CloudClient cloud =
        new CloudClient(
            loop, http, settings.cloud().toString(), facts.cloudRps(), cluster::isLeader);
    links = new PeerLinks(loop, settings, peers, cluster::incarnationNumber);
    cancellations =
        new Cancellations(loop, settings, new CancellationPeers(), cluster, cluster::incarnationId);
    machineSnapshots = new MachineSnapshots(loop, cluster);
    machineShard =
        new MachineShard(
            loop,
            settings,
            cluster,
            cancellations,
            http,
            links,
            openJobReader,
            this::instanceType,
            terminalStates::contains,
            machineSnapshots,
            audit);
    jobs =
        new JobScheduler(
            loop,
            settings,
            cluster,
            links,
            machineSnapshots,
            new RecordWriter(loop, storeClient, facts.storeTxnOps()),
            openJobReader,
            terminalStates,
            jobReader,
            this::instanceType,
            audit);
    autoscaler =
        new Autoscaler(loop, settings, cluster, cloud, links, machineSnapshots, jobs::demand);
    versions = new RecordVersions(loop, settings, storeClient);
    api = createApi(jobReader);
    registerRequestHandlers();
    registerResponseHandlers();
  }

  private Api createApi(JobReader jobReader) {
    OwnerForwarding forwarding =
        new OwnerForwarding(
            loop,
            settings.label(),
            cluster,
            links,
            terminalStates,
            new ForwardedRequestHandler(jobs));
    return new Api(
        new UserAnswers(loop, jobs.answers(), cancellations, audit),
        new SubmissionHandler(settings, autoscaler, versions, jobs, jobReader, forwarding),
        new PollHandler(cluster, jobs.answers(), jobReader, forwarding),
        new CancellationHandler(jobs, jobReader, forwarding),
        machineShard,
        new HealthHandler(cluster, links),
        forwarding);
  }

  private InstanceType instanceType(String name) {
    return autoscaler.instanceType(name);
  }

  /** Sends the messages of the cancellation log to the other controllers. */
  private final class CancellationPeers implements Cancellations.Peers {
    @Override
    public boolean request(String label, Object message) {
      return links.request(label, message);
    }

    @Override
    public void requestAll(Object message) {
      links.requestAll(message);
    }
  }

  /** Joins the cluster and starts serving. Must be called once, on the event loop. */
  public void start() {
    assert loop.isCurrentThread() : "called outside the event loop";
    log.info("controller starting label={} zone={}", settings.label(), settings.zone());
    cluster.start(this);
    versions.start();
    links.start(this, this);
    cancellations.start(this::applyConfirmedCancellation);
    machineShard.start();
    jobs.start();
    autoscaler.start();
    loop.every(PeerConstants.PEER_HEARTBEAT_MS, this::sendPeerHeartbeat);
    loop.every(TimeConstants.SUMMARY_MS, this::logSummary);
  }

  /** Returns the handler of HTTP requests from users and workers. */
  public Api api() {
    return api;
  }

  /** Returns the snapshots of all machines, as published by their owners. */
  public MachineSnapshots machineSnapshots() {
    return machineSnapshots;
  }

  private void sendPeerHeartbeat() {
    assignmentRevisions = cluster.assignmentRevisions();
    links.requestAll(assignmentRevisions);
    if (!cluster.isLeader()) {
      links.request(cluster.leaderLabel(), new Demand(new ArrayList<>(jobs.demand())));
    }
    links.publish(PeerLinks.heartbeat(cluster.sessionLeaseValid()));
    cluster.teamsToHandOver().forEach(this::requestHandover);
    jobs.announceHandovers();
  }

  private void requestHandover(String team, TeamAssignment assignment) {
    audit.handoverRequested(team, assignment.generation(), assignment.owner());
    links.request(
        Cluster.labelOf(assignment.owner()), new HandOverTeam(team, assignment.generation()));
  }

  private void logSummary() {
    log.info(
        "summary open_jobs={} waiting_tasks={} teams={} machines={} leader={} submit_p99_ms={}",
        jobs.openJobs(),
        jobs.waitingTasks(),
        jobs.teamCount(),
        machineShard.countByState(),
        cluster.leaderLabel(),
        api.submissionMillis().getValueAtPercentile(99));
    api.submissionMillis().reset();
    log.info("audit counters {}", audit.counters());
  }

  @Override
  public void clusterStateChanged() {
    machineSnapshots.removeUnassigned();
    machineShard.applyAssignmentMap();
    jobs.applyAssignmentMap();
  }

  @Override
  public void jobEnded(String job, JsonNode record) {
    terminalStates.put(job, record);
    machineShard.jobEnded(job);
    jobs.jobEnded(job, record);
  }

  /**
   * Applies a cancellation that another controller confirmed to a user. The store's watch may
   * report it before or after.
   */
  private void applyConfirmedCancellation(String job) {
    if (!terminalStates.contains(job)) {
      audit.terminalStateLearned(job, "aborted", AuditLog.LearnedBy.PEER, 0);
      jobEnded(job, TerminalStates.CANCELLED_RECORD);
    }
  }

  @Override
  public void jobAdded(String job, String team) {
    jobs.adoptNewJob(job, team);
  }

  @Override
  public void terminalStatesMissed() {
    machineShard.recheckJobs();
  }

  @Override
  public Iterable<Object> initialMessages() {
    return List.of(machineShard.completeUpdate());
  }

  @Override
  public void handleRequest(String sender, Object request, Consumer<Object> reply) {
    router.dispatchRequest(sender, request, reply);
  }

  @Override
  public void handleResponse(String sender, Object response) {
    router.dispatchResponse(sender, response);
  }

  private void registerRequestHandlers() {
    router.onRequest(
        ForwardedRequest.class,
        (sender, request, reply) -> api.handleForwardedRequest(request, reply));
    router.onRequest(
        StartTask.class, (sender, start, reply) -> machineShard.startTask(start, reply));
    router.onRequest(StopTask.class, machineShard::stopTask);
    router.onRequest(AcknowledgeExit.class, machineShard::acknowledgeExit);
    router.onRequest(Preempt.class, machineShard::preempt);
    router.onRequest(
        ClaimTeam.class, (sender, claim, reply) -> machineShard.claimTeam(claim, reply));
    router.onRequest(
        DecommissionMachine.class,
        onlyFromLeader((sender, request, reply) -> machineShard.decommission(request)));
    router.onRequest(
        DrainMachine.class,
        onlyFromLeader((sender, request, reply) -> machineShard.drain(request)));
    router.onRequest(HandOverTeam.class, onlyFromLeader(this::handOverTeam));
    router.onRequest(
        Demand.class, (sender, demand, reply) -> autoscaler.reportDemand(sender, demand.classes));
    router.onRequest(MachineDiscovered.class, this::addDiscoveredMachine);
    router.onRequest(JobCancelled.class, cancellations::handleNotification);
    router.onRequest(CancellationsRequest.class, this::replyWithCancellations);
    router.onRequest(AssignmentRevisions.class, this::replyWithMissingAssignments);
  }

  /**
   * Returns a handler that drops requests of a controller that is not the leader as far as is known
   * here: those of a former leader may arrive late. A leader that is not known here yet repeats its
   * requests.
   */
  private <T> PeerMessageRouter.RequestHandler<T> onlyFromLeader(
      PeerMessageRouter.RequestHandler<T> handler) {
    return (sender, request, reply) -> {
      if (sender.equals(cluster.leaderLabel())) {
        handler.handle(sender, request, reply);
      } else {
        audit.leaderRequestRefused(sender, request.getClass().getSimpleName());
      }
    };
  }

  private void registerResponseHandlers() {
    router.onResponse(SnapshotUpdate.class, this::applySnapshots);
    router.onResponse(StartReply.class, jobs::startReplied);
    router.onResponse(ClaimReply.class, jobs::claimReplied);
    router.onResponse(ForwardedResponse.class, api::handleForwardedResponse);
    router.onResponse(
        TeamHandedOver.class, reply -> cluster.teamHandedOver(reply.team, reply.generation));
    router.onResponse(
        CancellationsResponse.class,
        (sender, response) -> cancellations.handleResponse(sender, response));
    router.onResponse(AssignmentUpdate.class, cluster::applyUpdate);
  }

  private void handOverTeam(String sender, HandOverTeam request, Consumer<Object> reply) {
    if (jobs.handOverTeam(request.team, request.generation)) {
      reply.accept(new TeamHandedOver(request.team, request.generation));
    }
  }

  private void addDiscoveredMachine(MachineDiscovered machine) {
    if (cluster.isLeader()) {
      cluster.addMachine(
          new Cluster.NewMachine(
              machine.machine, machine.address, machine.instanceType, machine.zone, machine.spot));
    }
  }

  private void replyWithCancellations(
      String sender, CancellationsRequest request, Consumer<Object> reply) {
    CancellationsResponse response = cancellations.handleRequest(request);
    if (response != null) {
      reply.accept(response);
    }
  }

  /**
   * Sends a peer the assignments that it lacks. A controller that is cut off from the store learns
   * from its peers that it was replaced.
   */
  private void replyWithMissingAssignments(
      String sender, AssignmentRevisions peerRevisions, Consumer<Object> reply) {
    AssignmentUpdate update = cluster.updateFor(peerRevisions);
    if (update != null) {
      reply.accept(update);
    }
  }

  /** Stores the snapshots before notifying the scheduler, which reads the stored ones. */
  private void applySnapshots(String sender, SnapshotUpdate update) {
    machineSnapshots.apply(sender, update);
    jobs.snapshotsReceived(sender, update);
  }

  @Override
  public void linkUp(String peer) {
    jobs.linkEstablished(peer);
    links.request(peer, assignmentRevisions);
  }

  @Override
  public void linkDown(String peer) {
    log.debug("peer link down peer={}", peer);
  }
}

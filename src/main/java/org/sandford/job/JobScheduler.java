package org.sandford.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.sandford.audit.AuditLog;
import org.sandford.cloud.InstanceType;
import org.sandford.cluster.Cluster;
import org.sandford.constants.GangConstants;
import org.sandford.constants.JobConstants;
import org.sandford.machine.MachineSnapshots;
import org.sandford.model.ApiResponse;
import org.sandford.model.JobSpec;
import org.sandford.peer.PeerLinks;
import org.sandford.peer.wire.ClaimReply;
import org.sandford.peer.wire.DemandClass;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.peer.wire.StartReply;
import org.sandford.placement.Planner;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;
import org.sandford.store.OpenJobReader;
import org.sandford.store.RecordWriter;

/**
 * Schedules the jobs of the teams that this controller owns. For these jobs only this controller
 * assigns attempts, checks quota and changes the state. Machines are commanded by their owners,
 * from which it requests starts and stops.
 *
 * <p>Assembles the classes of this package and delegates calls and events to them. All of it runs
 * on the event loop.
 */
public final class JobScheduler {
  private final EventLoop loop;
  private final Cluster cluster;
  private final MachineSnapshots machineSnapshots;
  private final CandidateMachines candidates;
  private final OwnedJobs owned;
  private final JobAnswers answers;
  private final UntrackedTasks untrackedTasks;
  private final CancelledJobs cancelledJobs;
  private final QuotaUse quota;
  private final PlanningTimer timer;
  private final TaskCommands commands;
  private final Gangs gangs;
  private final AssignedMachines assignedMachines;
  private final PendingStarts pendingStarts;
  private final JobTermination termination;
  private final JobRecords records;
  private final TaskReconciler reconciler;
  private final Submissions submissions;
  private final JobCancellation cancellation;
  private final TeamOwnership ownership;
  private final OpenJobLoader openJobLoader;
  private final TeamRecovery recovery;
  private final SchedulingQueue queue;
  private final PlanningRound planningRound;
  private final ServiceConsolidation consolidation;

  /**
   * Creates the classes of this package in the order of their dependencies.
   *
   * @param instanceTypeByName returns the instance type of a name, or null while it is not known
   */
  public JobScheduler(
      EventLoop loop,
      Settings settings,
      Cluster cluster,
      PeerLinks links,
      MachineSnapshots machineSnapshots,
      RecordWriter writer,
      OpenJobReader store,
      TerminalStates terminalStates,
      JobReader jobReader,
      Function<String, InstanceType> instanceTypeByName,
      AuditLog audit) {
    this.loop = loop;
    this.cluster = cluster;
    this.machineSnapshots = machineSnapshots;
    Settings.Facts facts = settings.facts();

    candidates =
        new CandidateMachines(
            machineSnapshots, cluster, links, settings.label(), instanceTypeByName);
    owned = new OwnedJobs(cluster, jobReader, candidates);
    answers = new JobAnswers(owned, terminalStates, jobReader);
    untrackedTasks = new UntrackedTasks(owned, jobReader, instanceTypeByName);
    cancelledJobs =
        new CancelledJobs(loop, jobReader, cluster::terminalStatesCompleteSince, facts.cancelS());
    quota = new QuotaUse(owned, untrackedTasks, cancelledJobs);

    timer = new PlanningTimer(loop, this::runPlanningRound);
    commands = new TaskCommands(cluster, links, owned);
    gangs = new Gangs(loop, facts, cluster, owned, commands);
    PlacementLedger ledger = new PlacementLedger(loop, owned, candidates, gangs, timer);
    assignedMachines = new AssignedMachines(cluster, candidates, untrackedTasks, ledger);
    pendingStarts = new PendingStarts(loop, owned, ledger, commands, gangs, timer);

    termination =
        new JobTermination(loop, owned, terminalStates, answers, cancelledJobs, commands, timer);
    records =
        new JobRecords(
            loop, settings, cluster, owned, writer, jobReader, audit, new RecordWriteHandler());
    TaskExits exits = new TaskExits(loop, commands, ledger, records, timer);
    reconciler = new TaskReconciler(loop, cluster, owned, ledger, commands, gangs, exits);
    submissions =
        new Submissions(
            loop,
            settings,
            cluster,
            owned,
            writer,
            store,
            terminalStates,
            jobReader,
            answers,
            new JobChangeHandler());
    cancellation = new JobCancellation(owned, answers, commands, records);

    ownership = new TeamOwnership(settings, cluster, links, audit, owned, candidates);
    openJobLoader = new OpenJobLoader(loop, store, terminalStates, owned);
    recovery = new TeamRecovery(cluster, machineSnapshots, owned, instanceTypeByName, timer);

    queue = new SchedulingQueue(loop, owned);
    Preemptor preemptor = new Preemptor(loop, settings, machineSnapshots, links, new Planner());
    TaskStarter starter = new TaskStarter(cluster, ledger, commands, gangs, audit);
    planningRound = new PlanningRound(loop, owned, quota, candidates, preemptor, starter);
    consolidation = new ServiceConsolidation(loop, machineSnapshots, owned, candidates, commands);
  }

  /** Plans after changes of the open jobs, and adopts the running tasks of a job that was found. */
  private final class JobChangeHandler implements Submissions.Listener {
    @Override
    public void jobsWaiting() {
      timer.requestRound();
    }

    @Override
    public void jobAdopted(Job job) {
      adoptTasks(Set.of(job.spec.id()));
      timer.requestRound();
    }
  }

  /** Handles writes of job records that are confirmed by the store. */
  private final class RecordWriteHandler implements JobRecords.Listener {
    @Override
    public void terminalStateStored(Job job, TerminalState state) {
      termination.complete(job, state);
    }

    @Override
    public void finishedTaskStored(Job job, Job.UnacknowledgedExit exit) {
      commands.acknowledgeExit(job, exit.machine(), exit.task(), exit.attempt());
    }
  }

  /** Starts the periodic work. */
  public void start() {
    loop.every(JobConstants.PLAN_IDLE_MS, timer::requestRound);
    loop.every(JobConstants.ADDED_JOBS_CHECK_MS, submissions::adoptNewJobs);
    loop.every(JobConstants.OPEN_JOBS_AUDIT_MS, submissions::audit);
    loop.every(GangConstants.GANG_CHECK_MS, gangs::checkAll);
  }

  /** Returns the number of open jobs, including jobs that ended and still hold resources. */
  public int openJobs() {
    return owned.jobs().size();
  }

  /** Returns the number of tasks of these jobs that have no placement. */
  public int waitingTasks() {
    return owned.jobs().values().stream().mapToInt(job -> job.tasks.waitingCount()).sum();
  }

  /** Returns the number of teams that this controller owns. */
  public int teamCount() {
    return owned.teams().size();
  }

  /** Handles a change of the assignment map of teams or machines. */
  public void applyAssignmentMap() {
    List<Team> acquired = ownership.applyAssignments();
    if (!acquired.isEmpty()) {
      // Tasks of these teams were ignored in earlier snapshots.
      machineSnapshots.assigned().forEach(received -> untrackedTasks.update(received.snapshot()));
      openJobLoader.load(acquired, this::openJobsLoaded);
    }
    assignedMachines.applyAssignments().forEach(this::applyEarlySnapshot);
    recovery.checkAllMachines();
    timer.requestRound();
  }

  /** Applies the snapshot of a machine that was received before the machine entered the map. */
  private void applyEarlySnapshot(String machine) {
    MachineSnapshots.ReceivedSnapshot received = machineSnapshots.get(machine);
    if (received != null) {
      applySnapshot(received.owner(), received.snapshot());
    }
  }

  private void applySnapshot(String publisher, MachineSnapshot snapshot) {
    reconciler.reconcile(publisher, snapshot);
    untrackedTasks.update(snapshot);
  }

  private void openJobsLoaded(Set<String> adoptedJobs) {
    adoptTasks(adoptedJobs);
    for (Team team : owned.teams().values()) {
      team.jobs.values().forEach(records::flush);
    }
    submissions.adoptNewJobs();
    recovery.checkAllMachines();
    timer.requestRound();
  }

  private void adoptTasks(Set<String> jobIds) {
    reconciler.adoptTasks(machineSnapshots.assigned(), jobIds);
  }

  /**
   * Hands the team over at the leader's request. Returns false when the team is not served here
   * under this generation.
   */
  public boolean handOverTeam(String name, long generation) {
    return ownership.handOver(name, generation);
  }

  /** Announces the teams that were handed over and have no next owner yet; once a heartbeat. */
  public void announceHandovers() {
    ownership.announceHandovers();
  }

  /** Handles a new link to another controller, the first or a later one. */
  public void linkEstablished(String peer) {
    commands.linkEstablished(peer);
    ownership.linkEstablished(peer);
  }

  /** Handles another controller's reply to the claim of a team. */
  public void claimReplied(String peer, ClaimReply reply) {
    if (ownership.claimReplied(peer, reply)) {
      recovery.checkAllMachines();
    }
  }

  /** Handles machine snapshots, which {@link MachineSnapshots} has stored already. */
  public void snapshotsReceived(String publisher, SnapshotUpdate update) {
    for (MachineSnapshot snapshot : update.machines) {
      candidates.invalidate(snapshot.machine);
      if (isStored(snapshot) && machineSnapshots.isAssigned(snapshot.machine)) {
        applySnapshot(publisher, snapshot);
      }
    }
    update.removed.forEach(candidates::invalidate);
    if (update.complete) {
      candidates.invalidateAll();
      pendingStarts.releaseUnanswered(publisher, update);
    }
    recovery.checkReporting(update.machines);
    if (!update.machines.isEmpty()) {
      timer.requestRound();
    }
  }

  /**
   * Returns whether this instance is the stored snapshot. A comparison by value would be expensive.
   */
  @SuppressWarnings("ReferenceEquality")
  private boolean isStored(MachineSnapshot snapshot) {
    MachineSnapshots.ReceivedSnapshot received = machineSnapshots.get(snapshot.machine);
    return received != null && received.snapshot() == snapshot;
  }

  /** Handles the reply of a machine's owner to a requested start. */
  public void startReplied(StartReply reply) {
    pendingStarts.handleReply(reply);
  }

  /** Handles a user's submission of a job for a team of this controller. */
  public void submit(JobSpec spec, Consumer<ApiResponse> answer) {
    submissions.submit(spec, answer);
  }

  /** Stores a job whose team's owner cannot accept it at present. */
  public void storeOnBehalfOfOwner(JobSpec spec, Consumer<ApiResponse> answer) {
    submissions.storeOnBehalfOfOwner(spec, answer);
  }

  /** Adopts a job that another controller stored for this team. */
  public void adoptNewJob(String id, String team) {
    submissions.adoptNewJob(id, team);
  }

  /** Returns the class that answers queries about the jobs of all teams. */
  public JobAnswers answers() {
    return answers;
  }

  /** Cancels a job of a team of this controller. Returns false when the job is not known here. */
  public boolean cancel(String id, Consumer<ApiResponse> answer) {
    return cancellation.cancel(id, answer);
  }

  /** Handles a job's terminal state, which this or another controller stored. */
  public void jobEnded(String id, JsonNode record) {
    TerminalState state = JobRecordCodec.terminalState(record);
    if (state == TerminalState.CANCELLED) {
      cancelledJobs.add(
          id, JobRecordCodec.terminalTeam(record), JobRecordCodec.terminalTasks(record));
    }
    Job job = owned.job(id);
    // A cancelled job stays known until its tasks are gone, so its end may be reported repeatedly.
    if (job != null && !job.recordWritePending && !job.phase().isTerminal()) {
      termination.complete(job, state);
    }
  }

  private boolean runPlanningRound() {
    if (!cluster.sessionLeaseValid()) {
      return false;
    }
    List<Job> waiting = queue.waiting();
    if (waiting.isEmpty()) {
      consolidation.moveReplica();
    } else {
      planningRound.plan(waiting);
    }
    return true;
  }

  /** Returns the waiting tasks within the teams' limits, by task equivalence class. */
  public List<DemandClass> demand() {
    quota.recount();
    return new DemandReport(owned.teams(), loop.nanos()).demandOf(queue.waiting());
  }
}

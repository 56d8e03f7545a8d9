package org.sandford.machine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import org.sandford.cluster.AssignmentMap.MachineAssignment;
import org.sandford.model.TaskId;
import org.sandford.peer.wire.MachineSnapshot;
import org.sandford.peer.wire.MachineState;
import org.sandford.peer.wire.Preempt;
import org.sandford.peer.wire.StartTask;
import org.sandford.runtime.Json;
import org.sandford.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One machine of this shard under one assignment: its state, what its worker last reported, which
 * commands are under way, and which tasks it holds or may hold. It decides nothing about jobs. Runs
 * on the event loop.
 */
final class Machine {
  private static final Logger log = LoggerFactory.getLogger(Machine.class);

  private final String name;
  private final MachineAssignment assignment;
  private final FencingTokens tokens;
  private final WorkerLease lease;
  private final CommandChannel channel = new CommandChannel();
  private final KnownImages images = new KnownImages();
  private final QuarantineTracker quarantine;
  private final TaskTable tasks;
  private final Reservations reservations = new Reservations();

  /** When the token was last raised to void starts whose exit is acknowledged. */
  private final LastTime startsInvalidated = new LastTime();

  private MachineState state;
  private long agentEpoch;
  private long lastSerial;
  private boolean interruptionNoticed;
  private boolean draining;

  Machine(String name, MachineAssignment assignment, long now) {
    this.name = name;
    this.assignment = assignment;
    this.tokens = new FencingTokens(assignment.generation());
    this.lease = new WorkerLease(now);
    this.quarantine = new QuarantineTracker(name, assignment.zone());
    this.tasks = new TaskTable(images, quarantine);
    this.state = assignment.hasAddress() ? MachineState.RECONCILING : MachineState.PENDING;
  }

  /**
   * The same machine under a newer assignment, with what is known of its worker: the agent epoch,
   * the renewal of its lease and its images.
   */
  Machine reassigned(MachineAssignment next, long now) {
    Machine successor = new Machine(name, next, now);
    successor.agentEpoch = agentEpoch;
    successor.lease.copyRenewalFrom(lease);
    successor.images.addAll(images);
    return successor;
  }

  /** Takes over what the former owner last reported of images and tasks. */
  void restoreFrom(MachineSnapshot former) {
    images.addAll(former.images);
    former.tasks.forEach(tasks::addFormerSnapshot);
  }

  String name() {
    return name;
  }

  MachineAssignment assignment() {
    return assignment;
  }

  TaskTable tasks() {
    return tasks;
  }

  WorkerLease lease() {
    return lease;
  }

  CommandChannel channel() {
    return channel;
  }

  KnownImages images() {
    return images;
  }

  MachineState state() {
    return state;
  }

  /**
   * The one place where the machine's state changes; false when it is in that state already. A
   * decommissioned machine stays so.
   */
  boolean transitionTo(MachineState next, StateChangeReason reason) {
    if (state == next || state == MachineState.DECOMMISSIONED) {
      return false;
    }
    log.info(
        "machine state changed machine={} zone={} from={} to={} reason={}",
        name,
        assignment.zone(),
        state,
        next,
        reason);
    state = next;
    return true;
  }

  /** Whether the worker has been heard from, here or under an earlier entry of the machine. */
  boolean isAgentEpochKnown() {
    return agentEpoch != 0;
  }

  /** The incarnation of the worker's agent that was last heard from; they count from 1. */
  long agentEpoch() {
    return agentEpoch;
  }

  /** The fencing token of commands sent now. */
  long token() {
    return tokens.current();
  }

  /** Whether the worker has seen the token that voids what may still be under way. */
  boolean isRequiredTokenSeen() {
    return tokens.isRequiredTokenSeen();
  }

  /** Whether the worker obeys this owner and no former one. */
  boolean isGenerationSeen() {
    return tokens.isGenerationSeen();
  }

  /** Whether the worker obeys a later owner. */
  boolean isSuperseded() {
    return tokens.isSuperseded();
  }

  /** Whether the tasks known here are all that the machine holds or may yet be made to hold. */
  boolean isReconciled() {
    return !assignment.hasAddress() || lease.isExpired() || (isGenerationSeen() && !isSuperseded());
  }

  /** Whether the cloud has announced that it takes the machine back. */
  boolean isInterruptionNoticed() {
    return interruptionNoticed;
  }

  boolean isDraining() {
    return draining;
  }

  /** Begins or ends a drain; false when nothing changes by it. */
  boolean setDraining(boolean drain) {
    boolean changed = draining != drain;
    draining = drain;
    return changed;
  }

  /** Whether starts are accepted, as far as the machine itself is concerned. */
  boolean isSchedulable() {
    return state == MachineState.UP
        && !quarantine.isQuarantined()
        && !draining
        && assignment.hasAddress()
        && isGenerationSeen();
  }

  /** Reserves resources for a job. */
  void reserve(Preempt request, long now) {
    reservations.reserve(request, now);
  }

  /** Removes reservations whose time has passed; true when there was any. */
  boolean removeExpiredReservations(long now) {
    return reservations.removeExpired(now);
  }

  /** What is reserved for jobs that go before the one to be started. */
  ReservedResources reservedByPrecedingJobs(StartTask start, long now) {
    return reservations.reservedByPrecedingJobs(start, now);
  }

  /** Accepts a start; it goes out with the next commands. */
  void acceptStart(StartTask request, long now) {
    tasks.add(request, now);
    reservations.consume(request);
  }

  /** The attempt's entry, or null as of a map when there is none. */
  TaskEntry find(TaskId task, long attempt) {
    return tasks.get(task, attempt);
  }

  /**
   * Whether the message is older than what is known. One of an agent epoch whose lease has expired
   * was delayed: its tasks are gone, and some run elsewhere.
   */
  boolean isStale(Heartbeat heartbeat) {
    return lease.isExpiredEpoch(heartbeat.agentEpoch())
        || heartbeat.agentEpoch() < agentEpoch
        || (heartbeat.agentEpoch() == agentEpoch && heartbeat.serial() <= lastSerial);
  }

  /**
   * Takes in a message of the worker that is not stale.
   *
   * @param source whether it came as a heartbeat or in the reply to a command
   * @return false when no snapshot changes by it, as with most heartbeats of a large shard
   */
  boolean applyHeartbeat(Heartbeat heartbeat, WorkerChannel source, long now) {
    boolean wasReconciled = isReconciled();
    boolean wasQuarantined = quarantine.isQuarantined();
    int imagesBefore = images.additions();
    boolean newEpoch = heartbeat.agentEpoch() > agentEpoch;
    agentEpoch = heartbeat.agentEpoch();
    lastSerial = heartbeat.serial();
    tokens.recordSeenToken(heartbeat.token());
    lease.recordHeartbeat(isGenerationSeen(), now);
    interruptionNoticed = heartbeat.interruptionNoticed();
    boolean tasksChanged = tasks.apply(heartbeat, source, newEpoch, now);
    return tasksChanged
        || isReconciled() != wasReconciled
        || quarantine.isQuarantined() != wasQuarantined
        || images.additions() != imagesBefore;
  }

  /** The worker's lease has surely expired, and with it every task and command of its epoch. */
  void expireLease() {
    lease.expire(agentEpoch);
    tasks.clear();
  }

  /** Whether the worker must have killed its tasks by now. */
  boolean isLeaseExpiryCertain(Settings.Facts facts, long now) {
    return lease.isExpiryCertain(isGenerationSeen(), facts.leaseS(), facts.cancelS(), now);
  }

  /**
   * Raises the token when an exit is to be acknowledged whose start may be repeated. A command that
   * was carried out can be repeated minutes later; a worker that has forgotten the attempt would
   * run it again, beside its successor or after its job was cancelled. The raised token may go with
   * the acknowledgement: the worker takes in both or neither. No command may be under way, since it
   * would be refused.
   *
   * @param minIntervalS seconds that must lie between two raises
   */
  void invalidateRepeatableStarts(long now, double minIntervalS) {
    if (channel.isBusy() || startsInvalidated.isWithin(minIntervalS, now)) {
      return;
    }
    for (TaskEntry entry : tasks.all()) {
      if (entry.isAcknowledgementDue() && entry.isStartRepeatable(token())) {
        startsInvalidated.mark(now);
        tokens.raise();
        return;
      }
    }
  }

  /**
   * The commands to send now, which count as sent from here on. A stop goes again until a message
   * without the task comes, and also with the response that first shows the worker a new token,
   * which renews its lease.
   */
  ArrayNode takeCommands(WorkerChannel workerChannel, boolean mayStart, long now) {
    ArrayNode commands = Json.array();
    for (TaskEntry entry : tasks.all()) {
      if (mayStart && isGenerationSeen() && entry.isStartDue()) {
        commands.add(WorkerCommands.start(entry.id()));
        entry.markStartSent(workerChannel, token(), lastSerial);
      } else if (entry.needsStop()) {
        if (workerChannel == WorkerChannel.HEARTBEAT || entry.isStopDue(now)) {
          commands.add(WorkerCommands.stop(entry.id(), entry.stopGraceS()));
          entry.markStopSent(now);
        }
      } else if (isGenerationSeen()
          && entry.isAcknowledgementDue()
          && !entry.isStartRepeatable(token())) {
        commands.add(WorkerCommands.acknowledgeExit(entry.id()));
      }
    }
    return commands;
  }

  /**
   * Whether there is anything that does not wait for the next heartbeat: a start, or a stop. A
   * worker whose heartbeats reach nobody is stopped by repeated commands alone.
   */
  boolean hasUrgentCommands(boolean mayStart, long now) {
    for (TaskEntry entry : tasks.all()) {
      boolean startDue = mayStart && entry.isStartDue();
      if (startDue || (entry.needsStop() && entry.isStopDue(now))) {
        return true;
      }
    }
    return false;
  }

  /** Raises the token over starts whose commands went unanswered. */
  void markStartsUnconfirmed(List<TaskEntry> starts) {
    tokens.raiseAndRequire();
    for (TaskEntry entry : starts) {
      if (entry.isCommandSent()) {
        entry.markStartUnconfirmed(token());
      }
    }
  }

  MachineSnapshot snapshot(long now) {
    return new MachineSnapshot(
        name,
        assignment.generation(),
        state,
        assignment.kind(),
        assignment.zone(),
        assignment.spot(),
        tasks.snapshots(now),
        images.list(),
        quarantine.isQuarantined(),
        isReconciled(),
        draining,
        reservations.list());
  }
}

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
 * Holds the state of one machine of this shard under one assignment: the worker's last report, the
 * commands in flight, and the tasks that the machine runs or may run. Makes no decisions about
 * jobs. Runs on the event loop.
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

  /** When {@link #invalidateRepeatableStarts} last raised the token. */
  private final LastOccurrence startsInvalidated = new LastOccurrence();

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
   * Returns the same machine under a newer assignment. Keeps the agent epoch, the last lease
   * renewal and the known images of the worker.
   */
  Machine reassigned(MachineAssignment next, long now) {
    Machine successor = new Machine(name, next, now);
    successor.agentEpoch = agentEpoch;
    successor.lease.copyRenewalFrom(lease);
    successor.images.addAll(images);
    return successor;
  }

  /** Copies the images and tasks of the former owner's last snapshot. */
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
   * Changes the machine's state; every state change goes through this method. Returns false if the
   * state does not change. A decommissioned machine never leaves that state.
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

  /** Returns whether a message of the worker has arrived, under this or an earlier assignment. */
  boolean isAgentEpochKnown() {
    return agentEpoch != 0;
  }

  /** Returns the incarnation of the worker's agent that sent the last message; counts from 1. */
  long agentEpoch() {
    return agentEpoch;
  }

  /** Returns the fencing token for commands sent now. */
  long token() {
    return tokens.current();
  }

  /** Returns whether the worker has seen the token that invalidates commands of unknown outcome. */
  boolean isRequiredTokenSeen() {
    return tokens.isRequiredTokenSeen();
  }

  /** Returns whether the worker has seen this owner's token, and so refuses any former owner. */
  boolean isGenerationSeen() {
    return tokens.isGenerationSeen();
  }

  /** Returns whether the worker has seen a later owner's token, and so refuses this owner. */
  boolean isSuperseded() {
    return tokens.isSuperseded();
  }

  /** Returns whether every task that the machine runs, or may still start, is known here. */
  boolean isReconciled() {
    return !assignment.hasAddress() || lease.isExpired() || (isGenerationSeen() && !isSuperseded());
  }

  /** Returns whether the cloud has announced that it will reclaim the machine. */
  boolean isInterruptionNoticed() {
    return interruptionNoticed;
  }

  boolean isDraining() {
    return draining;
  }

  /** Starts or ends a drain. Returns false if the machine was in that mode already. */
  boolean setDraining(boolean drain) {
    boolean changed = draining != drain;
    draining = drain;
    return changed;
  }

  /** Returns whether the state of the machine permits starts; does not check resources. */
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

  /** Removes expired reservations. Returns whether there were any. */
  boolean removeExpiredReservations(long now) {
    return reservations.removeExpired(now);
  }

  /**
   * Returns the resources that are reserved for jobs preceding the start's job, by rank and then by
   * arrival.
   */
  ReservedResources reservedByPrecedingJobs(StartTask start, long now) {
    return reservations.reservedByPrecedingJobs(start, now);
  }

  /** Accepts a start, which is sent with the next commands. */
  void acceptStart(StartTask request, long now) {
    tasks.add(request, now);
    reservations.consume(request);
  }

  /** Returns the attempt's entry, or null if there is none. */
  TaskEntry find(TaskId task, long attempt) {
    return tasks.get(task, attempt);
  }

  /**
   * Returns whether the message is older than the last one. A message of an agent epoch whose lease
   * has expired is also stale: it was delayed, its tasks are gone, and some run elsewhere.
   */
  boolean isStale(Heartbeat heartbeat) {
    return lease.isExpiredEpoch(heartbeat.agentEpoch())
        || heartbeat.agentEpoch() < agentEpoch
        || (heartbeat.agentEpoch() == agentEpoch && heartbeat.serial() <= lastSerial);
  }

  /**
   * Applies a message of the worker that is not stale.
   *
   * @param source whether the message is a heartbeat or the reply to a command
   * @return false if the machine's snapshot does not change, as for most heartbeats of a large
   *     shard
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

  /**
   * Records that the worker's lease has expired and removes every task of its agent epoch. Commands
   * apply only to the agent epoch that they were sent to, so those of the expired epoch can have no
   * effect any more. Hence even starts of unknown outcome are removed.
   */
  void expireLease() {
    lease.expire(agentEpoch);
    tasks.clear();
  }

  /**
   * Returns whether the lease has expired even with clock drift, so that the worker must have
   * killed its tasks.
   */
  boolean isLeaseExpiryCertain(Settings.Facts facts, long now) {
    return lease.isExpiryCertain(isGenerationSeen(), facts.leaseS(), facts.cancelS(), now);
  }

  /**
   * Raises the token before the exit of an attempt is acknowledged whose start command may be
   * delivered again. The network can repeat a command minutes later; a worker that has forgotten
   * the attempt would run it again, beside its successor or after its job was cancelled. The
   * response that carries the acknowledgement may also carry the raised token, since the worker
   * applies both or neither. Does nothing while a command is in flight, since the worker would
   * refuse it.
   *
   * @param minIntervalS minimum seconds between two raises
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
   * Returns the commands to send now and marks them as sent. A stop is repeated until a message
   * without the task arrives. It is also part of the response that first shows the worker a new
   * token, since that response renews its lease.
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
   * Returns whether a start or a stop is due, which is sent without waiting for the next heartbeat.
   * Repeated stop commands are the only way to stop a task when no heartbeat of its worker arrives.
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

  /** Raises the token and marks starts whose commands were not answered as unconfirmed. */
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
        assignment.instanceType(),
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

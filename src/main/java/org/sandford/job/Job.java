package org.sandford.job;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.sandford.constants.JobConstants;
import org.sandford.model.ApiResponse;
import org.sandford.model.JobSpec;
import org.sandford.placement.ResourceRequest;
import org.sandford.runtime.Json;
import org.sandford.store.RecordWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One job of a team that this controller owns: its phase, and the states of its tasks, its retries,
 * its gang and its record. Used on the event loop.
 */
final class Job {
  private static final Logger log = LoggerFactory.getLogger(Job.class);

  /** The states of a job; the last two are terminal. */
  enum Phase {
    /** Its record is being written; nobody was told that it is accepted. */
    STORING,
    /** Accepted: its tasks wait or run. */
    OPEN,
    /** Its user asked to cancel it; the terminal state is being written. */
    ABORTING,
    DONE,
    ABORTED;

    boolean over() {
      return this == DONE || this == ABORTED;
    }

    /** A terminal state may be found in the store at any time: others write it as well. */
    private boolean canTransitionTo(Phase next) {
      return switch (next) {
        case STORING -> false;
        case OPEN -> this == STORING;
        case ABORTING -> this == OPEN;
        case DONE, ABORTED -> !over();
      };
    }
  }

  /** A finished attempt whose exit may be acknowledged once the record says so. */
  record Clear(int task, long attempt, String machine) {}

  /** What is known here of the write that ends the job. */
  private enum TerminalWrite {
    /** None is under way, and none that was can still be applied. */
    NONE,
    /** It has left for the store; the answer is awaited. */
    IN_FLIGHT,
    /** One got no answer: it may have been applied, or may yet be. */
    UNCONFIRMED
  }

  final JobSpec spec;
  final TaskEquivalenceClass equivalenceClass;

  /** When it was accepted, in milliseconds of the wall clock. */
  final long acceptedAt;

  /** It was loaded from the store: an earlier owner may have started its tasks. */
  final boolean inherited;

  /** The state of a gang's attempts; jobs of other shapes never leave its first phase. */
  final Gang gang = new Gang();

  /** Where resources are reserved for it if it is a gang. */
  final GangReservation reservation = new GangReservation();

  final RetryState retry = new RetryState();
  final TaskProgress tasks;
  private final TaskPlacements placements = new TaskPlacements();
  private Phase phase;
  private boolean started;
  private boolean wasFullyRunning;
  private boolean wasPreempted;
  private long nextPreemptionAtMs;
  private WaitReason waitReason = WaitReason.NONE;

  /** The revision of its record in the store. */
  long revision;

  /** Its record lacks something that is known here. */
  boolean dirty;

  /** A write of finished tasks is due after a pause. */
  boolean progressWriteScheduled;

  /** The write of finished tasks that is under way or waits its turn. */
  RecordWriter.Write progressWrite;

  /** A write of its record is under way, or its outcome is being found out. */
  boolean writing;

  private TerminalWrite terminalWrite = TerminalWrite.NONE;

  /**
   * Exits to acknowledge once the record says so; of a large array thousands wait at a time, and
   * every snapshot names them again, so finding one must not go through all of them.
   */
  final Set<Clear> exitsToAcknowledge = new LinkedHashSet<>();

  /** Who waits for the answer to its submission. */
  final List<Consumer<ApiResponse>> submissionCallbacks = new ArrayList<>();

  /** Who waits for the answer to its cancellation. */
  final List<Consumer<ApiResponse>> cancellationCallbacks = new ArrayList<>();

  /**
   * A job whose tasks all wait.
   *
   * @param acceptedAt milliseconds of the wall clock
   * @param now the steady clock in nanoseconds
   */
  Job(JobSpec spec, long acceptedAt, boolean inherited, Phase phase, long now) {
    this.spec = spec;
    this.equivalenceClass = TaskEquivalenceClass.of(spec);
    this.acceptedAt = acceptedAt;
    this.inherited = inherited;
    this.phase = phase;
    this.tasks = new TaskProgress(spec.tasks(), now);
  }

  Phase phase() {
    return phase;
  }

  /** The one place where the job's phase changes. */
  void transitionTo(Phase next) {
    if (!phase.canTransitionTo(next)) {
      throw new IllegalStateException(spec.id() + " is " + phase + " and cannot become " + next);
    }
    phase = next;
  }

  /** The write that ends the job leaves for the store. */
  void terminalWriteSent() {
    if (terminalWrite == TerminalWrite.NONE) {
      terminalWrite = TerminalWrite.IN_FLIGHT;
    }
  }

  /** The write that left last was surely not applied; one without an answer before it still may. */
  void terminalWriteRejected() {
    if (terminalWrite == TerminalWrite.IN_FLIGHT) {
      terminalWrite = TerminalWrite.NONE;
    }
  }

  /** The write that left last got no answer. */
  void terminalWriteUnconfirmed() {
    terminalWrite = TerminalWrite.UNCONFIRMED;
  }

  /** Whether others may read the job's end from the store although it is not known here yet. */
  boolean terminalStateMayBeStored() {
    return terminalWrite != TerminalWrite.NONE;
  }

  /** The exit is acknowledged once the job's record says that its task is done. */
  void acknowledgeOnceStored(int task, long attempt, String machine) {
    if (exitsToAcknowledge.add(new Clear(task, attempt, machine))) {
      dirty = true;
    }
  }

  /** Notes why its tasks wait, for its user and for the log. */
  void setWaitReason(WaitReason reason) {
    if (!reason.equals(waitReason)) {
      waitReason = reason;
      if (reason != WaitReason.NONE && log.isDebugEnabled()) {
        log.debug("job waits job={} reason=\"{}\"", spec.id(), reason.text());
      }
    }
  }

  /** Whether tasks of it wait that may be planned. */
  boolean runnable() {
    if (spec.gang()) {
      // The next attempt begins only when all of the former is surely gone.
      return phase == Phase.OPEN
          && gang.phase() == Gang.Phase.WAITING
          && tasks.waitingCount() == spec.tasks();
    }
    return phase == Phase.OPEN && tasks.waitingCount() > 0;
  }

  /** Whether some task of it ever had a placement that is known here. */
  boolean hasStarted() {
    return started;
  }

  /** Whether all unfinished tasks run; true the first time only. */
  boolean becameFullyRunning() {
    boolean fullyRunning =
        tasks.waitingCount() == 0 && placements.running() == tasks.unfinishedCount();
    if (wasFullyRunning || !fullyRunning) {
      return false;
    }
    wasFullyRunning = true;
    return true;
  }

  /** Whether one of its tasks was stopped, without a request from here, for another job. */
  boolean wasPreempted() {
    return wasPreempted;
  }

  void markPreempted() {
    wasPreempted = true;
  }

  /** Whether preemption may be requested for it again. */
  boolean mayPreempt(long nowMs) {
    return nextPreemptionAtMs <= nowMs;
  }

  /** Preemption is requested for it: the next request follows after a pause. */
  void preemptionRequested(long nowMs) {
    nextPreemptionAtMs = nowMs + JobConstants.PREEMPTION_INTERVAL_MS;
  }

  boolean allDone() {
    return !spec.service() && tasks.allDone();
  }

  /**
   * An open job as its record tells of it; a former owner may have started its tasks.
   *
   * @param now the steady clock in nanoseconds
   */
  static Job inherited(JobReadResult.Open stored, long now) {
    Job job = new Job(stored.spec(), stored.acceptedAt(), true, Phase.OPEN, now);
    job.revision = stored.revision();
    job.tasks.restore(stored.finishedTasks());
    return job;
  }

  /** The task's placement, or null when it waits or is done. */
  TaskPlacement placementOf(int task) {
    return placements.of(task);
  }

  /** A copy, since most that is done with them changes them. */
  List<TaskPlacement> placements() {
    return placements.all();
  }

  /** The task is, or may soon be, on its machine. */
  void recordPlacement(TaskPlacement placement) {
    started = true;
    placements.put(placement);
    tasks.stopWaiting(placement.task);
  }

  /** The attempt is off its machine; unless the task is done, it waits again. */
  void releasePlacement(TaskPlacement placement, long now) {
    if (placements.remove(placement)) {
      tasks.startWaiting(placement.task, now);
    }
  }

  void phaseChanged(TaskPlacement placement, boolean ranBefore) {
    placements.phaseChanged(placement, ranBefore);
  }

  /** The task is done: for a gang all are, since its tasks complete together. */
  void complete(int task) {
    if (!spec.gang()) {
      markDone(task);
      return;
    }
    for (int each = 0; each < spec.tasks(); each++) {
      markDone(each);
    }
  }

  void markDone(int task) {
    if (tasks.markDone(task)) {
      dirty = true;
    }
  }

  /** Tasks that are, or may be, on a machine. */
  int placementCount() {
    return placements.count();
  }

  int running() {
    return placements.running();
  }

  /** What its tasks ask of machines now. */
  ResourceRequest resourceRequest() {
    return resourceRequest(placements.zones(), placements.machines());
  }

  /** What its tasks would ask of machines if this placement of its own were not there. */
  ResourceRequest resourceRequestWithout(TaskPlacement excluded) {
    Map<String, Integer> zones = placements.zones();
    Set<String> machines = placements.machines();
    if (placements.of(excluded.task) == excluded) {
      zones.computeIfPresent(excluded.zone, (zone, count) -> count == 1 ? null : count - 1);
      if (placements.isAloneOnMachine(excluded)) {
        machines.remove(excluded.machine);
      }
    }
    return resourceRequest(zones, machines);
  }

  private ResourceRequest resourceRequest(Map<String, Integer> zones, Set<String> machines) {
    return new ResourceRequest(
        spec.id(),
        spec.rank().number(),
        acceptedAt,
        spec.cpus(),
        spec.gpus(),
        spec.ram(),
        spec.allowedInstanceTypes(),
        spec.zone(),
        spec.spotAllowed(),
        spec.sameZone(),
        spec.spreadAcrossZones(),
        spec.service(),
        spec.gang(),
        spec.tasks(),
        zones,
        machines,
        retry.avoidedMachines(),
        spec.image());
  }

  /** What the user is told now. */
  ObjectNode status() {
    String state =
        switch (phase) {
          case DONE -> "done";
          case ABORTED -> "aborted";
          default -> running() > 0 ? "running" : "queued";
        };
    ObjectNode node =
        Json.object()
            .put("name_id", spec.id())
            .put("status", state)
            .put("done", tasks.doneCount())
            .put("running", running());
    WaitReason reason = statusReason();
    if (reason != WaitReason.NONE) {
      node.put("reason", reason.text());
    }
    return node;
  }

  private WaitReason statusReason() {
    if (phase.over()) {
      return WaitReason.NONE;
    }
    if (gang.isStarting()) {
      return new WaitReason.GangStarting(spec.tasks() - running(), spec.tasks());
    }
    boolean waits = tasks.waitingCount() > 0 && waitReason != WaitReason.NONE;
    return waits ? waitReason : retry.lastFailure();
  }
}

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
 * Holds the state of one job of a team that this controller owns: its phase, tasks, retries, gang
 * and record. Used on the event loop.
 */
final class Job {
  private static final Logger log = LoggerFactory.getLogger(Job.class);

  /** The states of a job; the last two are terminal. */
  enum Phase {
    /** Its record is being written; no user has been told that the job is accepted. */
    STORING,
    /** The job is accepted; its tasks wait or run. */
    OPEN,
    /** A user requested its cancellation; the terminal state is being written. */
    CANCELLING,
    DONE,
    CANCELLED;

    boolean isTerminal() {
      return this == DONE || this == CANCELLED;
    }

    /**
     * Allows a terminal phase after any non-terminal one. A terminal state may be found in the
     * store at any time, since a former or a later owner of the team may have written it.
     */
    private boolean canTransitionTo(Phase next) {
      return switch (next) {
        case STORING -> false;
        case OPEN -> this == STORING;
        case CANCELLING -> this == OPEN;
        case DONE, CANCELLED -> !isTerminal();
      };
    }
  }

  /** A finished attempt; its exit is acknowledged once the record lists the task as done. */
  record UnacknowledgedExit(int task, long attempt, String machine) {}

  /** What this controller knows about the write of the job's terminal record. */
  private enum TerminalWrite {
    /** No write is in flight, and no earlier one can still be applied. */
    NONE,
    /** A write was sent to the store and is not answered yet. */
    IN_FLIGHT,
    /** A write got no answer: it may have been applied, or may still be. */
    UNCONFIRMED
  }

  final JobSpec spec;
  final TaskEquivalenceClass equivalenceClass;

  /** The wall-clock time of its submission, in milliseconds. */
  final long acceptedAt;

  /** Whether it was loaded from the store, so that an earlier owner may have started its tasks. */
  final boolean inherited;

  /** The state of the attempts of a gang; for other jobs it stays in its first phase. */
  final Gang gang = new Gang();

  /** Where resources are reserved for the job if it is a gang. */
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

  /** Whether its stored record lacks something that is known here. */
  boolean dirty;

  /** Whether a write of finished tasks is scheduled. */
  boolean progressWriteScheduled;

  /** The write of finished tasks that is queued or in flight; null if there is none. */
  RecordWriter.Write progressWrite;

  /** Whether a write of its record is queued or in flight, or its outcome is being read back. */
  boolean recordWritePending;

  private TerminalWrite terminalWrite = TerminalWrite.NONE;

  /**
   * Exits to acknowledge once the record lists their tasks as done. A hash set, because a large
   * array has thousands and every snapshot repeats them: finding one must not take a scan.
   */
  final Set<UnacknowledgedExit> exitsToAcknowledge = new LinkedHashSet<>();

  /** Callbacks for the answer to its submission. */
  final List<Consumer<ApiResponse>> submissionCallbacks = new ArrayList<>();

  /** Callbacks for the answer to its cancellation. */
  final List<Consumer<ApiResponse>> cancellationCallbacks = new ArrayList<>();

  /**
   * Creates a job whose tasks all wait.
   *
   * @param acceptedAt the wall-clock time of its submission, in milliseconds
   * @param now the monotonic time in nanoseconds
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

  /** Changes the phase, as the only place that does; throws if the change is not allowed. */
  void transitionTo(Phase next) {
    if (!phase.canTransitionTo(next)) {
      throw new IllegalStateException(spec.id() + " is " + phase + " and cannot become " + next);
    }
    phase = next;
  }

  /** Records that a write of the terminal record is sent to the store. */
  void terminalWriteSent() {
    if (terminalWrite == TerminalWrite.NONE) {
      terminalWrite = TerminalWrite.IN_FLIGHT;
    }
  }

  /** Records that the last write was not applied; an earlier unanswered one still may be. */
  void terminalWriteRejected() {
    if (terminalWrite == TerminalWrite.IN_FLIGHT) {
      terminalWrite = TerminalWrite.NONE;
    }
  }

  /** Records that the last write got no answer. */
  void terminalWriteUnconfirmed() {
    terminalWrite = TerminalWrite.UNCONFIRMED;
  }

  /** Returns whether the store may hold a terminal state that is not known here yet. */
  boolean terminalStateMayBeStored() {
    return terminalWrite != TerminalWrite.NONE;
  }

  /** Schedules the exit's acknowledgement for when the record lists its task as done. */
  void acknowledgeOnceStored(int task, long attempt, String machine) {
    if (exitsToAcknowledge.add(new UnacknowledgedExit(task, attempt, machine))) {
      dirty = true;
    }
  }

  /** Records why its tasks wait, for its user and for the log. */
  void setWaitReason(WaitReason reason) {
    if (!reason.equals(waitReason)) {
      waitReason = reason;
      if (reason != WaitReason.NONE && log.isDebugEnabled()) {
        log.debug("job waits job={} reason=\"{}\"", spec.id(), reason.text());
      }
    }
  }

  /** Returns whether the job has waiting tasks that may be planned. */
  boolean hasSchedulableTasks() {
    if (spec.isGang()) {
      // The next attempt begins only after all tasks of the previous one are off their machines.
      return phase == Phase.OPEN
          && gang.phase() == Gang.Phase.WAITING
          && tasks.waitingCount() == spec.tasks();
    }
    return phase == Phase.OPEN && tasks.waitingCount() > 0;
  }

  /** Returns whether a placement of one of its tasks was ever recorded here. */
  boolean hasStarted() {
    return started;
  }

  /** Returns whether all unfinished tasks run; true the first time only. */
  boolean becameFullyRunning() {
    boolean fullyRunning =
        tasks.waitingCount() == 0 && placements.runningCount() == tasks.unfinishedCount();
    if (wasFullyRunning || !fullyRunning) {
      return false;
    }
    wasFullyRunning = true;
    return true;
  }

  /** Returns whether one of its tasks was stopped for another job, not at this owner's request. */
  boolean wasPreempted() {
    return wasPreempted;
  }

  void markPreempted() {
    wasPreempted = true;
  }

  /** Returns whether preemption may be requested for the job again. */
  boolean mayPreempt(long nowMs) {
    return nextPreemptionAtMs <= nowMs;
  }

  /** Records a preemption request for the job and delays the next one. */
  void recordPreemptionRequest(long nowMs) {
    nextPreemptionAtMs = nowMs + JobConstants.PREEMPTION_INTERVAL_MS;
  }

  boolean allDone() {
    return !spec.isService() && tasks.allDone();
  }

  /**
   * Creates an open job from its record; a former owner may have started its tasks.
   *
   * @param now the monotonic time in nanoseconds
   */
  static Job inherited(JobReadResult.Open stored, long now) {
    Job job = new Job(stored.spec(), stored.acceptedAt(), true, Phase.OPEN, now);
    job.revision = stored.revision();
    job.tasks.restore(stored.finishedTasks());
    return job;
  }

  /** Returns the task's placement, or null if it has none. */
  TaskPlacement placementOf(int task) {
    return placements.placementOf(task);
  }

  /** Returns a copy, since callers change the placements as they go through them. */
  List<TaskPlacement> placements() {
    return placements.all();
  }

  /** Records that the task is, or may soon be, on its machine. */
  void recordPlacement(TaskPlacement placement) {
    started = true;
    placements.put(placement);
    tasks.stopWaiting(placement.task);
  }

  /**
   * Removes the placement of an attempt that is off its machine; an unfinished task waits again.
   */
  void releasePlacement(TaskPlacement placement, long now) {
    if (placements.remove(placement)) {
      tasks.startWaiting(placement.task, now);
    }
  }

  void phaseChanged(TaskPlacement placement, boolean ranBefore) {
    placements.phaseChanged(placement, ranBefore);
  }

  /** Marks the task as done; for a gang all tasks, since they complete together. */
  void completeTask(int task) {
    if (!spec.isGang()) {
      markDone(task);
      return;
    }
    for (int gangTask = 0; gangTask < spec.tasks(); gangTask++) {
      markDone(gangTask);
    }
  }

  void markDone(int task) {
    if (tasks.markDone(task)) {
      dirty = true;
    }
  }

  /** Returns the number of tasks that are, or may be, on a machine. */
  int placementCount() {
    return placements.placementCount();
  }

  int runningCount() {
    return placements.runningCount();
  }

  /** Returns what its tasks require of machines, given their placements. */
  ResourceRequest resourceRequest() {
    return resourceRequest(placements.countByZone(), placements.machines());
  }

  /** Returns what its tasks would require of machines without this placement. */
  ResourceRequest resourceRequestWithout(TaskPlacement excluded) {
    Map<String, Integer> zones = placements.countByZone();
    Set<String> machines = placements.machines();
    if (placements.placementOf(excluded.task) == excluded) {
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
        spec.ramGb(),
        spec.allowedInstanceTypes(),
        spec.zone(),
        spec.spotAllowed(),
        spec.sameZone(),
        spec.spreadAcrossZones(),
        spec.isService(),
        spec.isGang(),
        spec.tasks(),
        zones,
        machines,
        retry.avoidedMachines(),
        spec.image());
  }

  /** Returns the job's current status for its user. */
  ObjectNode status() {
    String state =
        switch (phase) {
          case DONE -> "done";
          case CANCELLED -> "aborted";
          default -> runningCount() > 0 ? "running" : "queued";
        };
    ObjectNode node =
        Json.object()
            .put("name_id", spec.id())
            .put("status", state)
            .put("done", tasks.doneCount())
            .put("running", runningCount());
    WaitReason reason = statusReason();
    if (reason != WaitReason.NONE) {
      node.put("reason", reason.text());
    }
    return node;
  }

  private WaitReason statusReason() {
    if (phase.isTerminal()) {
      return WaitReason.NONE;
    }
    if (gang.isStarting()) {
      return new WaitReason.GangStarting(spec.tasks() - runningCount(), spec.tasks());
    }
    boolean waits = tasks.waitingCount() > 0 && waitReason != WaitReason.NONE;
    return waits ? waitReason : retry.lastFailure();
  }
}

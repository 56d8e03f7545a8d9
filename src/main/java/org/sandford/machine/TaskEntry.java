package org.sandford.machine;

import org.sandford.constants.MachineConstants;
import org.sandford.model.JobSpec;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;

/**
 * One attempt at a task that a machine holds or may hold: how far its start, its stop and the
 * acknowledgement of its exit have got. Runs on the event loop.
 */
final class TaskEntry {
  private final TaskAttempt id;
  private StartState startState;
  private TaskState state = TaskState.STARTING;
  private ExitCause cause = ExitCause.NONE;
  private boolean jobConfirmedOpen;

  private String team = "";
  private int rank;
  private double cpus;
  private double gpus;
  private double ram;
  private String image = "";

  /** When the attempt became known here; from when it is known to run, that time. */
  private long startedAt;

  /** The worker's serial number that was last known when the start was sent. */
  private long serialWhenSent;

  /** Whether the start was sent as a command, which can be repeated under its token. */
  private boolean sentAsCommand;

  private long commandToken;

  /** Of an unconfirmed start: once the worker has seen this token, it will not be carried out. */
  private long invalidatingToken;

  private boolean stopRequested;
  private int stopGraceS;
  private boolean stopSent;
  private long stopSentAt;
  private boolean exitAcknowledged;

  private TaskEntry(TaskAttempt id, StartState startState, long now) {
    this.id = id;
    this.startState = startState;
    this.startedAt = now;
  }

  /** An attempt whose start was accepted here and is to be sent. */
  static TaskEntry queued(TaskAttempt id, StartTask request, long now) {
    TaskEntry entry = new TaskEntry(id, StartState.QUEUED, now);
    entry.jobConfirmedOpen = true;
    entry.setAttributes(
        request.team, request.rank, request.cpus, request.gpus, request.ram, request.image);
    return entry;
  }

  /** An attempt that the worker reported first. */
  static TaskEntry reported(TaskAttempt id, long now) {
    return new TaskEntry(id, StartState.CONFIRMED, now);
  }

  TaskAttempt id() {
    return id;
  }

  String job() {
    return id.task().job();
  }

  TaskState state() {
    return state;
  }

  ExitCause cause() {
    return cause;
  }

  String image() {
    return image;
  }

  /** Whether the task takes resources of the machine, or may take them. */
  boolean isOnMachine() {
    return state != TaskState.EXITED;
  }

  double cpus() {
    return cpus;
  }

  double gpus() {
    return gpus;
  }

  double ram() {
    return ram;
  }

  private void setAttributes(
      String team, int rank, double cpus, double gpus, double ram, String image) {
    this.team = team;
    this.rank = rank;
    this.cpus = cpus;
    this.gpus = gpus;
    this.ram = ram;
    this.image = image;
  }

  /** Fills in the task's job, which is known to be open. */
  void applySpec(JobSpec spec) {
    jobConfirmedOpen = true;
    setAttributes(
        spec.team(), spec.rank().number(), spec.cpus(), spec.gpus(), spec.ram(), spec.image());
  }

  /**
   * Fills in what the former owner reported. The job stays unknown all the same: only a read of the
   * open jobs shows that it has not ended.
   */
  void applyFormerSnapshot(TaskSnapshot former) {
    setAttributes(former.team, former.rank, former.cpus, former.gpus, former.ram, former.image);
  }

  /** Whether anything of the task's job is filled in. */
  boolean hasAttributes() {
    return !team.isEmpty();
  }

  /** Whether the job was open when the open jobs were last read, or a team's owner started it. */
  boolean isJobConfirmedOpen() {
    return jobConfirmedOpen;
  }

  /** The job may have ended meanwhile: it has to be read again. */
  void clearJobConfirmation() {
    jobConfirmedOpen = false;
  }

  boolean isQueued() {
    return startState == StartState.QUEUED;
  }

  /** Whether the start was sent as a command whose reply is awaited. */
  boolean isCommandSent() {
    return startState == StartState.COMMAND_SENT;
  }

  /** Whether the start waits to be sent; one that is to be stopped is not sent any more. */
  boolean isStartDue() {
    return startState == StartState.QUEUED && !stopRequested;
  }

  /**
   * Takes in that the start is sent.
   *
   * @param token the fencing token that goes with it
   * @param lastSerial the serial number of the worker's last message
   */
  void markStartSent(WorkerChannel channel, long token, long lastSerial) {
    sentAsCommand = channel == WorkerChannel.COMMAND;
    transitionTo(sentAsCommand ? StartState.COMMAND_SENT : StartState.RESPONSE_SENT);
    commandToken = token;
    serialWhenSent = lastSerial;
  }

  /** Takes in that the worker has the task. */
  void confirmStart() {
    transitionTo(StartState.CONFIRMED);
  }

  /** Takes in that the command went unanswered; only this token makes it void. */
  void markStartUnconfirmed(long token) {
    transitionTo(StartState.UNCONFIRMED);
    invalidatingToken = token;
  }

  private void transitionTo(StartState next) {
    if (!startState.canTransitionTo(next)) {
      throw new IllegalStateException(
          "start of " + id + " cannot go from " + startState + " to " + next);
    }
    startState = next;
  }

  /**
   * Whether a task that a worker's message lacks is surely not on the machine and will not be by
   * the start that was sent. Its absence is no proof while a command may still be under way:
   * commands can be delayed for minutes.
   */
  boolean isProvenAbsent(Heartbeat heartbeat, WorkerChannel channel, boolean newEpoch) {
    return switch (startState) {
      case CONFIRMED -> true;
      case QUEUED -> false;
      case COMMAND_SENT -> newEpoch;
      case RESPONSE_SENT ->
          newEpoch || (channel == WorkerChannel.HEARTBEAT && heartbeat.serial() > serialWhenSent);
      case UNCONFIRMED -> newEpoch || heartbeat.token() >= invalidatingToken;
    };
  }

  /** Whether a report of the task would change its snapshot. */
  boolean isChangedBy(Heartbeat.ReportedTask report) {
    // Nobody decides by whether a task that does not run yet waits for its image.
    boolean pullsImage = state == TaskState.STARTING && report.state() == TaskState.PULLING_IMAGE;
    return (state != report.state() && !pullsImage) || cause != report.cause();
  }

  /** Takes in the state that the worker reported. */
  void update(Heartbeat.ReportedTask report, long now) {
    if (state != report.state() && report.state() == TaskState.RUNNING) {
      startedAt = now;
    }
    state = report.state();
    cause = report.cause();
  }

  /**
   * Asks for a stop, at once (0) or after so many seconds to save; false when one that ends the
   * task as soon was asked for before.
   */
  boolean requestStop(int graceS) {
    if (stopRequested && graceS >= stopGraceS) {
      return false;
    }
    stopRequested = true;
    stopGraceS = graceS;
    stopSent = false;
    return true;
  }

  /** Whether the task is to be stopped at once. */
  boolean isImmediateStopRequested() {
    return stopRequested && stopGraceS == 0;
  }

  /** Whether the worker has to be told to stop the task; one that saves is left to it. */
  boolean needsStop() {
    return stopRequested
        && isOnMachine()
        && startState != StartState.QUEUED
        && (state != TaskState.CHECKPOINTING || stopGraceS == 0);
  }

  /** Whether the stop was not sent yet, or so long ago that it is repeated. */
  boolean isStopDue(long now) {
    return !stopSent || now - stopSentAt > MachineConstants.COMMAND_TIMEOUT_MS * 1_000_000L;
  }

  void markStopSent(long now) {
    stopSent = true;
    stopSentAt = now;
  }

  /** Seconds that the task has to save once it is told to stop. */
  int stopGraceS() {
    return stopGraceS;
  }

  /** Takes in that the exit is recorded, so that the worker may forget the attempt. */
  void acknowledgeExit() {
    exitAcknowledged = true;
  }

  boolean isExitAcknowledged() {
    return exitAcknowledged;
  }

  /** Whether the worker may be told to forget the attempt. */
  boolean isAcknowledgementDue() {
    return exitAcknowledged && state == TaskState.EXITED;
  }

  /** Whether a repeat of the command that started it would be carried out under this token. */
  boolean isStartRepeatable(long token) {
    return sentAsCommand && commandToken >= token;
  }

  TaskSnapshot snapshot(long now) {
    return new TaskSnapshot(
        id.task().job(),
        id.task().task(),
        id.attempt(),
        state,
        cause,
        jobConfirmedOpen,
        team,
        rank,
        cpus,
        gpus,
        ram,
        image,
        (now - startedAt) / 1e9);
  }
}

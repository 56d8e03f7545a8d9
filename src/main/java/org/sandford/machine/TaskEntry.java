package org.sandford.machine;

import org.sandford.constants.MachineConstants;
import org.sandford.model.JobSpec;
import org.sandford.peer.wire.ExitCause;
import org.sandford.peer.wire.StartTask;
import org.sandford.peer.wire.TaskSnapshot;
import org.sandford.peer.wire.TaskState;

/**
 * Tracks one attempt that a machine runs or may run: the progress of its start, its stop and the
 * acknowledgement of its exit. Runs on the event loop.
 */
final class TaskEntry {
  private final TaskAttemptId id;
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

  /** When the attempt became known here, or when it was first reported as running. */
  private long startedAt;

  /** The serial number of the worker's last message before the start was sent. */
  private long serialWhenSent;

  /** Whether the start was sent as a command, which the network can repeat under its token. */
  private boolean sentAsCommand;

  private long commandToken;

  /** Token of an unconfirmed start: once the worker has seen it, it refuses the start. */
  private long invalidatingToken;

  private boolean stopRequested;
  private int stopGraceS;
  private boolean stopSent;
  private long stopSentAt;
  private boolean exitAcknowledged;

  private TaskEntry(TaskAttemptId id, StartState startState, long now) {
    this.id = id;
    this.startState = startState;
    this.startedAt = now;
  }

  /** Creates the entry of an attempt whose start was accepted here and is not sent yet. */
  static TaskEntry queued(TaskAttemptId id, StartTask request, long now) {
    TaskEntry entry = new TaskEntry(id, StartState.QUEUED, now);
    entry.jobConfirmedOpen = true;
    entry.setAttributes(
        request.team, request.rank, request.cpus, request.gpus, request.ram, request.image);
    return entry;
  }

  /** Creates the entry of an attempt that is first known from the worker's report. */
  static TaskEntry reported(TaskAttemptId id, long now) {
    return new TaskEntry(id, StartState.CONFIRMED, now);
  }

  TaskAttemptId id() {
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

  /** Returns whether the task uses, or may use, resources of the machine. */
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

  /** Sets the attributes of the task from its job, which is open. */
  void applySpec(JobSpec spec) {
    jobConfirmedOpen = true;
    setAttributes(
        spec.team(), spec.rank().number(), spec.cpus(), spec.gpus(), spec.ramGb(), spec.image());
  }

  /**
   * Sets the attributes of the task from the former owner's snapshot. Does not confirm the job as
   * open: only a read of the open jobs shows that it has not ended.
   */
  void applyFormerSnapshot(TaskSnapshot former) {
    setAttributes(former.team, former.rank, former.cpus, former.gpus, former.ram, former.image);
  }

  /** Returns whether the attributes of the task, such as its team and resources, are set. */
  boolean hasAttributes() {
    return !team.isEmpty();
  }

  /**
   * Returns whether the job was open at the last read of the open jobs, or the team's owner started
   * this attempt through this controller.
   */
  boolean isJobConfirmedOpen() {
    return jobConfirmedOpen;
  }

  /** Requires the job to be read again, since it may have ended. */
  void clearJobConfirmation() {
    jobConfirmedOpen = false;
  }

  boolean isQueued() {
    return startState == StartState.QUEUED;
  }

  /** Returns whether the start was sent as a command that is not answered yet. */
  boolean isCommandSent() {
    return startState == StartState.COMMAND_SENT;
  }

  /** Returns whether the start is to be sent. After a stop request it is not. */
  boolean isStartDue() {
    return startState == StartState.QUEUED && !stopRequested;
  }

  /**
   * Records that the start is sent.
   *
   * @param token the fencing token sent with it
   * @param lastSerial the serial number of the worker's last message
   */
  void markStartSent(WorkerChannel channel, long token, long lastSerial) {
    sentAsCommand = channel == WorkerChannel.COMMAND;
    transitionTo(sentAsCommand ? StartState.COMMAND_SENT : StartState.RESPONSE_SENT);
    commandToken = token;
    serialWhenSent = lastSerial;
  }

  /** Records that the worker has the task. */
  void confirmStart() {
    transitionTo(StartState.CONFIRMED);
  }

  /**
   * Records that the command was not answered; it is invalid once the worker has seen this token.
   */
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
   * Returns whether a task missing from a worker's message is not on the machine and cannot appear
   * there through the start that was sent. Its absence proves nothing while a command may still
   * arrive: commands can be delayed for minutes.
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

  /** Returns whether a report of the task changes its snapshot. */
  boolean isChangedBy(Heartbeat.ReportedTask report) {
    // No decision depends on whether a task that does not run yet is pulling its image.
    boolean pullsImage = state == TaskState.STARTING && report.state() == TaskState.PULLING_IMAGE;
    return (state != report.state() && !pullsImage) || cause != report.cause();
  }

  /** Applies the state that the worker reported. */
  void update(Heartbeat.ReportedTask report, long now) {
    if (state != report.state() && report.state() == TaskState.RUNNING) {
      startedAt = now;
    }
    state = report.state();
    cause = report.cause();
  }

  /**
   * Requests a stop, immediately (0) or after a grace period in seconds to checkpoint. Returns
   * false if a stop with the same or a shorter grace period was requested before.
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

  /** Returns whether a stop without a grace period was requested. */
  boolean isImmediateStopRequested() {
    return stopRequested && stopGraceS == 0;
  }

  /**
   * Returns whether the worker must be told to stop the task. A task that is checkpointing is
   * stopped only by a request without a grace period.
   */
  boolean needsStop() {
    return stopRequested
        && isOnMachine()
        && startState != StartState.QUEUED
        && (state != TaskState.CHECKPOINTING || stopGraceS == 0);
  }

  /** Returns whether the stop was not sent yet, or was sent long enough ago to be repeated. */
  boolean isStopDue(long now) {
    return !stopSent || now - stopSentAt > MachineConstants.COMMAND_TIMEOUT_MS * 1_000_000L;
  }

  void markStopSent(long now) {
    stopSent = true;
    stopSentAt = now;
  }

  /** Returns the seconds that the task has to checkpoint once it is told to stop. */
  int stopGraceS() {
    return stopGraceS;
  }

  /**
   * Records that the team's owner has recorded the exit, so that the worker may forget the attempt.
   */
  void acknowledgeExit() {
    exitAcknowledged = true;
  }

  boolean isExitAcknowledged() {
    return exitAcknowledged;
  }

  /** Returns whether the worker may be told to forget the attempt. */
  boolean isAcknowledgementDue() {
    return exitAcknowledged && state == TaskState.EXITED;
  }

  /** Returns whether the worker would carry out a repeat of the start command under this token. */
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

package org.sandford.job;

/** One attempt of a task on a machine. Used on the event loop. */
final class TaskPlacement {
  final Job job;
  final int task;
  final long attempt;
  final String machine;

  /**
   * The generation of the machine's assignment when the start was requested or the task adopted.
   */
  final long machineGeneration;

  /** The label of the controller that owned the machine at that time. */
  final String owner;

  /** The epoch of the link to that controller at that time. */
  final int linkEpoch;

  final String zone;
  private TaskPhase phase;

  /** The seconds to save a checkpoint in the last requested stop. */
  private int stopGraceS;

  TaskPlacement(
      Job job,
      int task,
      long attempt,
      String machine,
      long machineGeneration,
      String owner,
      int linkEpoch,
      String zone,
      TaskPhase phase) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.machineGeneration = machineGeneration;
    this.owner = owner;
    this.linkEpoch = linkEpoch;
    this.zone = zone;
    this.phase = phase;
  }

  TaskPhase phase() {
    return phase;
  }

  boolean isRunning() {
    return phase == TaskPhase.RUNNING;
  }

  /** Records that a stop was requested, with {@code graceS} seconds to save a checkpoint. */
  void recordStop(int graceS) {
    stopGraceS = graceS;
    transitionTo(TaskPhase.STOPPING);
  }

  /** Returns the seconds to save a checkpoint in the last stop; 0 before the first. */
  int stopGraceS() {
    return stopGraceS;
  }

  /** Changes the phase; no other code does. Ignores steps backward, so a stop is never undone. */
  void transitionTo(TaskPhase next) {
    if (next.compareTo(phase) <= 0) {
      return;
    }
    boolean ranBefore = isRunning();
    phase = next;
    job.phaseChanged(this, ranBefore);
  }
}

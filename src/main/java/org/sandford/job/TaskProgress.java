package org.sandford.job;

import com.google.common.collect.RangeSet;
import java.util.List;

/**
 * Tracks which tasks of one job are done and which wait; the others have a placement. A done task
 * may still have one. Used on the event loop.
 */
final class TaskProgress {
  private final int total;
  private final RangeSet<Integer> done = TaskRanges.empty();
  private final RangeSet<Integer> waiting = TaskRanges.empty();
  private int doneCount;
  private int waitingCount;
  private long waitingSinceNanos;

  /**
   * Creates the progress of a job whose tasks all wait since {@code now}, the monotonic time in
   * nanoseconds.
   */
  TaskProgress(int total, long now) {
    this.total = total;
    this.waitingCount = total;
    this.waitingSinceNanos = now;
    waiting.add(TaskRanges.firstTasks(total));
  }

  /** Returns the done tasks; callers must not change the set. */
  RangeSet<Integer> done() {
    return done;
  }

  boolean isDone(int task) {
    return done.contains(task);
  }

  boolean allDone() {
    return doneCount == total;
  }

  int unfinishedCount() {
    return total - doneCount;
  }

  int doneCount() {
    return doneCount;
  }

  int waitingCount() {
    return waitingCount;
  }

  /** Returns when a task last began to wait, in nanoseconds of monotonic time. */
  long waitingSinceNanos() {
    return waitingSinceNanos;
  }

  /** Returns the first waiting tasks, at most {@code count}. */
  List<Integer> firstWaiting(int count) {
    return TaskRanges.first(waiting, count);
  }

  /** Adopts the finished tasks of the job's record; called before any task has a placement. */
  void restore(RangeSet<Integer> finished) {
    done.addAll(finished);
    doneCount = TaskRanges.count(done);
    waiting.removeAll(finished);
    waitingCount = total - doneCount;
  }

  /** Records that the task no longer waits: it has a placement or is done. */
  void stopWaiting(int task) {
    if (waiting.contains(task)) {
      waiting.remove(TaskRanges.ofTask(task));
      waitingCount--;
    }
  }

  /** Records that the task lost its placement; it waits again unless it is done. */
  void startWaiting(int task, long now) {
    if (!isDone(task)) {
      waiting.add(TaskRanges.ofTask(task));
      waitingCount++;
      waitingSinceNanos = now;
    }
  }

  /** Marks the task as done; returns false if it already was. */
  boolean markDone(int task) {
    if (isDone(task)) {
      return false;
    }
    stopWaiting(task);
    done.add(TaskRanges.ofTask(task));
    doneCount++;
    return true;
  }
}

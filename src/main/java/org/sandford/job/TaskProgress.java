package org.sandford.job;

import com.google.common.collect.RangeSet;
import java.util.List;

/**
 * Which tasks of one job are done and which wait; the others have a placement, and a done task may
 * still have one. Used on the event loop.
 */
final class TaskProgress {
  private final int total;
  private final RangeSet<Integer> done = TaskRanges.empty();
  private final RangeSet<Integer> waiting = TaskRanges.empty();
  private int doneCount;
  private int waitingCount;
  private long waitingSinceNanos;

  /** All tasks wait, since {@code now} on the steady clock. */
  TaskProgress(int total, long now) {
    this.total = total;
    this.waitingCount = total;
    this.waitingSinceNanos = now;
    waiting.add(TaskRanges.firstTasks(total));
  }

  /** The done tasks; not to be changed. */
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

  /** When a task began to wait last, on the steady clock in nanoseconds. */
  long waitingSinceNanos() {
    return waitingSinceNanos;
  }

  /** The first waiting tasks, at most so many. */
  List<Integer> firstWaiting(int count) {
    return TaskRanges.first(waiting, count);
  }

  /** Takes over what the job's record says; called before any task has a placement. */
  void restore(RangeSet<Integer> finished) {
    done.addAll(finished);
    doneCount = TaskRanges.count(done);
    waiting.removeAll(finished);
    waitingCount = total - doneCount;
  }

  /** The task has a placement now. */
  void stopWaiting(int task) {
    if (waiting.contains(task)) {
      waiting.remove(TaskRanges.ofTask(task));
      waitingCount--;
    }
  }

  /** The task lost its placement; unless it is done, it waits again. */
  void startWaiting(int task, long now) {
    if (!isDone(task)) {
      waiting.add(TaskRanges.ofTask(task));
      waitingCount++;
      waitingSinceNanos = now;
    }
  }

  /** The task is done; false when that was known. */
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

package org.sandford.runtime;

/**
 * The single thread that owns all state of a controller, and its clock. All work of a controller
 * runs on it, so no state needs locks; no task may block. Tests use a simulated event loop instead.
 */
public interface EventLoop {
  /** A scheduled task; cancelling it after it ran has no effect. */
  interface Timer {
    /** Prevents the task from running. */
    void cancel();
  }

  /** Returns the reading of the monotonic clock, in nanoseconds. */
  long nanos();

  /**
   * Returns the time of day, in milliseconds since the epoch. It is as inexact as the host's clock,
   * whose error is at most {@code clock_error_ms} of the platform's settings.
   */
  long wallMillis();

  /** Runs the task on this loop after a delay in milliseconds. */
  Timer after(long millis, Runnable task);

  /** Runs the task on this loop after all tasks that are already queued. */
  void execute(Runnable task);

  /** Returns whether the caller runs on this loop; assertions check it. */
  boolean isCurrentThread();

  /** Returns the reading of the monotonic clock, in milliseconds. */
  default long millis() {
    return nanos() / 1_000_000;
  }

  /**
   * Runs the task periodically, each time the given milliseconds after the previous run ended. A
   * run that throws is also followed by another: one failure must not end a periodic check.
   */
  default void every(long millis, Runnable task) {
    after(
        millis,
        () -> {
          try {
            task.run();
          } finally {
            every(millis, task);
          }
        });
  }
}

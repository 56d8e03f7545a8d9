package org.sandford.runtime;

/**
 * A loop for tests of single classes: its clock moves only when it is told to, what is to run at
 * once does, and timers never go off.
 */
public final class ManualEventLoop implements EventLoop {
  private long nanos = 1_000_000_000_000L;

  @Override
  public long nanos() {
    return nanos;
  }

  @Override
  public long wallMillis() {
    return nanos / 1_000_000;
  }

  @Override
  public Timer after(long millis, Runnable task) {
    return () -> {};
  }

  @Override
  public void execute(Runnable task) {
    task.run();
  }

  /** Lets so many seconds pass. */
  public void pass(double seconds) {
    nanos += (long) (seconds * 1e9);
  }
}

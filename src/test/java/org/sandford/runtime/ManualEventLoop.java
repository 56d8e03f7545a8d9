package org.sandford.runtime;

/**
 * An event loop for tests of single classes: its clock moves only by {@link #advanceSeconds},
 * {@link #execute} runs tasks immediately, and timers never fire.
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

  @Override
  public boolean isCurrentThread() {
    return true;
  }

  /** Advances the clock by {@code seconds}. */
  public void advanceSeconds(double seconds) {
    nanos += (long) (seconds * 1e9);
  }
}

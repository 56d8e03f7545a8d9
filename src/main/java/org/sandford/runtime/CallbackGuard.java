package org.sandford.runtime;

import java.util.function.Consumer;

/**
 * Drops callbacks of superseded attempts: a callback belongs to the attempt that was current when
 * it was guarded, and does nothing once a later attempt has begun. Runs on the event loop.
 */
public final class CallbackGuard {
  private long currentAttempt;

  /** Begins a new attempt; callbacks of earlier ones do nothing from now on. */
  public void beginAttempt() {
    currentAttempt++;
  }

  /** Wraps a callback so that it runs only while the current attempt lasts. */
  public <T> Consumer<T> guard(Consumer<T> callback) {
    long attemptAtGuard = currentAttempt;
    return answer -> {
      if (attemptAtGuard == currentAttempt) {
        callback.accept(answer);
      }
    };
  }

  /** Wraps a task so that it runs only while the current attempt lasts. */
  public Runnable guardTask(Runnable task) {
    long attemptAtGuard = currentAttempt;
    return () -> {
      if (attemptAtGuard == currentAttempt) {
        task.run();
      }
    };
  }
}

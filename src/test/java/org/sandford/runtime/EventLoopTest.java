package org.sandford.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

class EventLoopTest {
  private static final class Queue implements EventLoop {
    private final ArrayDeque<Runnable> timers = new ArrayDeque<>();

    @Override
    public long nanos() {
      return 0;
    }

    @Override
    public long wallMillis() {
      return 0;
    }

    @Override
    public Timer after(long millis, Runnable task) {
      timers.add(task);
      return () -> timers.remove(task);
    }

    @Override
    public void execute(Runnable task) {
      timers.add(task);
    }
  }

  @Test
  void periodicTaskRunsAgainAfterAFailure() {
    Queue loop = new Queue();
    int[] runs = {0};
    loop.every(
        10,
        () -> {
          runs[0]++;
          if (runs[0] == 1) {
            throw new IllegalStateException("a fault");
          }
        });
    assertThrows(IllegalStateException.class, () -> loop.timers.poll().run());
    loop.timers.poll().run();
    assertEquals(2, runs[0]);
    assertEquals(1, loop.timers.size());
  }
}

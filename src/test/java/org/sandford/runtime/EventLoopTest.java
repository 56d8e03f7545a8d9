package org.sandford.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

class EventLoopTest {
  private static final class Queue implements EventLoop {
    private final ArrayDeque<Runnable> queuedTasks = new ArrayDeque<>();

    @Override
    public boolean isCurrentThread() {
      return true;
    }

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
      queuedTasks.add(task);
      return () -> queuedTasks.remove(task);
    }

    @Override
    public void execute(Runnable task) {
      queuedTasks.add(task);
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
    assertThrows(IllegalStateException.class, () -> loop.queuedTasks.poll().run());
    loop.queuedTasks.poll().run();
    assertEquals(2, runs[0]);
    assertEquals(1, loop.queuedTasks.size());
  }
}

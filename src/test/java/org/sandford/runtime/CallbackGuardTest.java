package org.sandford.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class CallbackGuardTest {
  private final CallbackGuard guard = new CallbackGuard();
  private final List<String> received = new ArrayList<>();

  @Test
  void callbacksOfTheCurrentAttemptRun() {
    guard.beginAttempt();
    guard.<String>guard(received::add).accept("answer");
    guard.guardTask(() -> received.add("timer")).run();
    assertEquals(List.of("answer", "timer"), received);
  }

  @Test
  void callbacksOfEarlierAttemptsDoNothing() {
    Consumer<String> callback = guard.guard(received::add);
    Runnable task = guard.guardTask(() -> received.add("timer"));
    guard.beginAttempt();
    callback.accept("answer");
    task.run();
    assertEquals(List.of(), received);
  }
}

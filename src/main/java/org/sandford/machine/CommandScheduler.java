package org.sandford.machine;

import java.util.function.Consumer;
import org.sandford.runtime.EventLoop;

/**
 * Schedules the dispatch of a machine's commands after the current event loop task, so that all
 * commands decided in one task are sent together.
 */
final class CommandScheduler {
  private final EventLoop loop;
  private Consumer<Machine> dispatcher;

  CommandScheduler(EventLoop loop) {
    this.loop = loop;
  }

  /** Sets the dispatcher; called once, before the first {@link #schedule}. */
  void setDispatcher(Consumer<Machine> machineDispatcher) {
    dispatcher = machineDispatcher;
  }

  void schedule(Machine machine) {
    loop.execute(() -> dispatcher.accept(machine));
  }
}

package org.sandford.machine;

import java.util.function.Consumer;
import org.sandford.runtime.EventLoop;

/**
 * Has commands dispatched to a machine after the present task of the event loop, so that what one
 * task decides goes out together.
 */
final class CommandScheduler {
  private final EventLoop loop;
  private Consumer<Machine> dispatcher;

  CommandScheduler(EventLoop loop) {
    this.loop = loop;
  }

  /** Names who dispatches; called once, before anything is scheduled. */
  void setDispatcher(Consumer<Machine> machineDispatcher) {
    dispatcher = machineDispatcher;
  }

  void schedule(Machine machine) {
    loop.execute(() -> dispatcher.accept(machine));
  }
}

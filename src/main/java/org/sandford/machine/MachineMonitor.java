package org.sandford.machine;

import org.sandford.constants.MachineConstants;
import org.sandford.runtime.EventLoop;

/**
 * Runs the time-based checks of all machines of the shard every {@link
 * MachineConstants#MACHINE_CHECK_MS}. Runs on the event loop.
 */
final class MachineMonitor {
  private final EventLoop loop;
  private final MachineRegistry machines;
  private final LostMachineDetector lostMachineDetector;
  private final MachineReconciler reconciler;
  private final SnapshotPublisher publisher;
  private final CommandDispatcher dispatcher;
  private final MachineAnnouncer announcer;

  MachineMonitor(
      EventLoop loop,
      MachineRegistry machines,
      LostMachineDetector lostMachineDetector,
      MachineReconciler reconciler,
      SnapshotPublisher publisher,
      CommandDispatcher dispatcher,
      MachineAnnouncer announcer) {
    this.loop = loop;
    this.machines = machines;
    this.lostMachineDetector = lostMachineDetector;
    this.reconciler = reconciler;
    this.publisher = publisher;
    this.dispatcher = dispatcher;
    this.announcer = announcer;
  }

  /** Starts the checks; called once. */
  void start() {
    loop.every(MachineConstants.MACHINE_CHECK_MS, this::check);
  }

  private void check() {
    long now = loop.nanos();
    for (Machine machine : machines.all()) {
      lostMachineDetector.check(machine, now);
      reconciler.retryIfDue(machine, now);
      if (machine.removeExpiredReservations(now)) {
        publisher.markChanged(machine);
      }
      dispatcher.dispatch(machine);
    }
    announcer.removeExpired(now);
  }
}

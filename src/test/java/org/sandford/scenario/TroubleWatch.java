package org.sandford.scenario;

/** Knows when there was trouble in the cluster last: now, or when the last of it ended. */
final class TroubleWatch {
  private static final int CHECK_INTERVAL_MS = 500;

  private final Simulation simulation;
  private final SimulatedControllers controllers;
  private final FakeStore store;
  private final FakeCloud cloud;
  private long lastFaultAt;

  TroubleWatch(
      Simulation simulation, SimulatedControllers controllers, FakeStore store, FakeCloud cloud) {
    this.simulation = simulation;
    this.controllers = controllers;
    this.store = store;
    this.cloud = cloud;
  }

  /** Begins to check periodically. */
  void start() {
    checkForFaults();
    simulation.after(CHECK_INTERVAL_MS, this::start);
  }

  /** The time as of the last check, without another one. */
  long lastFaultAt() {
    return lastFaultAt;
  }

  /** Checks, and returns the time of the last trouble. */
  long checkForFaults() {
    if (hasFault()) {
      lastFaultAt = simulation.now();
    }
    return lastFaultAt;
  }

  private boolean hasFault() {
    return simulation.hasCuts()
        || !controllers.allRunning()
        || controllers.anyFrozen()
        || store.hasFault()
        || cloud.outage
        || simulation.duplicates
        || simulation.lateReports
        || simulation.messageDelayMs > 0
        || cloud.machines.values().stream()
            .anyMatch(machine -> machine.worker != null && machine.worker.hasFault());
  }
}

package org.sandford.scenario;

/** Records when the cluster last had a fault: now, or the time at which the last one ended. */
final class FaultMonitor {
  private static final int CHECK_INTERVAL_MS = 500;

  private final Simulation simulation;
  private final SimulatedControllers controllers;
  private final FakeStore store;
  private final FakeCloud cloud;
  private long lastFaultAt;

  FaultMonitor(
      Simulation simulation, SimulatedControllers controllers, FakeStore store, FakeCloud cloud) {
    this.simulation = simulation;
    this.controllers = controllers;
    this.store = store;
    this.cloud = cloud;
  }

  /** Starts checking periodically. */
  void start() {
    checkForFaults();
    simulation.after(CHECK_INTERVAL_MS, this::start);
  }

  /** Returns the time of the last fault as of the last check. */
  long lastFaultAt() {
    return lastFaultAt;
  }

  /** Checks for faults now and returns the time of the last one. */
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
        || simulation.duplicateRequests
        || simulation.lateHeartbeats
        || simulation.messageDelayMs > 0
        || cloud.machines.values().stream()
            .anyMatch(machine -> machine.worker != null && machine.worker.hasFault());
  }
}

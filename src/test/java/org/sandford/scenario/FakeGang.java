package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sandford.scenario.FakeWorker.WorkerTask;

/**
 * Simulates one attempt of a gang as the protocol describes it: its tasks start together, complete
 * together, and notice when one of them is lost.
 */
final class FakeGang {
  /** Seconds that a task needs to save a checkpoint. */
  static final double SAVE_COST_S = 1.0;

  private enum Phase {
    GATHERING,
    RUNNING,
    STOPPING,
    OVER
  }

  private final Simulation simulation;
  private final Scenario scenario;
  private final UserJob job;

  /** The tasks that have joined, each with its worker. */
  private final Map<WorkerTask, FakeWorker> members = new HashMap<>();

  private final List<WorkerTask> stopRequested = new ArrayList<>();
  private Phase phase = Phase.GATHERING;
  private long runningSince;
  private double progressAtStart;

  FakeGang(Simulation simulation, Scenario scenario, UserJob job) {
    this.simulation = simulation;
    this.scenario = scenario;
    this.job = job;
  }

  /** Adds a task that has its image; the last one to join starts all. */
  void join(FakeWorker worker, WorkerTask task) {
    if (phase != Phase.GATHERING) {
      // The attempt has already started or failed, so the task waits until it times out.
      simulation.after(
          (long) (scenario.script.gangWaitS * 1000),
          () -> worker.endIfInStatus(task, "gathering", "alone"));
      return;
    }
    members.put(task, worker);
    simulation.after(
        (long) (scenario.script.gangWaitS * 1000),
        () -> {
          if (phase == Phase.GATHERING && members.containsKey(task)) {
            worker.endIfInStatus(task, "gathering", "alone");
          }
        });
    if (members.size() == job.tasks) {
      run();
    }
  }

  private void run() {
    phase = Phase.RUNNING;
    runningSince = simulation.now();
    progressAtStart = job.savedProgressS;
    Map.copyOf(members).forEach((task, worker) -> worker.startRunning(task));
    scenario.rules.checkGangStart(job, members);
    simulation.after((long) (Math.max(0, job.runS - progressAtStart) * 1000), this::finish);
    checkForHangs();
  }

  private void finish() {
    if (phase != Phase.RUNNING) {
      return;
    }
    phase = Phase.OVER;
    members.keySet().forEach(task -> job.finishedTasks.add(task.piece));
    Map.copyOf(members).forEach((task, worker) -> worker.endIfInStatus(task, "running", "done"));
    scenario.onLastTaskDone(job);
  }

  private void checkForHangs() {
    if (phase == Phase.RUNNING) {
      if (members.values().stream().anyMatch(FakeWorker::isHanging)) {
        failAttempt();
      } else {
        simulation.after(500, this::checkForHangs);
      }
    }
  }

  /** Removes a task that ended or was lost with its machine or lease. */
  void remove(WorkerTask task) {
    if (members.remove(task) == null) {
      return;
    }
    if (phase == Phase.RUNNING || phase == Phase.STOPPING) {
      failAttempt();
    }
  }

  /**
   * Fails the attempt: progress since the last checkpoint is lost, and the other tasks notice
   * within {@code gangPeerS}.
   */
  private void failAttempt() {
    double progress = phase == Phase.RUNNING ? progress() : job.progressAtStopS;
    if (job.checkpointIntervalS > 0) {
      job.savedProgressS =
          Math.max(
              progressAtStart,
              Math.floor(progress / job.checkpointIntervalS) * job.checkpointIntervalS);
    }
    phase = Phase.OVER;
    Map.copyOf(members)
        .forEach(
            (task, worker) ->
                simulation.after(
                    (long) (scenario.script.gangPeerS * (200 + simulation.random.nextInt(800))),
                    () -> worker.endIfInStatus(task, "running", "peers")));
  }

  private double progress() {
    return progressAtStart + (simulation.now() - runningSince) / 1e9;
  }

  /**
   * Requests a task to stop. Returns true if it runs on until all tasks have been requested to stop
   * and have saved, and false if it has to end at once.
   */
  boolean requestStop(WorkerTask task, double graceS) {
    boolean canSave =
        (phase == Phase.RUNNING || phase == Phase.STOPPING)
            && job.checkpointIntervalS > 0
            && graceS >= SAVE_COST_S;
    if (!canSave) {
      return false;
    }
    if (phase == Phase.RUNNING) {
      job.progressAtStopS = progress();
      phase = Phase.STOPPING;
      simulation.after(
          (long) (scenario.script.gangPeerS * 1000),
          () -> {
            if (phase == Phase.STOPPING && stopRequested.size() < job.tasks) {
              failAttempt();
            }
          });
    }
    if (!stopRequested.contains(task)) {
      stopRequested.add(task);
      if (stopRequested.size() == job.tasks) {
        simulation.after((long) (SAVE_COST_S * 1000), this::finishStop);
      }
    }
    return true;
  }

  private void finishStop() {
    if (phase == Phase.STOPPING) {
      phase = Phase.OVER;
      job.savedProgressS = job.progressAtStopS;
      job.orderlyStops++;
      Map.copyOf(members)
          .forEach((task, worker) -> worker.endIfInStatus(task, "running", "stopped"));
    }
  }
}

package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.sandford.cluster.Cluster;
import org.sandford.machine.MachineSnapshots;

/**
 * Carries out {@code expect} steps. Each names a value, which is read at that moment, and the
 * expected one; {@code >=} or {@code <=} before a number makes it a bound.
 */
final class ScenarioExpectations {
  private final FakeCloud cloud;
  private final FakeStore store;
  private final Rules rules;
  private final SimulatedControllers controllers;
  private final Map<String, UserJob> submittedJobs;
  private final List<String> failures = new ArrayList<>();
  private final Map<String, Function<ScenarioScript.Step, Object>> values = new HashMap<>();
  private long snapshotReadsBefore;
  private long snapshotsReceivedBefore;
  private long assignmentMapWritesBefore;

  ScenarioExpectations(
      FakeCloud cloud,
      FakeStore store,
      Rules rules,
      SimulatedControllers controllers,
      Map<String, UserJob> submittedJobs) {
    this.cloud = cloud;
    this.store = store;
    this.rules = rules;
    this.controllers = controllers;
    this.submittedJobs = submittedJobs;
    registerValues();
  }

  /** Returns the expectations that were not met, each with its file and line. */
  List<String> failures() {
    return failures;
  }

  /** Resets the counters of snapshots and assignment map writes to zero. */
  void resetCounts() {
    snapshotReadsBefore = controllers.sum(MachineSnapshots::readCount);
    snapshotsReceivedBefore = controllers.sum(MachineSnapshots::receivedCount);
    assignmentMapWritesBefore = store.assignmentMapWrites;
  }

  /** Registers a value by its name. */
  void register(String name, Function<ScenarioScript.Step, Object> value) {
    values.put(name, value);
  }

  private void registerValues() {
    values.put("reported", step -> rules.reportedStatus(step.word(2)));
    values.put("submission_status", step -> job(step).submissionStatus);
    values.put("running", step -> countRunningTasks(step.word(2)));
    values.put("started", step -> rules.startCount);
    values.put("machines", step -> cloud.machines.size());
    // Counts all machines that were ever rented.
    values.put("rented", step -> cloud.rentedCount());
    // Counts work of all controllers since the last "reset_counts" step.
    values.put(
        "snapshot_reads",
        step -> controllers.sum(MachineSnapshots::readCount) - snapshotReadsBefore);
    values.put(
        "snapshots_received",
        step -> controllers.sum(MachineSnapshots::receivedCount) - snapshotsReceivedBefore);
    values.put("map_writes", step -> store.assignmentMapWrites - assignmentMapWritesBefore);
    values.put("cloud_changes_by_former_leaders", step -> cloud.changesByFormerLeaders);
    values.put("start_delay_s", step -> secondsUntilStarted(job(step)));
    values.put("gang_runs", step -> job(step).gangRuns);
    values.put("orderly_stops", step -> job(step).orderlyStops);
    values.put("lost_with_lease", step -> rules.lostWithLease);
    values.put("team_generation", step -> teamGeneration(step.word(2)));
    values.put("key_stored", step -> store.containsKey(step.word(2)));
  }

  void check(ScenarioScript.Step step) {
    Function<ScenarioScript.Step, Object> value = values.get(step.word(1));
    if (value == null) {
      throw step.syntaxError();
    }
    String actual = String.valueOf(value.apply(step));
    String expected = step.word(step.words().size() - 1);
    if (!matches(actual, expected)) {
      failures.add(
          step.file() + ":" + step.line() + ": " + step.text() + ": actual value " + actual);
    }
  }

  private static boolean matches(String actual, String expected) {
    if (expected.startsWith(">=")) {
      return Integer.parseInt(actual) >= Integer.parseInt(expected.substring(2));
    }
    if (expected.startsWith("<=")) {
      return Integer.parseInt(actual) <= Integer.parseInt(expected.substring(2));
    }
    return actual.equals(expected);
  }

  /** Returns the generation of the team's ownership in the stored assignment map. */
  private long teamGeneration(String team) {
    return store.value(Cluster.TEAMS_KEY).path("t").path(team).path(1).asLong();
  }

  private UserJob job(ScenarioScript.Step step) {
    return submittedJobs.get(step.word(2));
  }

  private static long secondsUntilStarted(UserJob job) {
    return job.firstStartAt < 0
        ? Integer.MAX_VALUE
        : (job.firstStartAt - job.submittedAt) / 1_000_000_000L;
  }

  private long countRunningTasks(String id) {
    return cloud.machines.values().stream()
        .filter(machine -> machine.worker != null)
        .flatMap(machine -> machine.worker.tasks.values().stream())
        .filter(task -> task.isActive() && task.job.id.equals(id))
        .count();
  }
}

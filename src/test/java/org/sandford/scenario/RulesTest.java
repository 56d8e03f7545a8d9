package org.sandford.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sandford.runtime.Json;

/** Tests that each check of the rules reports a violation when its rule is broken. */
class RulesTest {
  private final Scenario scenario =
      new Scenario("rules", List.of("team red 8 16", "team blue 8 16"));
  private final Simulation simulation = scenario.simulation;
  private final Rules rules = scenario.rules;

  private UserJob submitJob(String id) {
    UserJob job = new UserJob();
    job.id = id;
    job.submittedAt = simulation.now();
    scenario.submittedJobs.put(id, job);
    return job;
  }

  private FakeWorker rentMachine(String zone, boolean spot) {
    FakeCloud.RentedMachine rented = scenario.cloud.rent(zone, spot, 0);
    simulation.runUntil(simulation.seconds());
    return rented.worker;
  }

  private FakeWorker.WorkerTask startTask(FakeWorker worker, UserJob job, int number) {
    FakeWorker.WorkerTask task = new FakeWorker.WorkerTask(job.id + "/" + number, 1, job);
    worker.tasks.put(task.piece + "@1", task);
    rules.checkStart(worker, task);
    task.status = "running";
    return task;
  }

  private void checkAnswer(String id, UserJob job, long askedAt, int status, String state) {
    rules.checkAnswer(id, job, "c0", askedAt, status, state);
  }

  private void assertViolations(String... expected) {
    List<String> actual =
        simulation.violations.stream()
            .map(text -> text.replaceAll("^\\S+ s (\\S+):.*", "$1"))
            .toList();
    assertEquals(List.of(expected), actual, simulation.violations::toString);
  }

  @Test
  void twoTasksOfOneJobBreakNoRule() {
    UserJob job = submitJob("wk-1");
    job.tasks = 2;
    startTask(rentMachine("a", false), job, 0);
    startTask(rentMachine("b", false), job, 1);
    assertViolations();
  }

  @Test
  void ranTwice() {
    UserJob job = submitJob("wk-1");
    startTask(rentMachine("a", false), job, 0);
    startTask(rentMachine("b", false), job, 0);
    assertViolations("ran_twice");
  }

  @Test
  void quota() {
    UserJob job = submitJob("wk-1");
    job.cpus = 9;
    job.tasks = 2;
    startTask(rentMachine("a", false), job, 0);
    startTask(rentMachine("a", false), job, 1);
    assertViolations("quota");
  }

  @Test
  void wrongPlace() {
    UserJob sameZone = submitJob("wk-1");
    sameZone.sameZone = true;
    sameZone.tasks = 2;
    startTask(rentMachine("a", false), sameZone, 0);
    startTask(rentMachine("b", false), sameZone, 1);
    UserJob spreadAcrossZones = submitJob("wk-2");
    spreadAcrossZones.spreadAcrossZones = true;
    spreadAcrossZones.tasks = 2;
    startTask(rentMachine("a", false), spreadAcrossZones, 0);
    startTask(rentMachine("a", false), spreadAcrossZones, 1);
    startTask(rentMachine("a", true), submitJob("wk-3"), 0);
    UserJob zoneBound = submitJob("wk-4");
    zoneBound.zone = "b";
    startTask(rentMachine("a", false), zoneBound, 0);
    assertViolations("wrong_place", "wrong_place", "wrong_place", "wrong_place");
  }

  @Test
  void aGangRunsWithAllItsTasks() {
    UserJob gang = submitJob("wk-1");
    gang.gang = true;
    gang.tasks = 2;
    FakeWorker machine = rentMachine("a", false);
    FakeWorker.WorkerTask first = new FakeWorker.WorkerTask("wk-1/0", 1, gang);
    FakeWorker.WorkerTask duplicate = new FakeWorker.WorkerTask("wk-1/0", 1, gang);
    FakeWorker.WorkerTask second = new FakeWorker.WorkerTask("wk-1/1", 1, gang);
    rules.checkGangStart(gang, Map.of(first, machine, second, machine));
    assertViolations();
    rules.checkGangStart(gang, Map.of(first, machine, duplicate, machine));
    assertViolations("gang");
  }

  @Test
  void aGangFitsOnlyWithAllItsTasks() {
    rentMachine("a", false);
    rentMachine("b", false);
    UserJob gang = submitJob("wk-1");
    gang.gang = true;
    gang.cpus = 2;
    gang.tasks = 4;
    assertTrue(scenario.hasCapacityFor(gang), "one machine has room for all tasks");
    gang.sameZone = true;
    gang.tasks = 5;
    assertFalse(scenario.hasCapacityFor(gang), "one zone does not have room for all tasks");
    gang.sameZone = false;
    assertTrue(scenario.hasCapacityFor(gang), "two zones together have room for all tasks");
    gang.tasks = 9;
    assertFalse(scenario.hasCapacityFor(gang), "the team's limit does not allow all tasks");
  }

  @Test
  void ranCancelled() {
    UserJob job = submitJob("wk-1");
    FakeWorker machine = rentMachine("a", false);
    startTask(machine, job, 0);
    // A hanging worker does not check its lease, so the task is not ended by it.
    machine.hang(true);
    job.cancelConfirmedAt = simulation.now();
    simulation.runUntil(scenario.script.cancelS - 1);
    assertViolations();
    simulation.runUntil(scenario.script.cancelS + 0.5);
    assertTrue(
        simulation.violations.get(0).contains("ran_cancelled"), simulation.violations::toString);
  }

  @Test
  void noStartIsOrderedAfterACancellation() {
    UserJob job = submitJob("wk-1");
    var orders = Json.array();
    orders.addObject().put("verb", "start").put("piece", "wk-1/0").put("try", 1);
    job.cancelConfirmedAt = simulation.now();
    rules.checkOrders(orders);
    assertViolations();
    simulation.runUntil(1);
    rules.checkOrders(orders);
    assertViolations("ran_cancelled");
  }

  @Test
  void forgotten() {
    UserJob job = submitJob("wk-1");
    checkAnswer("wk-1", job, 0, 201, "queued");
    checkAnswer("wk-1", job, simulation.now() + 1, 404, "");
    checkAnswer("wk-1", job, 0, 422, "");
    assertViolations("forgotten", "forgotten");
  }

  @Test
  void aPollSentBeforeTheAcceptanceMayMissTheJob() {
    UserJob job = submitJob("wk-1");
    long before = simulation.now();
    checkAnswer("wk-1", job, before, 201, "queued");
    checkAnswer("wk-1", job, before, 404, "");
    assertViolations();
    checkAnswer("wk-1", job, before + 1, 404, "");
    assertViolations("forgotten");
  }

  @Test
  void forgottenWhenNoPollIsAnswered() {
    UserJob job = submitJob("wk-1");
    rules.checkPoll(job, 200, 0);
    simulation.runUntil(74);
    rules.checkPoll(job, 503, 0);
    assertViolations();
    simulation.runUntil(76);
    rules.checkPoll(job, 503, simulation.now());
    assertViolations();
    rules.checkPoll(job, 503, 0);
    assertViolations("forgotten");
  }

  @Test
  void invented() {
    checkAnswer("wk-1", null, 0, 200, "queued");
    assertViolations("invented");
  }

  @Test
  void notDone() {
    UserJob job = submitJob("wk-1");
    checkAnswer("wk-1", job, 0, 200, "done");
    assertViolations("not_done");
  }

  @Test
  void wentBack() {
    UserJob job = submitJob("wk-1");
    job.finishedTasks.add("wk-1/0");
    long overlapping = simulation.now();
    checkAnswer("wk-1", job, overlapping, 200, "done");
    checkAnswer("wk-1", job, overlapping, 200, "running");
    assertViolations();
    checkAnswer("wk-1", job, simulation.now() + 1, 200, "running");
    checkAnswer("wk-1", job, overlapping, 200, "aborted");
    // The last answer breaks the rule twice: the state changed, and no cancellation was requested.
    assertViolations("went_back", "went_back", "went_back");
  }

  @Test
  void leftWaitingDespiteCapacity() {
    UserJob job = submitJob("wk-1");
    checkAnswer("wk-1", job, 0, 201, "queued");
    rentMachine("a", false);
    simulation.runUntil(89);
    assertViolations();
    simulation.runUntil(92);
    assertViolations("left_waiting");
  }

  @Test
  void aJobMayWaitWithoutCapacity() {
    UserJob job = submitJob("wk-1");
    job.zone = "b";
    checkAnswer("wk-1", job, 0, 201, "queued");
    rentMachine("a", false);
    simulation.runUntil(200);
    assertViolations();
  }

  @Test
  void halfOfEachClassAndTeamMustStart() {
    for (int i = 0; i < 3; i++) {
      UserJob job = submitJob("wk-" + i);
      job.jobClass = i == 0 ? "rare" : "usual";
      job.team = i == 0 ? "blue" : "red";
      job.firstStartAt = i == 0 ? -1 : simulation.now();
      checkAnswer(job.id, job, 0, 201, "queued");
    }
    simulation.runUntil(100);
    rules.checkServed(60);
    assertViolations("unserved", "unserved", "unserved");
  }

  @Test
  void theLargestJobsMustStartWithinFourMinutes() {
    UserJob large = submitJob("wk-1");
    large.tasks = 10;
    checkAnswer("wk-1", large, 0, 201, "queued");
    for (int i = 2; i < 5; i++) {
      UserJob small = submitJob("wk-" + i);
      small.firstStartAt = simulation.now();
      checkAnswer(small.id, small, 0, 201, "queued");
    }
    simulation.runUntil(250);
    rules.checkServed(60);
    assertViolations("unserved", "unserved");
  }

  @Test
  void invalidSubmissionsAreNotAccepted() {
    rules.checkInvalidSubmission("a job", 201, 422);
    rules.checkInvalidSubmission("a job", 400, 422);
    rules.checkInvalidSubmission("a job", 503, 422);
    assertViolations("accepted", "accepted");
  }
}

package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sandford.scenario.AnswerHistory.RecordedAnswer;
import org.sandford.scenario.AnswerHistory.Stage;

/** The users' rules, checked against what really happens in the simulated world. */
final class Rules {
  /** Milliseconds after which a cancellation is known to whoever may still order a start. */
  private static final int CANCEL_PROPAGATION_MS = 500;

  /** Jobs of at least this part of their class's largest count among its largest. */
  private static final double LARGEST_SHARE = 0.8;

  private final Simulation simulation;
  private final Scenario scenario;
  int startCount;

  /** Tasks of jobs that were not cancelled which ended with their worker's lease. */
  int lostWithLease;

  /** Since when a job waits although there is room for it. */
  private final Map<UserJob, Long> schedulableSince = new HashMap<>();

  Rules(Simulation simulation, Scenario scenario) {
    this.simulation = simulation;
    this.scenario = scenario;
    simulation.ordersSent = this::checkOrders;
    checkPeriodically();
  }

  /** Checked when a task starts on a machine. */
  void checkStart(FakeWorker worker, FakeWorker.Held task) {
    startCount++;
    if (task.job.firstStartAt < 0 && !task.job.gang) {
      task.job.firstStartAt = simulation.now();
    }
    double teamCpus = task.job.cpus;
    int inZone = 1;
    for (FakeCloud.Rented machine : scenario.cloud.machines.values()) {
      if (machine.worker == null) {
        continue;
      }
      for (FakeWorker.Held other : machine.worker.tasks.values()) {
        if (!other.isActive() || other == task) {
          continue;
        }
        if (other.piece.equals(task.piece)) {
          simulation.recordViolation(
              "ran_twice",
              task.piece + " starts on " + worker.machine.name + " while on " + machine.name);
        }
        if (other.job.team.equals(task.job.team)) {
          teamCpus += other.job.cpus;
        }
        if (other.job == task.job && machine.zone.equals(worker.machine.zone)) {
          inZone++;
        }
        if (other.job == task.job
            && task.job.sameZone
            && !machine.zone.equals(worker.machine.zone)) {
          simulation.recordViolation(
              "wrong_place", task.piece + " is not together with " + other.piece);
        }
      }
    }
    if (teamCpus > scenario.teamMaxCpus.get(task.job.team) + 1e-9) {
      simulation.recordViolation("quota", "team " + task.job.team + " uses " + teamCpus + " CPUs");
    }
    if (task.job.spreadAcrossZones && inZone > (task.job.tasks + 1) / 2) {
      simulation.recordViolation(
          "wrong_place", task.piece + " is one of " + inZone + " in zone " + worker.machine.zone);
    }
    if (worker.machine.spot && !task.job.spot) {
      simulation.recordViolation("wrong_place", task.piece + " starts on a spot machine");
    }
    if (!task.job.zone.isEmpty() && !task.job.zone.equals(worker.machine.zone)) {
      simulation.recordViolation(
          "wrong_place", task.piece + " starts in zone " + worker.machine.zone);
    }
    checkNotCancelled(task, "starts");
  }

  /** Checked when the last task of a gang has its image, and all begin to run. */
  void checkGangStart(UserJob job, Map<FakeWorker.Held, FakeWorker> members) {
    if (job.firstStartAt < 0) {
      job.firstStartAt = simulation.now();
    }
    job.gangRuns++;
    long distinctTasks = members.keySet().stream().mapToInt(task -> task.number).distinct().count();
    if (distinctTasks != job.tasks) {
      simulation.recordViolation(
          "gang", job.id + " runs with " + distinctTasks + " of " + job.tasks + " tasks");
    }
  }

  /**
   * Checked on every start that is ordered, when the order leaves: a cancelled job's task is not
   * started any more.
   */
  void checkOrders(JsonNode orders) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      UserJob job = scenario.submitted.get(piece.substring(0, Math.max(0, piece.indexOf('/'))));
      boolean start = order.path("verb").asText().equals("start");
      if (start
          && job != null
          && job.cancelConfirmedAt > 0
          && simulation.now() - job.cancelConfirmedAt > CANCEL_PROPAGATION_MS * Simulation.MS) {
        simulation.recordViolation(
            "ran_cancelled", piece + " is ordered to start after its cancellation was confirmed");
      }
    }
  }

  private void checkNotCancelled(FakeWorker.Held task, String action) {
    UserJob job = task.job;
    if (job.cancelConfirmedAt > 0
        && simulation.now() - job.cancelConfirmedAt > scenario.script.cancelS * 1e9) {
      simulation.recordViolation(
          "ran_cancelled",
          task.piece
              + " "
              + action
              + " "
              + (simulation.now() - job.cancelConfirmedAt) / 1e9
              + " s after its cancellation");
    }
  }

  private void checkPeriodically() {
    for (FakeCloud.Rented machine : scenario.cloud.machines.values()) {
      if (machine.worker != null) {
        machine.worker.tasks.values().stream()
            .filter(FakeWorker.Held::isActive)
            .forEach(t -> checkNotCancelled(t, "is on its machine"));
      }
    }
    scenario.submitted.values().forEach(this::checkWaiting);
    simulation.after(250, this::checkPeriodically);
  }

  /**
   * Once the troubles are over, no job waits for 90 s while a machine that fits has room and its
   * team is under its limit.
   */
  private void checkWaiting(UserJob job) {
    long noFaultSince = Math.max(scenario.lastFaultAt(), job.submittedAt);
    boolean accepted =
        reportedStatuses.containsKey(job.id) && !job.cancelRequested && !job.tasksFail;
    if (!accepted || !scenario.hasCapacityFor(job)) {
      schedulableSince.remove(job);
      return;
    }
    long since =
        Math.max(noFaultSince, schedulableSince.computeIfAbsent(job, j -> simulation.now()));
    if (simulation.now() - since > 90_000 * Simulation.MS) {
      simulation.recordViolation("left_waiting", job.id + " waits beside room for 90 s");
      schedulableSince.put(job, Long.MAX_VALUE / 2);
    }
  }

  /**
   * Checked at the end: at least half of each class, of each team and of a class's largest jobs was
   * served, and the largest began within four minutes. Jobs that came in the last {@code graceS} do
   * not count.
   */
  void checkServed(double graceS) {
    Map<String, List<UserJob>> groups = new TreeMap<>();
    Map<String, Integer> largestTaskCount = new HashMap<>();
    List<UserJob> eligible =
        scenario.submitted.values().stream()
            .filter(
                job ->
                    reportedStatuses.containsKey(job.id) && !job.cancelRequested && !job.tasksFail)
            .filter(job -> simulation.now() - job.submittedAt > graceS * 1e9)
            .filter(this::fitsTeamLimit)
            .toList();
    eligible.forEach(job -> largestTaskCount.merge(job.jobClass, job.tasks, Math::max));
    for (UserJob job : eligible) {
      groups.computeIfAbsent("class " + job.jobClass, k -> new ArrayList<>()).add(job);
      groups.computeIfAbsent("team " + job.team, k -> new ArrayList<>()).add(job);
      if (job.tasks >= LARGEST_SHARE * largestTaskCount.get(job.jobClass)) {
        groups
            .computeIfAbsent("the largest of class " + job.jobClass, k -> new ArrayList<>())
            .add(job);
        boolean startedInTime =
            job.firstStartAt >= 0 && job.firstStartAt - job.submittedAt <= 240_000 * Simulation.MS;
        if (!startedInTime && simulation.now() - job.submittedAt > 240_000 * Simulation.MS) {
          simulation.recordViolation(
              "unserved",
              job.id + ", one of the largest of its class, did not begin within four minutes");
        }
      }
    }
    groups.forEach(
        (name, jobs) -> {
          long startedJobs = jobs.stream().filter(job -> job.firstStartAt >= 0).count();
          if (startedJobs * 2 < jobs.size()) {
            simulation.recordViolation(
                "unserved",
                "only " + startedJobs + " of " + jobs.size() + " jobs of " + name + " began");
          }
        });
  }

  /**
   * Whether the services of its team leave room for one of its tasks; otherwise nobody could serve
   * it.
   */
  private boolean fitsTeamLimit(UserJob job) {
    double serviceCpus =
        scenario.submitted.values().stream()
            .filter(
                other ->
                    other != job
                        && other.service
                        && !other.cancelRequested
                        && other.team.equals(job.team))
            .mapToDouble(other -> other.tasks * other.cpus)
            .sum();
    double neededCpus = job.gang ? job.tasks * job.cpus : job.cpus;
    return serviceCpus + neededCpus <= scenario.teamMaxCpus.get(job.team);
  }

  /** Checked on the answer to a submission that is no valid job, or one that can never run. */
  void checkInvalidSubmission(String description, int status, int expected) {
    if (status != expected && status != 503 && status != 429 && status != 0) {
      simulation.recordViolation(
          "accepted", description + " gets " + status + " and not " + expected);
    }
  }

  private final Map<String, String> reportedStatuses = new HashMap<>();

  private final AnswerHistory history = new AnswerHistory();

  /** Checked on every poll: once the troubles are over, a job stays known. */
  void checkPoll(UserJob job, int status, long lastFaultAt) {
    if (status == 200) {
      job.lastAnswerAt = simulation.now();
    } else if (simulation.now() - Math.max(job.lastAnswerAt, lastFaultAt)
        > 75_000 * Simulation.MS) {
      simulation.recordViolation(
          "forgotten", "no question for " + job.id + " was answered for 75 s without any trouble");
    }
  }

  /**
   * Checked on every answer to a user; true when it tells something new: that the job is accepted
   * or has ended.
   */
  boolean checkAnswer(
      String id, UserJob job, String controller, long askedAt, int status, String state) {
    if (status == 200 || status == 201) {
      if (job == null) {
        simulation.recordViolation("invented", id + " is called " + state);
        return false;
      }
      return checkJobStatus(
          id, job, new RecordedAnswer(controller, askedAt, simulation.now(), state));
    }
    if (job != null && status == 404) {
      String contradiction =
          history.add(id, new RecordedAnswer(controller, askedAt, simulation.now(), ""));
      if (!contradiction.isEmpty()) {
        simulation.recordViolation("forgotten", contradiction);
      }
    }
    if (job != null && reportedStatuses.containsKey(id) && (status == 400 || status == 422)) {
      simulation.recordViolation(
          "forgotten", id + " was accepted and gets " + status + " at " + controller);
    }
    return false;
  }

  private boolean checkJobStatus(String id, UserJob job, RecordedAnswer answer) {
    String state = answer.status();
    String contradiction = history.add(id, answer);
    if (!contradiction.isEmpty()) {
      simulation.recordViolation("went_back", contradiction);
    }
    String previous = reportedStatuses.get(id);
    boolean ended = previous != null && Stage.of(previous) == Stage.ENDED;
    boolean ends = answer.stage() == Stage.ENDED;
    if (ended && ends && !previous.equals(state)) {
      simulation.recordViolation("went_back", id + " was " + previous + " and is called " + state);
    }
    if (state.equals("aborted") && !job.cancelRequested) {
      simulation.recordViolation("went_back", id + " is called aborted, which nobody asked for");
    }
    if (state.equals("done") && job.finishedTasks.size() < job.tasks) {
      simulation.recordViolation(
          "not_done",
          id + " is called done after " + job.finishedTasks.size() + " of " + job.tasks);
    }
    if (!ended) {
      reportedStatuses.put(id, state);
    }
    return previous == null || (ends && !ended);
  }

  boolean hasReportedStatus(String id) {
    return reportedStatuses.containsKey(id);
  }

  String reportedStatus(String id) {
    return reportedStatuses.getOrDefault(id, "nothing");
  }
}

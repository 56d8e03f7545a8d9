package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sandford.scenario.AnswerHistory.RecordedAnswer;
import org.sandford.scenario.AnswerHistory.Stage;

/** Checks the users' rules against the actual state of the simulated cluster. */
final class Rules {
  /** Milliseconds after a confirmed cancellation by which every controller must know of it. */
  private static final int CANCEL_PROPAGATION_MS = 500;

  /**
   * A job is one of the largest of its class if it has at least this share of the largest job's
   * tasks.
   */
  private static final double LARGEST_SHARE = 0.8;

  private final Simulation simulation;
  private final Scenario scenario;
  int startCount;

  /** Counts tasks of jobs not cancelled that ended because their worker's lease expired. */
  int lostWithLease;

  /** Holds the time since which each waiting job could have been scheduled. */
  private final Map<UserJob, Long> schedulableSince = new HashMap<>();

  Rules(Simulation simulation, Scenario scenario) {
    this.simulation = simulation;
    this.scenario = scenario;
    simulation.ordersSentListener = this::checkOrders;
    checkPeriodically();
  }

  /** Checks duplicates, placement, quota and cancellation when a task starts on a machine. */
  void checkStart(FakeWorker worker, FakeWorker.WorkerTask task) {
    startCount++;
    if (task.job.firstStartAt < 0 && !task.job.gang) {
      task.job.firstStartAt = simulation.now();
    }
    double teamCpus = task.job.cpus;
    int inZone = 1;
    for (FakeCloud.RentedMachine machine : scenario.cloud.machines.values()) {
      if (machine.worker == null) {
        continue;
      }
      for (FakeWorker.WorkerTask other : machine.worker.tasks.values()) {
        if (!other.isActive() || other == task) {
          continue;
        }
        if (other.piece.equals(task.piece)) {
          simulation.recordViolation(
              "ran_twice",
              task.piece
                  + " starts on "
                  + worker.machine.name
                  + " while active on "
                  + machine.name);
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
              "wrong_place", task.piece + " is not in the same zone as " + other.piece);
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

  /** Checks that all tasks are present when the last one has its image and the gang starts. */
  void checkGangStart(UserJob job, Map<FakeWorker.WorkerTask, FakeWorker> members) {
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
   * Checks, when orders are sent, that none starts a task of a job whose cancellation was
   * confirmed.
   */
  void checkOrders(JsonNode orders) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      UserJob job = scenario.submittedJobs.get(piece.substring(0, Math.max(0, piece.indexOf('/'))));
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

  private void checkNotCancelled(FakeWorker.WorkerTask task, String action) {
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
    for (FakeCloud.RentedMachine machine : scenario.cloud.machines.values()) {
      if (machine.worker != null) {
        machine.worker.tasks.values().stream()
            .filter(FakeWorker.WorkerTask::isActive)
            .forEach(t -> checkNotCancelled(t, "is on its machine"));
      }
    }
    scenario.submittedJobs.values().forEach(this::checkWaiting);
    simulation.after(250, this::checkPeriodically);
  }

  /**
   * Checks that, without faults, no job waits for 90 s while a suitable machine has free capacity
   * and the team is under its limit.
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
      simulation.recordViolation(
          "left_waiting", job.id + " has waited for 90 s although capacity is free");
      schedulableSince.put(job, Long.MAX_VALUE / 2);
    }
  }

  /**
   * Checks at the end that at least half of the jobs of each class, of each team and of each
   * class's largest jobs started, and that the largest started within four minutes. Jobs submitted
   * in the last {@code graceS} seconds are excluded.
   */
  void checkServed(double graceS) {
    Map<String, List<UserJob>> groups = new TreeMap<>();
    Map<String, Integer> largestTaskCount = new HashMap<>();
    List<UserJob> eligible =
        scenario.submittedJobs.values().stream()
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
              job.id + ", one of the largest of its class, did not start within four minutes");
        }
      }
    }
    groups.forEach(
        (name, jobs) -> {
          long startedJobs = jobs.stream().filter(job -> job.firstStartAt >= 0).count();
          if (startedJobs * 2 < jobs.size()) {
            simulation.recordViolation(
                "unserved",
                "only " + startedJobs + " of " + jobs.size() + " jobs of " + name + " started");
          }
        });
  }

  /**
   * Returns whether the services of the job's team leave enough of the team's limit for one of its
   * tasks, or for all tasks of a gang; without that the job can never start.
   */
  private boolean fitsTeamLimit(UserJob job) {
    double serviceCpus =
        scenario.submittedJobs.values().stream()
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

  /** Checks the answer to a submission that is invalid or can never run. */
  void checkInvalidSubmission(String description, int status, int expected) {
    if (status != expected && status != 503 && status != 429 && status != 0) {
      simulation.recordViolation(
          "accepted", description + " got status " + status + " instead of " + expected);
    }
  }

  private final Map<String, String> reportedStatuses = new HashMap<>();

  private final AnswerHistory history = new AnswerHistory();

  /** Checks on every poll that, without faults, some poll of the job is answered within 75 s. */
  void checkPoll(UserJob job, int status, long lastFaultAt) {
    if (status == 200) {
      job.lastAnswerAt = simulation.now();
    } else if (simulation.now() - Math.max(job.lastAnswerAt, lastFaultAt)
        > 75_000 * Simulation.MS) {
      simulation.recordViolation(
          "forgotten", "no poll of " + job.id + " was answered for 75 s without any fault");
    }
  }

  /**
   * Checks an answer to a user. Returns true when it is the first to say that the job was accepted
   * or has ended.
   */
  boolean checkAnswer(
      String id, UserJob job, String controller, long askedAt, int status, String state) {
    if (status == 200 || status == 201) {
      if (job == null) {
        simulation.recordViolation(
            "invented", id + " was never submitted and is reported as " + state);
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
          "forgotten", id + " was accepted and got status " + status + " at " + controller);
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
      simulation.recordViolation(
          "went_back", id + " was " + previous + " and is reported as " + state);
    }
    if (state.equals("aborted") && !job.cancelRequested) {
      simulation.recordViolation(
          "went_back", id + " is reported as aborted, but no cancellation was requested");
    }
    if (state.equals("done") && job.finishedTasks.size() < job.tasks) {
      simulation.recordViolation(
          "not_done",
          id + " is reported as done after " + job.finishedTasks.size() + " of " + job.tasks);
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
    return reportedStatuses.getOrDefault(id, "none");
  }
}

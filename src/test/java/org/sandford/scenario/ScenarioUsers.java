package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.sandford.runtime.Json;

/**
 * Simulates the users of a scenario: submits, retries, polls and cancels jobs by the published
 * protocol, and has each answer checked by the rules.
 */
final class ScenarioUsers {
  /** Milliseconds for which users poll frequently after a change of a job. */
  private static final int FREQUENT_POLLING_MS = 1_500;

  /** Milliseconds between two such polls. */
  private static final int FREQUENT_POLL_INTERVAL_MS = 15;

  /** Handles the answer to a request; status 0 means that there was none. */
  private interface AnswerHandler {
    void answer(int status, JsonNode body);
  }

  private final Simulation simulation;
  private final Map<String, FakeServer> servers;
  private final Map<String, UserJob> submittedJobs;
  private final SimulatedControllers controllers;
  private final Rules rules;
  private final FaultMonitor faultMonitor;

  /** Whether users cancel, poll and resubmit a job when its last task ends. */
  private boolean cancelsAtEnd;

  /** Whether users poll all controllers every few milliseconds after a change of a job. */
  private boolean frequentPolling;

  private boolean sendsInvalidRequests;
  private int invalidRequestCount;

  ScenarioUsers(
      Simulation simulation,
      Map<String, FakeServer> servers,
      Map<String, UserJob> submittedJobs,
      SimulatedControllers controllers,
      Rules rules,
      FaultMonitor faultMonitor) {
    this.simulation = simulation;
    this.servers = servers;
    this.submittedJobs = submittedJobs;
    this.controllers = controllers;
    this.rules = rules;
    this.faultMonitor = faultMonitor;
  }

  void setCancelAtEnd(boolean on) {
    cancelsAtEnd = on;
  }

  void setFrequentPolling(boolean on) {
    frequentPolling = on;
  }

  void setInvalidRequests(boolean on) {
    sendsInvalidRequests = on;
    sendInvalidRequest();
  }

  /** Submits the same job once more, as its user would. */
  void resubmit(String id) {
    UserJob job = submittedJobs.get(id);
    sendSubmission(job, job.team, simulation.now());
  }

  void cancel(String id, String controller) {
    cancel(submittedJobs.get(id), controller);
  }

  /**
   * Polls, cancels and resubmits the job when its last task ends, as far as the steps ask for it.
   */
  void onLastTaskDone(UserJob job) {
    pollFrequently(job);
    if (cancelsAtEnd && !job.cancelRequested) {
      cancel(job, controllers.anyRunning());
      poll(job.id, controllers.anyRunning());
      sendSubmission(job, job.team, simulation.now());
    }
  }

  /** Sends submissions with different mistakes in turn and checks the status of each answer. */
  private void sendInvalidRequest() {
    if (!sendsInvalidRequests) {
      return;
    }
    UserJob job = new UserJob();
    job.id = String.format("wk-9%05d", invalidRequestCount);
    ObjectNode body = (ObjectNode) Json.read(body(job, "red"));
    int mistake = invalidRequestCount++ % 5;
    switch (mistake) {
      case 0 -> body.put("vcpus", 100.0);
      case 1 -> body.remove("ram_gb");
      case 2 -> body.put("pieces", -1);
      case 3 -> body.put("owner", "nobody");
      default -> body.put("rank", "highest");
    }
    int expected = mistake == 0 || mistake == 3 ? 422 : 400;
    request(
        controllers.anyRunning(),
        "POST",
        "/work",
        mistake == 4 && invalidRequestCount % 2 == 0 ? new byte[] {'['} : Json.bytes(body),
        5_000,
        (status, answer) ->
            rules.checkInvalidSubmission("a submission with mistake " + mistake, status, expected));
    simulation.after(700, this::sendInvalidRequest);
  }

  void submit(String id, Map<String, String> options) {
    UserJob job = new UserJob();
    job.id = id;
    job.team = options.getOrDefault("team", "red");
    job.service = options.containsKey("standing");
    job.gang = options.containsKey("gang");
    job.rank = options.getOrDefault("rank", "normal");
    job.tasks = Integer.parseInt(options.getOrDefault("tasks", "1"));
    job.cpus = Double.parseDouble(options.getOrDefault("cpus", "1"));
    job.ramGb = Double.parseDouble(options.getOrDefault("ram", "1"));
    for (String run : options.getOrDefault("run_s", "5").split("/", -1)) {
      job.taskRunTimesS.add(Double.parseDouble(run));
    }
    job.runS = job.taskRunTimesS.get(job.taskRunTimesS.size() - 1);
    job.jobClass = options.getOrDefault("class", "any");
    job.spot = options.containsKey("spot");
    job.spreadAcrossZones = options.containsKey("scatter");
    job.sameZone = options.containsKey("together");
    job.tasksFail = options.containsKey("fails");
    job.zone = options.getOrDefault("zone", "");
    job.checkpointIntervalS =
        Double.parseDouble(options.getOrDefault("checkpoint_interval_s", "0"));
    job.submittedAt = simulation.now();
    submittedJobs.put(id, job);
    sendSubmission(job, job.team, simulation.now());
  }

  private byte[] body(UserJob job, String team) {
    ObjectNode body = Json.object();
    body.put("name_id", job.id)
        .put("job_class", job.jobClass)
        .put("owner", team)
        .put("rank", job.rank);
    body.put("shape", job.gang ? "ensemble" : job.service ? "standing" : "array")
        .put("pieces", job.tasks);
    body.put("vcpus", job.cpus)
        .put("accelerators", 0.0)
        .put("ram_gb", job.ramGb)
        .put("build", "img")
        .put("image_gb", 1.0);
    body.putNull("machine_kinds").putNull("due_s");
    body.put("site", job.zone.isEmpty() ? null : job.zone);
    body.put("together", job.sameZone)
        .put("scatter", job.spreadAcrossZones)
        .put("reclaimable", job.spot);
    body.put("expected_s", job.runS)
        .put("save_every_s", job.checkpointIntervalS)
        .put("save_cost_s", 1.0);
    return Json.bytes(body);
  }

  private void request(
      String to, String method, String path, byte[] body, long timeoutMs, AnswerHandler handler) {
    boolean[] answered = {false};
    AnswerHandler once =
        (status, answer) -> {
          if (!answered[0]) {
            answered[0] = true;
            handler.answer(status, answer);
          }
        };
    FakeServer server = servers.get(to);
    if (server == null || simulation.isDead(to)) {
      simulation.after(1, () -> once.answer(0, Json.object()));
      return;
    }
    simulation.after(timeoutMs, () -> once.answer(0, Json.object()));
    simulation.deliver(
        "users",
        to,
        () ->
            server.handle(
                "users",
                method,
                path,
                body,
                response ->
                    simulation.deliver(
                        to, "users", () -> once.answer(response.status(), response.body()))));
  }

  /** Checks an answer; if it reports a change, users may start to poll frequently. */
  private void handleAnswer(String id, String controller, long askedAt, int status, String state) {
    UserJob job = submittedJobs.get(id);
    if (rules.checkAnswer(id, job, controller, askedAt, status, state)) {
      pollFrequently(job);
    }
  }

  /** Polls all controllers repeatedly and resubmits the job, if frequent polling is on. */
  private void pollFrequently(UserJob job) {
    if (frequentPolling) {
      for (int ms = 0; ms < FREQUENT_POLLING_MS; ms += FREQUENT_POLL_INTERVAL_MS) {
        simulation.after(ms, () -> pollAllControllers(job));
      }
    }
  }

  private void pollAllControllers(UserJob job) {
    for (String label : List.copyOf(controllers.runningLabels())) {
      poll(job.id, label);
      repeatSubmission(job, label);
    }
  }

  /** Submits an accepted job once more, without scheduling further polls. */
  private void repeatSubmission(UserJob job, String label) {
    long askedAt = simulation.now();
    request(
        label,
        "POST",
        "/work",
        body(job, job.team),
        5_000,
        (status, answer) ->
            handleAnswer(job.id, label, askedAt, status, answer.path("status").asText()));
  }

  private void sendSubmission(UserJob job, String team, long submittedAt) {
    long askedAt = simulation.now();
    String to = controllers.anyRunning();
    request(
        to,
        "POST",
        "/work",
        body(job, team),
        5_000,
        (status, answer) -> {
          job.submissionStatus = status;
          handleAnswer(job.id, to, askedAt, status, answer.path("status").asText());
          if (status == 200 || status == 201) {
            job.lastAnswerAt = simulation.now();
            schedulePoll(job);
          } else if (status != 400
              && status != 422
              && simulation.now() - submittedAt < 60_000 * Simulation.MS) {
            simulation.after(1_000, () -> sendSubmission(job, team, submittedAt));
          }
        });
  }

  private void schedulePoll(UserJob job) {
    simulation.after(
        1_000,
        () -> {
          long askedAt = simulation.now();
          String to = controllers.anyRunning();
          request(
              to,
              "GET",
              "/work/" + job.id,
              new byte[0],
              2_000,
              (status, answer) -> {
                String state = answer.path("status").asText();
                handleAnswer(job.id, to, askedAt, status, state);
                rules.checkPoll(job, status, faultMonitor.checkForFaults());
                schedulePoll(job);
              });
        });
  }

  void poll(String id, String controller) {
    long askedAt = simulation.now();
    request(
        controller,
        "GET",
        "/work/" + id,
        new byte[0],
        2_000,
        (status, answer) -> {
          handleAnswer(id, controller, askedAt, status, answer.path("status").asText());
          if (!submittedJobs.containsKey(id) && status != 404 && status != 503) {
            simulation.recordViolation("invented", id + " gets " + status);
          }
        });
  }

  void cancel(UserJob job, String controller) {
    job.cancelRequested = true;
    pollFrequently(job);
    long askedAt = simulation.now();
    request(
        controller,
        "POST",
        "/work/" + job.id + "/abort",
        new byte[0],
        5_000,
        (status, answer) -> {
          String state = answer.path("status").asText();
          if (status == 200) {
            handleAnswer(job.id, controller, askedAt, status, state);
            if (state.equals("aborted") && job.cancelConfirmedAt == 0) {
              job.cancelConfirmedAt = simulation.now();
            }
          } else {
            simulation.after(1_000, () -> cancel(job, controllers.anyRunning()));
          }
        });
  }
}

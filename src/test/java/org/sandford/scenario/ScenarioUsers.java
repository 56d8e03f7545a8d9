package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.sandford.runtime.Json;

/**
 * The users of a scenario: they submit jobs, retry and poll by the published protocol, cancel, and
 * have each answer checked by the rules.
 */
final class ScenarioUsers {
  /** Milliseconds for which users poll closely after news of a job. */
  private static final int CLOSE_POLLS_FOR_MS = 1_500;

  /** Milliseconds between two such polls. */
  private static final int CLOSE_POLLS_PAUSE_MS = 15;

  /** Takes the answer to a request; status 0 stands for none. */
  private interface AnswerHandler {
    void answer(int status, JsonNode body);
  }

  private final Simulation simulation;
  private final Map<String, FakeServer> servers;
  private final Map<String, UserJob> submitted;
  private final SimulatedControllers controllers;
  private final Rules rules;
  private final TroubleWatch troubles;

  /** Whether users cancel, poll and repeat a job at the moment at which its last task ends. */
  private boolean cancelsAtEnd;

  /** Whether users poll all controllers within milliseconds of news. */
  private boolean closePolls;

  private boolean oddRequests;
  private int oddRequestCount;

  ScenarioUsers(
      Simulation simulation,
      Map<String, FakeServer> servers,
      Map<String, UserJob> submitted,
      SimulatedControllers controllers,
      Rules rules,
      TroubleWatch troubles) {
    this.simulation = simulation;
    this.servers = servers;
    this.submitted = submitted;
    this.controllers = controllers;
    this.rules = rules;
    this.troubles = troubles;
  }

  void cancelAtEnd(boolean on) {
    cancelsAtEnd = on;
  }

  void pollClosely(boolean on) {
    closePolls = on;
  }

  void makeOddRequests(boolean on) {
    oddRequests = on;
    sendOddRequest();
  }

  /** Submits a job of the step's words once more, as its user would. */
  void resubmit(String id) {
    UserJob job = submitted.get(id);
    send(job, job.team, simulation.now());
  }

  void abort(String id, String controller) {
    abort(submitted.get(id), controller);
  }

  /** The moment at which a job's last task ends: users may meet it. */
  void lastTaskDone(UserJob job) {
    pollClosely(job);
    if (cancelsAtEnd && !job.abortAsked) {
      abort(job, controllers.any());
      poll(job.id, controllers.any());
      send(job, job.team, simulation.now());
    }
  }

  /** Users' mistakes, one after the other, each with the answer that it has to get. */
  private void sendOddRequest() {
    if (!oddRequests) {
      return;
    }
    UserJob job = new UserJob();
    job.id = String.format("wk-9%05d", oddRequestCount);
    ObjectNode body = (ObjectNode) Json.read(body(job, "red"));
    int kind = oddRequestCount++ % 5;
    switch (kind) {
      case 0 -> body.put("vcpus", 100.0);
      case 1 -> body.remove("ram_gb");
      case 2 -> body.put("pieces", -1);
      case 3 -> body.put("owner", "nobody");
      default -> body.put("rank", "highest");
    }
    int wanted = kind == 0 || kind == 3 ? 422 : 400;
    request(
        controllers.any(),
        "POST",
        "/work",
        kind == 4 && oddRequestCount % 2 == 0 ? new byte[] {'['} : Json.bytes(body),
        5_000,
        (status, answer) -> rules.answeredOdd("a submission with mistake " + kind, status, wanted));
    simulation.after(700, this::sendOddRequest);
  }

  void submit(String id, Map<String, String> options) {
    UserJob job = new UserJob();
    job.id = id;
    job.team = options.getOrDefault("team", "red");
    job.standing = options.containsKey("standing");
    job.gang = options.containsKey("gang");
    job.rank = options.getOrDefault("rank", "normal");
    job.tasks = Integer.parseInt(options.getOrDefault("tasks", "1"));
    job.cpus = Double.parseDouble(options.getOrDefault("cpus", "1"));
    job.ram = Double.parseDouble(options.getOrDefault("ram", "1"));
    for (String run : options.getOrDefault("run", "5").split("/", -1)) {
      job.runs.add(Double.parseDouble(run));
    }
    job.runS = job.runs.get(job.runs.size() - 1);
    job.jobClass = options.getOrDefault("class", "any");
    job.spot = options.containsKey("spot");
    job.spreadAcrossZones = options.containsKey("scatter");
    job.sameZone = options.containsKey("together");
    job.fails = options.containsKey("fails");
    job.zone = options.getOrDefault("zone", "");
    job.checkpointIntervalS = Double.parseDouble(options.getOrDefault("save", "0"));
    job.since = simulation.now();
    submitted.put(id, job);
    send(job, job.team, simulation.now());
  }

  private byte[] body(UserJob job, String team) {
    ObjectNode b = Json.object();
    b.put("name_id", job.id)
        .put("job_class", job.jobClass)
        .put("owner", team)
        .put("rank", job.rank);
    b.put("shape", job.gang ? "ensemble" : job.standing ? "standing" : "array")
        .put("pieces", job.tasks);
    b.put("vcpus", job.cpus)
        .put("accelerators", 0.0)
        .put("ram_gb", job.ram)
        .put("build", "img")
        .put("image_gb", 1.0);
    b.putNull("machine_kinds").putNull("due_s");
    b.put("site", job.zone.isEmpty() ? null : job.zone);
    b.put("together", job.sameZone)
        .put("scatter", job.spreadAcrossZones)
        .put("reclaimable", job.spot);
    b.put("expected_s", job.runS)
        .put("save_every_s", job.checkpointIntervalS)
        .put("save_cost_s", 1.0);
    return Json.bytes(b);
  }

  private void request(
      String to, String method, String path, byte[] body, long patienceMs, AnswerHandler taken) {
    boolean[] over = {false};
    AnswerHandler once =
        (status, answer) -> {
          if (!over[0]) {
            over[0] = true;
            taken.answer(status, answer);
          }
        };
    FakeServer server = servers.get(to);
    if (server == null || simulation.isDead(to)) {
      simulation.after(1, () -> once.answer(0, Json.object()));
      return;
    }
    simulation.after(patienceMs, () -> once.answer(0, Json.object()));
    simulation.carry(
        "users",
        to,
        () ->
            server.handle(
                "users",
                method,
                path,
                body,
                r -> simulation.carry(to, "users", () -> once.answer(r.status(), r.body()))));
  }

  /** Takes an answer; on news, users may look closely at once. */
  private void told(String id, String node, long askedAt, int status, String state) {
    UserJob job = submitted.get(id);
    if (rules.answered(id, job, node, askedAt, status, state)) {
      pollClosely(job);
    }
  }

  /** Users who look closely ask at all controllers again and again, and repeat the submission. */
  private void pollClosely(UserJob job) {
    if (closePolls) {
      for (int ms = 0; ms < CLOSE_POLLS_FOR_MS; ms += CLOSE_POLLS_PAUSE_MS) {
        simulation.after(ms, () -> pollEverywhere(job));
      }
    }
  }

  private void pollEverywhere(UserJob job) {
    for (String label : List.copyOf(controllers.runningLabels())) {
      poll(job.id, label);
      repeat(job, label);
    }
  }

  /** Submits a job that was accepted once more, and does not follow it a second time. */
  private void repeat(UserJob job, String label) {
    long askedAt = simulation.now();
    request(
        label,
        "POST",
        "/work",
        body(job, job.team),
        5_000,
        (status, answer) -> told(job.id, label, askedAt, status, answer.path("status").asText()));
  }

  private void send(UserJob job, String team, long since) {
    long askedAt = simulation.now();
    String to = controllers.any();
    request(
        to,
        "POST",
        "/work",
        body(job, team),
        5_000,
        (status, answer) -> {
          job.status = status;
          told(job.id, to, askedAt, status, answer.path("status").asText());
          if (status == 200 || status == 201) {
            job.lastAnswer = simulation.now();
            pollAgain(job);
          } else if (status != 400
              && status != 422
              && simulation.now() - since < 60_000 * Simulation.MS) {
            simulation.after(1_000, () -> send(job, team, since));
          }
        });
  }

  private void pollAgain(UserJob job) {
    simulation.after(
        1_000,
        () -> {
          long askedAt = simulation.now();
          String to = controllers.any();
          request(
              to,
              "GET",
              "/work/" + job.id,
              new byte[0],
              2_000,
              (status, answer) -> {
                String state = answer.path("status").asText();
                told(job.id, to, askedAt, status, state);
                rules.polled(job, status, troubles.lastTrouble());
                pollAgain(job);
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
          told(id, controller, askedAt, status, answer.path("status").asText());
          if (!submitted.containsKey(id) && status != 404 && status != 503) {
            simulation.broke("invented", id + " gets " + status);
          }
        });
  }

  void abort(UserJob job, String controller) {
    job.abortAsked = true;
    pollClosely(job);
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
            told(job.id, controller, askedAt, status, state);
            if (state.equals("aborted") && job.abortedAt == 0) {
              job.abortedAt = simulation.now();
            }
          } else {
            simulation.after(1_000, () -> abort(job, controllers.any()));
          }
        });
  }
}

package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sandford.runtime.Json;

/** A worker by its published protocol: reports, commands, tokens, its lease and its tasks. */
final class FakeWorker implements FakeServer {
  static final class Held {
    final String piece;
    final long attempt;
    final UserJob job;
    final int number;
    String status = "pulling";
    String cause;

    Held(String piece, long attempt, UserJob job) {
      this.piece = piece;
      this.attempt = attempt;
      this.job = job;
      this.number = Integer.parseInt(piece.substring(piece.indexOf('/') + 1));
    }

    boolean on() {
      return status.equals("running") || status.equals("saving") || status.equals("gathering");
    }

    boolean ended() {
      return status.equals("ended");
    }
  }

  private final Simulation simulation;
  private final Scenario scenario;
  final FakeCloud.Rented machine;
  final Map<String, Held> held = new LinkedHashMap<>();
  private final List<Runnable> whileHanging = new ArrayList<>();
  private long agentEpoch = 1;
  private long serial;
  private long fence;
  private long leaseFrom;
  private int target;
  private boolean inFlight;
  private long reportRound;
  private boolean gone;
  private boolean hanging;
  boolean faulty;

  /** It reaches no controller, while direct commands reach it. */
  boolean unreachable;

  /** A report that was kept to be delivered later. */
  private byte[] kept;

  private Double noticeS;

  FakeWorker(Simulation simulation, Scenario scenario, FakeCloud.Rented machine) {
    this.simulation = simulation;
    this.scenario = scenario;
    this.machine = machine;
    this.leaseFrom = simulation.now();
    this.target = scenario.random(scenario.script.controllers);
    simulation.after(1, () -> report());
    watchLease();
  }

  private void dropAll() {
    List<Held> dropped = new ArrayList<>(held.values());
    held.clear();
    dropped.stream().filter(task -> task.job != null && task.job.gang).forEach(this::leftItsGang);
  }

  private void leftItsGang(Held task) {
    scenario.gang(task).gone(task);
  }

  boolean hangs() {
    return hanging;
  }

  /** All tasks of the gang are there: the task runs from now on. */
  void runs(Held task) {
    task.status = "running";
    changed();
  }

  /** Ends the task if it is still there and in this state. */
  void endIf(Held task, String status, String cause) {
    if (!gone && held.containsValue(task) && task.status.equals(status)) {
      if (hanging) {
        whileHanging.add(() -> endIf(task, status, cause));
      } else {
        end(task, cause);
      }
    }
  }

  void destroy() {
    gone = true;
    dropAll();
    scenario.servers.remove(machine.name, this);
  }

  void die() {
    gone = true;
    dropAll();
    simulation.setDead(machine.name, true);
  }

  boolean usable() {
    return !gone
        && !hanging
        && !faulty
        && !unreachable
        && noticeS == null
        && !simulation.isDead(machine.name);
  }

  boolean inTrouble() {
    return !gone && (hanging || unreachable);
  }

  /** Keeps what it would report now, as if it were held back on its way. */
  void keepReport() {
    kept = Json.bytes(body());
  }

  void deliverKept(String to) {
    FakeServer server = scenario.servers.get(to);
    if (server != null && !simulation.isDead(to)) {
      server.handle(machine.name, "POST", "/hello", kept, ignored -> {});
    }
  }

  void hang(boolean on) {
    hanging = on;
    if (!on) {
      checkLease();
      List<Runnable> late = new ArrayList<>(whileHanging);
      whileHanging.clear();
      late.forEach(Runnable::run);
    }
  }

  void notice(double seconds) {
    noticeS = seconds;
    changed();
    simulation.after((long) (seconds * 1000), () -> scenario.cloud.take(machine.name));
  }

  private void watchLease() {
    if (!gone) {
      if (!hanging) {
        checkLease();
      }
      simulation.after(50, this::watchLease);
    }
  }

  private void checkLease() {
    if (simulation.now() - leaseFrom > scenario.script.leaseS * 1e9) {
      held.values().stream()
          .filter(h -> h.on() && h.job.abortedAt == 0)
          .forEach(h -> scenario.rules.lostWithLease++);
      dropAll();
      agentEpoch++;
      leaseFrom = simulation.now();
      changed();
    }
  }

  private ObjectNode body() {
    serial++;
    ObjectNode body = Json.object();
    body.put("host", machine.name).put("addr", machine.name + ":90").put("machine_kind", "m8");
    body.put("site", machine.zone).put("reclaimable", machine.spot);
    body.put("tenure", agentEpoch).put("serial", serial).put("fence", fence);
    if (noticeS != null) {
      body.put("warning_s", noticeS);
    }
    ArrayNode pieces = body.putArray("pieces");
    for (Held h : held.values()) {
      ObjectNode piece =
          pieces.addObject().put("piece", h.piece).put("try", h.attempt).put("status", h.status);
      if (h.ended()) {
        piece.put("exit_cause", h.cause);
      }
    }
    return body;
  }

  private void changed() {
    long round = ++reportRound;
    simulation.after(
        500,
        () -> {
          if (round == reportRound) {
            report();
          }
        });
  }

  private void report() {
    if (gone) {
      return;
    }
    if (hanging) {
      simulation.after(200, this::report);
      return;
    }
    if (inFlight) {
      changed();
      return;
    }
    long mine = ++reportRound;
    inFlight = true;
    long sentAt = simulation.now();
    long sentTenure = agentEpoch;
    String to = "c" + target;
    boolean[] over = {false};
    ObjectNode body = body();
    Consumer<Response> answered =
        response -> {
          if (over[0] || gone) {
            return;
          }
          over[0] = true;
          inFlight = false;
          answered(response, sentAt, sentTenure);
        };
    simulation.after(4_000, () -> answered.accept(new Response(0, Json.object())));
    if (simulation.lateReports && simulation.random.nextInt(4) == 0) {
      long late = 1_000L + simulation.random.nextInt((int) (3_000 * scenario.script.leaseS));
      String whereTo = "c" + simulation.random.nextInt(scenario.script.controllers);
      simulation.after(
          late,
          () -> {
            FakeServer other = scenario.servers.get(whereTo);
            if (other != null && !simulation.isDead(whereTo)) {
              other.handle(machine.name, "POST", "/hello", Json.bytes(body), ignored -> {});
            }
          });
    }
    FakeServer server = scenario.servers.get(to);
    if (server == null || simulation.isDead(to) || unreachable) {
      simulation.after(1, () -> answered.accept(new Response(0, Json.object())));
    } else {
      simulation.carry(
          machine.name,
          to,
          () -> {
            if (scenario.servers.get(to) == server) {
              server.handle(
                  machine.name,
                  "POST",
                  "/hello",
                  Json.bytes(body),
                  response -> {
                    scenario.rules.ordered(response.body().path("orders"));
                    simulation.carry(
                        to,
                        machine.name,
                        () -> {
                          if (hanging) {
                            whileHanging.add(() -> answered.accept(response));
                          } else {
                            answered.accept(response);
                          }
                        });
                  });
            }
          });
    }
    long period = (long) (scenario.script.reportS * (750 + scenario.random(500)));
    simulation.after(
        period,
        () -> {
          if (mine == reportRound) {
            report();
          }
        });
  }

  private void answered(Response response, long sentAt, long sentTenure) {
    if (response.status() == 200) {
      long token = response.body().path("fence").asLong(-1);
      if (token < fence || sentTenure != agentEpoch) {
        return;
      }
      boolean raised = token > fence;
      fence = token;
      leaseFrom = Math.max(leaseFrom, sentAt);
      execute(response.body().path("orders"));
      if (raised) {
        changed();
      }
      return;
    }
    String to = response.body().path("reports_to").asText("");
    if (response.status() == 421 && scenario.servers.containsKey(to) && !to.equals("c" + target)) {
      target = Integer.parseInt(to.substring(1));
      simulation.after(100, this::report);
    } else {
      target = (target + 1) % scenario.script.controllers;
      simulation.after(1_000, this::report);
    }
  }

  @Override
  public void handle(
      String from, String method, String path, byte[] bytes, Consumer<Response> respond) {
    if (gone) {
      return;
    }
    if (hanging) {
      whileHanging.add(() -> handle(from, method, path, bytes, respond));
      return;
    }
    checkLease();
    if (path.equals("/show")) {
      respond.accept(new Response(200, body()));
      return;
    }
    JsonNode body = Json.read(bytes);
    if (body.path("fence").asLong(-1) < fence || body.path("tenure").asLong() != agentEpoch) {
      respond.accept(new Response(409, body()));
      return;
    }
    boolean raised = body.path("fence").asLong() > fence;
    fence = body.path("fence").asLong();
    execute(body.path("orders"));
    respond.accept(new Response(200, body()));
    if (raised) {
      changed();
    }
  }

  private void execute(JsonNode orders) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      String key = piece + "@" + attempt;
      Held known = held.get(key);
      switch (order.path("verb").asText()) {
        case "start" -> {
          if (known == null) {
            start(piece, attempt, key);
          }
        }
        case "stop" -> {
          if (known != null && !known.ended()) {
            stop(known, order.path("wind_down_s").asDouble());
          }
        }
        case "clear" -> {
          if (known != null && known.ended()) {
            held.remove(key);
            changed();
          }
        }
        default -> simulation.broke("protocol", "an unknown order " + order);
      }
    }
  }

  private void start(String piece, long attempt, String key) {
    UserJob job = scenario.submitted.get(piece.substring(0, piece.indexOf('/')));
    Held h = new Held(piece, attempt, job);
    held.put(key, h);
    changed();
    if (job == null) {
      end(h, "unknown");
      return;
    }
    if (held.values().stream().anyMatch(o -> o != h && o.piece.equals(piece) && !o.ended())) {
      end(h, "in_use");
      return;
    }
    double used = held.values().stream().filter(o -> !o.ended()).mapToDouble(o -> o.job.cpus).sum();
    if (used > 8 + 1e-9) {
      end(h, "full");
      return;
    }
    simulation.after(200, () -> run(h, key));
  }

  private boolean has(Held h, String key) {
    return !gone && held.get(key) == h;
  }

  private void run(Held h, String key) {
    if (!has(h, key) || !h.status.equals("pulling")) {
      return;
    }
    if (hanging) {
      whileHanging.add(() -> run(h, key));
      return;
    }
    if (faulty || h.job.fails) {
      end(h, "error");
      return;
    }
    scenario.rules.starts(this, h);
    if (h.job.gang) {
      h.status = "gathering";
      changed();
      scenario.gang(h).gathers(this, h);
      return;
    }
    h.status = "running";
    changed();
    if (!h.job.standing) {
      simulation.after((long) (h.job.runSOf(h.number) * 1000), () -> finish(h, key));
    }
  }

  private void finish(Held h, String key) {
    if (has(h, key) && h.status.equals("running")) {
      if (hanging) {
        whileHanging.add(() -> finish(h, key));
      } else {
        h.job.finished.add(h.piece);
        end(h, "done");
        if (h.job.finished.size() == h.job.tasks) {
          scenario.lastTaskDone(h.job);
        }
      }
    }
  }

  private void stop(Held h, double graceS) {
    if (h.job == null || !h.job.gang || !scenario.gang(h).stops(h, graceS)) {
      end(h, "stopped");
    }
  }

  private void end(Held h, String cause) {
    h.status = "ended";
    h.cause = cause;
    changed();
    if (h.job != null && h.job.gang && !cause.equals("done")) {
      leftItsGang(h);
    }
  }
}

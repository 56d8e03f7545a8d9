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

/** Simulates a worker by its published protocol: reports, commands, fences, lease and tasks. */
final class FakeWorker implements FakeServer {
  static final class WorkerTask {
    final String piece;
    final long attempt;
    final UserJob job;
    final int number;
    String status = "pulling";
    String cause;

    WorkerTask(String piece, long attempt, UserJob job) {
      this.piece = piece;
      this.attempt = attempt;
      this.job = job;
      this.number = Integer.parseInt(piece.substring(piece.indexOf('/') + 1));
    }

    boolean isActive() {
      return status.equals("running") || status.equals("saving") || status.equals("gathering");
    }

    boolean isEnded() {
      return status.equals("ended");
    }
  }

  private final Simulation simulation;
  private final Scenario scenario;
  final FakeCloud.RentedMachine machine;
  final Map<String, WorkerTask> tasks = new LinkedHashMap<>();
  private final List<Runnable> deferredActions = new ArrayList<>();
  private long tenure = 1;
  private long serial;
  private long fence;
  private long leaseRenewedAt;
  private int targetController;
  private boolean reportInFlight;
  private long reportRound;
  private boolean terminated;
  private boolean hanging;
  boolean tasksFail;

  /** Whether its heartbeats reach no controller, while direct commands still reach it. */
  boolean heartbeatsBlocked;

  /** A heartbeat that is captured to be delivered later. */
  private byte[] capturedHeartbeat;

  private Double interruptionNoticeS;

  FakeWorker(Simulation simulation, Scenario scenario, FakeCloud.RentedMachine machine) {
    this.simulation = simulation;
    this.scenario = scenario;
    this.machine = machine;
    this.leaseRenewedAt = simulation.now();
    this.targetController = scenario.random(scenario.script.controllers);
    simulation.after(1, () -> sendReport());
    checkLeasePeriodically();
  }

  private void removeAllTasks() {
    List<WorkerTask> removed = new ArrayList<>(tasks.values());
    tasks.clear();
    removed.stream()
        .filter(task -> task.job != null && task.job.gang)
        .forEach(this::removeFromGang);
  }

  private void removeFromGang(WorkerTask task) {
    scenario.gangOf(task).remove(task);
  }

  boolean isHanging() {
    return hanging;
  }

  /** Marks a task as running once all tasks of its gang have joined. */
  void startRunning(WorkerTask task) {
    task.status = "running";
    scheduleReport();
  }

  /** Ends the task if the worker still has it in this status. */
  void endIfInStatus(WorkerTask task, String status, String cause) {
    if (!terminated && tasks.containsValue(task) && task.status.equals(status)) {
      if (hanging) {
        deferredActions.add(() -> endIfInStatus(task, status, cause));
      } else {
        end(task, cause);
      }
    }
  }

  void destroy() {
    terminated = true;
    removeAllTasks();
    scenario.servers.remove(machine.name, this);
  }

  void crash() {
    terminated = true;
    removeAllTasks();
    simulation.setDead(machine.name, true);
  }

  boolean isUsable() {
    return !terminated
        && !hanging
        && !tasksFail
        && !heartbeatsBlocked
        && interruptionNoticeS == null
        && !simulation.isDead(machine.name);
  }

  boolean hasFault() {
    return !terminated && (hanging || heartbeatsBlocked);
  }

  /** Captures the present heartbeat, as if it were delayed in the network. */
  void captureHeartbeat() {
    capturedHeartbeat = Json.bytes(reportBody());
  }

  void deliverCapturedHeartbeat(String to) {
    FakeServer server = scenario.servers.get(to);
    if (server != null && !simulation.isDead(to)) {
      server.handle(machine.name, "POST", "/hello", capturedHeartbeat, ignored -> {});
    }
  }

  void hang(boolean hang) {
    hanging = hang;
    if (!hang) {
      checkLease();
      List<Runnable> actions = new ArrayList<>(deferredActions);
      deferredActions.clear();
      actions.forEach(Runnable::run);
    }
  }

  void noticeInterruption(double seconds) {
    interruptionNoticeS = seconds;
    scheduleReport();
    simulation.after((long) (seconds * 1000), () -> scenario.cloud.removeMachine(machine.name));
  }

  private void checkLeasePeriodically() {
    if (!terminated) {
      if (!hanging) {
        checkLease();
      }
      simulation.after(50, this::checkLeasePeriodically);
    }
  }

  private void checkLease() {
    if (simulation.now() - leaseRenewedAt > scenario.script.leaseS * 1e9) {
      tasks.values().stream()
          .filter(task -> task.isActive() && task.job.cancelConfirmedAt == 0)
          .forEach(task -> scenario.rules.lostWithLease++);
      removeAllTasks();
      tenure++;
      leaseRenewedAt = simulation.now();
      scheduleReport();
    }
  }

  private ObjectNode reportBody() {
    serial++;
    ObjectNode body = Json.object();
    body.put("host", machine.name).put("addr", machine.name + ":90").put("machine_kind", "m8");
    body.put("site", machine.zone).put("reclaimable", machine.spot);
    body.put("tenure", tenure).put("serial", serial).put("fence", fence);
    if (interruptionNoticeS != null) {
      body.put("warning_s", interruptionNoticeS);
    }
    ArrayNode pieces = body.putArray("pieces");
    for (WorkerTask task : tasks.values()) {
      ObjectNode piece =
          pieces
              .addObject()
              .put("piece", task.piece)
              .put("try", task.attempt)
              .put("status", task.status);
      if (task.isEnded()) {
        piece.put("exit_cause", task.cause);
      }
    }
    return body;
  }

  private void scheduleReport() {
    long round = ++reportRound;
    simulation.after(
        500,
        () -> {
          if (round == reportRound) {
            sendReport();
          }
        });
  }

  private void sendReport() {
    if (terminated) {
      return;
    }
    if (hanging) {
      simulation.after(200, this::sendReport);
      return;
    }
    if (reportInFlight) {
      scheduleReport();
      return;
    }
    long round = ++reportRound;
    reportInFlight = true;
    long sentAt = simulation.now();
    long sentTenure = tenure;
    String to = "c" + targetController;
    boolean[] handled = {false};
    ObjectNode body = reportBody();
    Consumer<Response> answered =
        response -> {
          if (handled[0] || terminated) {
            return;
          }
          handled[0] = true;
          reportInFlight = false;
          handleAnswer(response, sentAt, sentTenure);
        };
    simulation.after(4_000, () -> answered.accept(new Response(0, Json.object())));
    if (simulation.lateHeartbeats && simulation.random.nextInt(4) == 0) {
      long delayMs = 1_000L + simulation.random.nextInt((int) (3_000 * scenario.script.leaseS));
      String lateTarget = "c" + simulation.random.nextInt(scenario.script.controllers);
      simulation.after(
          delayMs,
          () -> {
            FakeServer other = scenario.servers.get(lateTarget);
            if (other != null && !simulation.isDead(lateTarget)) {
              other.handle(machine.name, "POST", "/hello", Json.bytes(body), ignored -> {});
            }
          });
    }
    FakeServer server = scenario.servers.get(to);
    if (server == null || simulation.isDead(to) || heartbeatsBlocked) {
      simulation.after(1, () -> answered.accept(new Response(0, Json.object())));
    } else {
      simulation.deliver(
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
                    scenario.rules.checkOrders(response.body().path("orders"));
                    simulation.deliver(
                        to,
                        machine.name,
                        () -> {
                          if (hanging) {
                            deferredActions.add(() -> answered.accept(response));
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
          if (round == reportRound) {
            sendReport();
          }
        });
  }

  private void handleAnswer(Response response, long sentAt, long sentTenure) {
    if (response.status() == 200) {
      long token = response.body().path("fence").asLong(-1);
      if (token < fence || sentTenure != tenure) {
        return;
      }
      boolean fenceRaised = token > fence;
      fence = token;
      leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
      executeOrders(response.body().path("orders"));
      if (fenceRaised) {
        scheduleReport();
      }
      return;
    }
    String to = response.body().path("reports_to").asText("");
    if (response.status() == 421
        && scenario.servers.containsKey(to)
        && !to.equals("c" + targetController)) {
      targetController = Integer.parseInt(to.substring(1));
      simulation.after(100, this::sendReport);
    } else {
      targetController = (targetController + 1) % scenario.script.controllers;
      simulation.after(1_000, this::sendReport);
    }
  }

  @Override
  public void handle(
      String from, String method, String path, byte[] bytes, Consumer<Response> respond) {
    if (terminated) {
      return;
    }
    if (hanging) {
      deferredActions.add(() -> handle(from, method, path, bytes, respond));
      return;
    }
    checkLease();
    if (path.equals("/show")) {
      respond.accept(new Response(200, reportBody()));
      return;
    }
    JsonNode body = Json.read(bytes);
    if (body.path("fence").asLong(-1) < fence || body.path("tenure").asLong() != tenure) {
      respond.accept(new Response(409, reportBody()));
      return;
    }
    boolean fenceRaised = body.path("fence").asLong() > fence;
    fence = body.path("fence").asLong();
    executeOrders(body.path("orders"));
    respond.accept(new Response(200, reportBody()));
    if (fenceRaised) {
      scheduleReport();
    }
  }

  private void executeOrders(JsonNode orders) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      String key = piece + "@" + attempt;
      WorkerTask known = tasks.get(key);
      switch (order.path("verb").asText()) {
        case "start" -> {
          if (known == null) {
            start(piece, attempt, key);
          }
        }
        case "stop" -> {
          if (known != null && !known.isEnded()) {
            stop(known, order.path("wind_down_s").asDouble());
          }
        }
        case "clear" -> {
          if (known != null && known.isEnded()) {
            tasks.remove(key);
            scheduleReport();
          }
        }
        default -> simulation.recordViolation("protocol", "unknown order " + order);
      }
    }
  }

  private void start(String piece, long attempt, String key) {
    UserJob job = scenario.submittedJobs.get(piece.substring(0, piece.indexOf('/')));
    WorkerTask task = new WorkerTask(piece, attempt, job);
    tasks.put(key, task);
    scheduleReport();
    if (job == null) {
      end(task, "unknown");
      return;
    }
    if (tasks.values().stream()
        .anyMatch(other -> other != task && other.piece.equals(piece) && !other.isEnded())) {
      end(task, "in_use");
      return;
    }
    double usedCpus =
        tasks.values().stream()
            .filter(other -> !other.isEnded())
            .mapToDouble(other -> other.job.cpus)
            .sum();
    if (usedCpus > 8 + 1e-9) {
      end(task, "full");
      return;
    }
    simulation.after(200, () -> run(task, key));
  }

  private boolean stillHas(WorkerTask task, String key) {
    return !terminated && tasks.get(key) == task;
  }

  private void run(WorkerTask task, String key) {
    if (!stillHas(task, key) || !task.status.equals("pulling")) {
      return;
    }
    if (hanging) {
      deferredActions.add(() -> run(task, key));
      return;
    }
    if (tasksFail || task.job.tasksFail) {
      end(task, "error");
      return;
    }
    scenario.rules.checkStart(this, task);
    if (task.job.gang) {
      task.status = "gathering";
      scheduleReport();
      scenario.gangOf(task).join(this, task);
      return;
    }
    task.status = "running";
    scheduleReport();
    if (!task.job.service) {
      simulation.after((long) (task.job.runTimeSOf(task.number) * 1000), () -> finish(task, key));
    }
  }

  private void finish(WorkerTask task, String key) {
    if (stillHas(task, key) && task.status.equals("running")) {
      if (hanging) {
        deferredActions.add(() -> finish(task, key));
      } else {
        task.job.finishedTasks.add(task.piece);
        end(task, "done");
        if (task.job.finishedTasks.size() == task.job.tasks) {
          scenario.onLastTaskDone(task.job);
        }
      }
    }
  }

  private void stop(WorkerTask task, double graceS) {
    if (task.job == null || !task.job.gang || !scenario.gangOf(task).requestStop(task, graceS)) {
      end(task, "stopped");
    }
  }

  private void end(WorkerTask task, String cause) {
    task.status = "ended";
    task.cause = cause;
    scheduleReport();
    if (task.job != null && task.job.gang && !cause.equals("done")) {
      removeFromGang(task);
    }
  }
}

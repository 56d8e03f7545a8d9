import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One worker by its page: reports, tokens, lease, direct commands and tasks. */
final class Worker {
  private static final class Task {
    final String piece;
    final long attempt;
    final JsonNode job;
    String status = "pulling";
    String cause = "";
    boolean saved;

    Task(String piece, long attempt, JsonNode job) {
      this.piece = piece;
      this.attempt = attempt;
      this.job = job;
    }
  }

  private final Rig rig;
  final String name;
  final int port;
  private final String kind;
  private final String site;
  private final boolean spot;
  private final HttpServer server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private long tenure = 1;
  private long serial;
  private long fence;
  private long renewedAt = System.nanoTime();
  private long lastHigherTokenReport;
  private int target;
  private boolean changed;
  private volatile boolean gone;

  /** The controller whose answer last renewed the lease, or "". */
  volatile String answeredBy = "";

  Worker(Rig rig, String name, int port, String kind, String site, boolean spot)
      throws Exception {
    this.rig = rig;
    this.name = name;
    this.port = port;
    this.kind = kind;
    this.site = site;
    this.spot = spot;
    this.target = Math.abs(name.hashCode()) % rig.controllers.size();
    this.server = Net.serve(port, (method, path, query, body) -> handle(path, body));
    rig.record.line("worker: " + name + " is up kind=" + kind + " zone=" + site + " spot=" + spot);
    Rig.thread(this::reportLoop);
    Rig.thread(this::leaseLoop);
  }

  /** The machine and all that is on it is gone. */
  synchronized void destroy() {
    gone = true;
    tasks.clear();
    server.stop(0);
  }

  synchronized boolean holds(String piece) {
    return tasks.values().stream()
        .anyMatch(
            task ->
                task.piece.equals(piece)
                    && (task.status.equals("running") || task.status.equals("saving")));
  }

  private void leaseLoop() {
    while (!gone) {
      checkLease();
      Rig.sleep(50);
    }
  }

  private synchronized void checkLease() {
    if (System.nanoTime() - renewedAt > rig.leaseS * 1e9) {
      if (!tasks.isEmpty()) {
        rig.record.line("worker: " + name + " lease ran out, its tasks are killed");
      }
      tasks.clear();
      tenure++;
      renewedAt = System.nanoTime();
      changed = true;
    }
  }

  private synchronized ObjectNode report() {
    ObjectNode body = Net.object();
    body.put("host", name).put("addr", "127.0.0.1:" + port).put("machine_kind", kind);
    body.put("site", site).put("reclaimable", spot);
    body.put("tenure", tenure).put("serial", ++serial).put("fence", fence);
    body.putNull("warning_s");
    ArrayNode pieces = body.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode piece =
          pieces
              .addObject()
              .put("piece", task.piece)
              .put("try", task.attempt)
              .put("status", task.status);
      if (task.status.equals("ended")) {
        piece.put("exit_cause", task.cause);
        if (task.saved) {
          piece.put("saved", true);
        }
      }
    }
    return body;
  }

  private void reportLoop() {
    long lastSent = 0;
    long nextAt = System.nanoTime();
    while (!gone) {
      boolean due;
      synchronized (this) {
        long now = System.nanoTime();
        due = now >= nextAt || (changed && now - lastSent >= 500_000_000L);
        if (due) {
          changed = false;
        }
      }
      if (!due) {
        Rig.sleep(20);
        continue;
      }
      lastSent = System.nanoTime();
      nextAt = lastSent + (long) (rig.reportS * (0.75 + Math.random() * 0.5) * 1e9);
      long pauseMs = send(lastSent);
      if (pauseMs >= 0) {
        Rig.sleep(pauseMs);
        nextAt = System.nanoTime();
      }
    }
  }

  /** Sends one report; returns the pause before the next node is tried, or -1 to stay. */
  private long send(long sentAt) {
    ObjectNode body;
    long sentTenure;
    synchronized (this) {
      body = report();
      sentTenure = tenure;
    }
    Rig.Controller to = rig.controllers.get(target);
    Net.Answer answer = Net.call(to.port, "POST", "/hello", body, 4_000);
    if (gone) {
      return -1;
    }
    if (answer.status() == 200) {
      synchronized (this) {
        long token = answer.body().path("fence").asLong(-1);
        if (token >= fence && sentTenure == tenure) {
          noteToken(token);
          renewedAt = Math.max(renewedAt, sentAt);
          answeredBy = to.label;
          execute(answer.body().path("orders"), to.label);
        }
      }
      return -1;
    }
    String named = answer.body().path("reports_to").asText("");
    for (int i = 0; i < rig.controllers.size(); i++) {
      if (answer.status() == 421 && rig.controllers.get(i).label.equals(named) && i != target) {
        target = i;
        return 100;
      }
    }
    target = (target + 1) % rig.controllers.size();
    return 1_000;
  }

  private void noteToken(long token) {
    if (token > fence) {
      fence = token;
      long now = System.nanoTime();
      if (now - lastHigherTokenReport > rig.leaseS / 2 * 1e9) {
        lastHigherTokenReport = now;
        changed = true;
      }
    }
  }

  private synchronized Net.Answer handle(String path, JsonNode body) {
    if (gone) {
      return null;
    }
    checkLease();
    if (path.equals("/show")) {
      return Net.answer(200, report());
    }
    if (!body.has("fence") || !body.has("tenure")) {
      return Net.answer(400, Net.object());
    }
    if (body.path("fence").asLong() < fence || body.path("tenure").asLong() != tenure) {
      return Net.answer(409, report());
    }
    noteToken(body.path("fence").asLong());
    execute(body.path("orders"), "direct");
    return Net.answer(200, report());
  }

  private void execute(JsonNode orders, String from) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      String key = piece + "@" + attempt;
      Task known = tasks.get(key);
      switch (order.path("verb").asText()) {
        case "start" -> {
          if (known == null) {
            start(piece, attempt, key);
          }
        }
        case "stop" -> {
          if (known != null && !known.status.equals("ended")) {
            end(known, "stopped");
          }
        }
        case "clear" -> {
          if (known != null && known.status.equals("ended")) {
            tasks.remove(key);
            changed = true;
          }
        }
        default -> rig.record.line("worker: " + name + " unknown order " + order);
      }
    }
  }

  private void start(String piece, long attempt, String key) {
    JsonNode job = rig.submitted.get(piece.substring(0, piece.indexOf('/')));
    Task task = new Task(piece, attempt, job);
    boolean inUse =
        tasks.values().stream()
            .anyMatch(other -> other.piece.equals(piece) && !other.status.equals("ended"));
    tasks.put(key, task);
    changed = true;
    rig.record.line("worker: " + name + " start " + piece + " try " + attempt);
    if (job == null) {
      end(task, "unknown");
    } else if (inUse) {
      end(task, "in_use");
    } else if (used("vcpus") > rig.cloud.kind(kind).path("vcpus").asDouble() + 1e-9
        || used("ram_gb") > rig.cloud.kind(kind).path("ram_gb").asDouble() + 1e-9) {
      end(task, "full");
    } else {
      Rig.after((long) (job.path("image_gb").asDouble() * 1000), () -> run(task, key));
    }
  }

  synchronized double used(String field) {
    return tasks.values().stream()
        .filter(task -> !task.status.equals("ended") && task.job != null)
        .mapToDouble(task -> task.job.path(field).asDouble())
        .sum();
  }

  synchronized double usedBy(String team) {
    return tasks.values().stream()
        .filter(task -> !task.status.equals("ended") && task.job != null)
        .filter(task -> task.job.path("owner").asText().equals(team))
        .mapToDouble(task -> task.job.path("vcpus").asDouble())
        .sum();
  }

  private void run(Task task, String key) {
    synchronized (this) {
      if (gone || tasks.get(key) != task || !task.status.equals("pulling")) {
        return;
      }
      task.status = "running";
      changed = true;
    }
    // Looks at other workers, so it must not hold the lock of this one.
    rig.started(this, task.piece);
    if (task.job.path("shape").asText().equals("array")) {
      Rig.after(
          (long) (task.job.path("expected_s").asDouble() * 1000),
          () -> {
            synchronized (this) {
              if (!gone && tasks.get(key) == task && task.status.equals("running")) {
                end(task, "done");
              }
            }
          });
    }
  }

  private void end(Task task, String cause) {
    task.status = "ended";
    task.cause = cause;
    changed = true;
    rig.record.line("worker: " + name + " ended " + task.piece + " " + cause);
  }

  synchronized List<String> running() {
    List<String> pieces = new ArrayList<>();
    tasks.values().stream()
        .filter(task -> task.status.equals("running"))
        .forEach(task -> pieces.add(task.piece));
    return pieces;
  }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment: three controllers as the deploy file starts them, restarted 5 s after an end,
 * with stand-ins for state service, cloud, workers, load balancer and users.
 */
final class Rig {
  private static final ScheduledExecutorService TIMERS =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  final Record record;
  final Store store;
  final Cloud cloud;
  final boolean trouble;
  final Site site;
  final double reportS;
  final double leaseS;
  final List<Controller> controllers = new ArrayList<>();
  final Map<String, JsonNode> submitted = new ConcurrentHashMap<>();
  final Map<String, Integer> starts = new ConcurrentHashMap<>();
  private final Path root;
  private final Path temp;
  private final List<String> runLine;
  private volatile boolean ending;
  private volatile int turn;

  Rig(String[] args, Site site) throws Exception {
    this.site = site;
    this.reportS = site.reportS();
    this.leaseS = site.leaseS();
    this.root = Path.of(args[0]);
    this.temp = Path.of(args[2]);
    this.record = new Record(Path.of(args[1], "record.txt"));
    this.trouble = !"0".equals(System.getenv("TROUBLE"));
    this.store = new Store(record, (int) (site.valueKb() * 1024), site.txnOps());
    this.cloud = new Cloud(this, site.listLagS());
    this.runLine = runLine();
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    record.line("site: " + site.name() + ", trouble: " + trouble);
  }

  private List<String> runLine() throws Exception {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(command.split(" +"));
      }
    }
    throw new IllegalStateException("deploy/service.toml has no run line");
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  static void after(long millis, Runnable task) {
    TIMERS.schedule(() -> thread(task), millis, TimeUnit.MILLISECONDS);
  }

  /** One controller process under the platform's care. */
  final class Controller {
    final String label;
    final String zone;
    final int port;
    final int peerPort;
    private final int statePort;
    private final int cloudPort;
    private Process process;
    volatile boolean healthy;
    private int good;
    private int bad;
    private int ends;

    Controller(String label, String zone) throws Exception {
      this.label = label;
      this.zone = zone;
      this.port = Net.freePort();
      this.peerPort = Net.freePort();
      this.statePort = store.open(label);
      this.cloudPort = cloud.open(label);
    }

    synchronized void start() {
      if (ending) {
        return;
      }
      try {
        List<String> command = new ArrayList<>(runLine);
        command.add(temp.resolve(label + ".toml").toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(
            ProcessBuilder.Redirect.appendTo(new File(temp.toFile(), label + ".log")));
        process = builder.start();
        record.line("platform: " + label + " started pid=" + process.pid());
        process.onExit().thenAccept(this::ended);
      } catch (Exception e) {
        record.line("platform: " + label + " cannot start: " + e);
      }
    }

    private void ended(Process which) {
      if (!ending) {
        ends++;
        record.line("platform: " + label + " ended, back in 5 s");
        after(5_000, this::start);
      }
    }

    /** Ends the process without a signal that it could handle. */
    void kill() {
      record.line("trouble: " + label + " is killed");
      process.destroyForcibly();
    }

    void signal(String name) {
      record.line("trouble: " + label + " gets SIG" + name);
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }

    private void probe() {
      while (!ending) {
        boolean up = Net.call(port, "GET", "/up", null, 1_000).status() == 200;
        good = up ? good + 1 : 0;
        bad = up ? 0 : bad + 1;
        if (good >= 2) {
          healthy = true;
        } else if (bad >= 2) {
          healthy = false;
        }
        sleep(1_000);
      }
    }

    private String settings() {
      StringBuilder text = new StringBuilder();
      text.append("label = \"" + label + "\"\nzone = \"" + zone + "\"\n");
      text.append("listen = \"127.0.0.1:" + port + "\"\n");
      text.append("peer_listen = \"127.0.0.1:" + peerPort + "\"\n");
      for (Controller other : controllers) {
        if (other != this) {
          text.append("[[others]]\nlabel = \"" + other.label + "\"\nzone = \"" + other.zone);
          text.append("\"\naddress = \"127.0.0.1:" + other.peerPort + "\"\n");
        }
      }
      text.append("[services]\ncloud = \"127.0.0.1:" + cloudPort + "\"\n");
      text.append("state = \"127.0.0.1:" + statePort + "\"\n");
      text.append("[facts]\ncount = 3\nzones = [\"");
      text.append(String.join("\", \"", new TreeSet<>(site.zones())));
      text.append("\"]\nclock_error_ms = 1000.0\n");
      for (String team : site.teams()) {
        text.append("[[facts.teams]]\nname = \"" + team + "\"\ncpus = " + site.cpus());
        text.append("\ncpus_max = " + site.cpusMax() + "\ngpus = 0.0\ngpus_max = 0.0\n");
      }
      text.append("[facts.workers]\nreport_s = " + site.reportS() + "\nlease_s = ");
      text.append(site.leaseS() + "\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = ");
      text.append(site.cancelS() + "\n[facts.state]\nrps = " + site.stateRps());
      text.append("\nwrite_rps = " + site.stateWriteRps() + "\nvalue_kb = " + site.valueKb());
      text.append("\ntxn_ops = " + site.txnOps() + "\n[facts.cloud]\nrps = " + site.cloudRps());
      text.append("\nlist_lag_s = " + site.listLagS() + "\n[facts.machine_limits]\ncpu_share = ");
      text.append("0.34\nmem_mb = " + site.memMb() + "\nsockets = " + site.sockets() + "\n");
      return text.toString();
    }
  }

  /** Creates the controllers; {@link Controller#start} starts each. */
  void createControllers() throws Exception {
    for (int i = 0; i < 3; i++) {
      controllers.add(new Controller("worker-" + i, site.zones().get(i % site.zones().size())));
    }
    for (Controller controller : controllers) {
      Files.writeString(temp.resolve(controller.label + ".toml"), controller.settings());
      thread(controller::probe);
    }
  }

  Controller controller(String label) {
    return controllers.stream().filter(c -> c.label.equals(label)).findFirst().orElseThrow();
  }

  boolean awaitHealthy(int count, double seconds) {
    double until = record.seconds() + seconds;
    while (record.seconds() < until) {
      if (controllers.stream().filter(c -> c.healthy).count() >= count) {
        return true;
      }
      sleep(100);
    }
    return false;
  }

  /** Label of the controller that the key of the leader names, or "". */
  String leader() {
    JsonNode value = store.value("c/leader");
    return value == null ? "" : labelIn(value);
  }

  /** Returns the label in a text like worker-1#3 that the value contains. */
  private String labelIn(JsonNode value) {
    String text = value.toString();
    for (Controller controller : controllers) {
      if (text.contains(controller.label + "#")) {
        return controller.label;
      }
    }
    return "";
  }

  void started(Worker worker, String piece) {
    record.line("worker: " + worker.name + " runs " + piece);
    starts.merge(piece, 1, Integer::sum);
    for (Cloud.Host host : List.copyOf(cloud.hosts.values())) {
      if (host.worker != null && host.worker != worker && host.worker.holds(piece)) {
        record.line("RULE ran_twice: " + piece + " is also on " + host.name);
      }
    }
  }

  long tasksStarted(String job) {
    return starts.keySet().stream().filter(piece -> piece.startsWith(job + "/")).count();
  }

  /** A healthy controller, in turn: the load balancer. */
  private Controller pick() {
    for (int i = 0; i < controllers.size(); i++) {
      Controller controller = controllers.get(Math.floorMod(turn++, controllers.size()));
      if (controller.healthy) {
        return controller;
      }
    }
    return controllers.get(Math.floorMod(turn++, controllers.size()));
  }

  static ObjectNode job(
      String id, String team, String shape, String rank, int pieces, double vcpus, double ramGb) {
    ObjectNode job = Net.object().put("name_id", id).put("job_class", "rotor-sweep");
    job.put("owner", team).put("shape", shape).put("rank", rank).put("pieces", pieces);
    job.put("vcpus", vcpus).put("accelerators", 0.0).put("ram_gb", ramGb).put("build", "img-1");
    job.put("image_gb", 0.5).putNull("machine_kinds").putNull("site").put("together", false);
    job.put("scatter", false).put("reclaimable", false).put("expected_s", 5.0);
    job.put("save_every_s", 0.0).put("save_cost_s", 0.0).putNull("due_s");
    return job;
  }

  static void kinds(ObjectNode job, String... kinds) {
    ArrayNode list = job.putArray("machine_kinds");
    for (String kind : kinds) {
      list.add(kind);
    }
  }

  /** Submits as a user does: retried after 1 s or Retry-After, for 60 s. Returns the last status. */
  int submit(ObjectNode job) {
    submitted.put(job.path("name_id").asText(), job);
    return repeat("POST", "/work", job, 60, 5_000).status();
  }

  /** Sends a request until it gets an answer other than one that is retried. */
  Net.Answer repeat(String method, String path, JsonNode body, double seconds, int timeoutMs) {
    double until = record.seconds() + seconds;
    while (true) {
      Controller controller = pick();
      Net.Answer answer = Net.call(controller.port, method, path, body, timeoutMs);
      String what = body == null ? "" : " " + body.path("name_id").asText();
      record.line(
          "user: " + controller.label + " " + method + " " + path + what + " -> "
              + answer.status() + " " + answer.body());
      int status = answer.status();
      boolean settled =
          status == 200 || status == 201 || status == 400 || status == 404 || status == 422;
      if (settled || record.seconds() > until) {
        return answer;
      }
      sleep(status == -1 ? 300 : 1000L * Math.max(1, Math.min(30, answer.retryAfterS())));
    }
  }

  /** One poll, without a retry. */
  Net.Answer poll(String id) {
    Controller controller = pick();
    Net.Answer answer = Net.call(controller.port, "GET", "/work/" + id, null, 2_000);
    record.line(
        "user: " + controller.label + " GET /work/" + id + " -> " + answer.status() + " "
            + answer.body());
    return answer;
  }

  /** How a job was seen while its user polled. */
  record Seen(String status, boolean alwaysRoom) {}

  /**
   * Polls every 5 s until the job is done or cancelled, or until that time; also notes at each poll
   * whether a machine that is up had room for a task of the job.
   */
  Seen awaitEnd(JsonNode job, double until) {
    String last = "";
    boolean alwaysRoom = true;
    while (record.seconds() < until) {
      last = poll(job.path("name_id").asText()).body().path("status").asText(last);
      if (last.equals("done") || last.equals("aborted")) {
        break;
      }
      Cloud.Host host =
          cloud.withRoom(job.path("vcpus").asDouble(), job.path("ram_gb").asDouble());
      record.line("cloud: with room for a task: " + (host == null ? "none" : host.name));
      alwaysRoom &= host != null;
      double left = until - record.seconds();
      sleep((long) (Math.min(5, left) * 1000));
    }
    return new Seen(last, alwaysRoom);
  }

  private void end() {
    ending = true;
    for (Controller controller : controllers) {
      // A start that is under way finishes first; none begins afterwards.
      synchronized (controller) {
        if (controller.process != null) {
          controller.process.destroyForcibly();
        }
      }
    }
    for (Controller controller : controllers) {
      if (controller.process != null) {
        try {
          controller.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          return;
        }
      }
    }
  }

  /** Ends all processes and exits: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  void finish(int status, String verdict) {
    record.line("RESULT " + status + ": " + verdict);
    System.out.println("exit " + status + ": " + verdict);
    System.exit(status);
  }
}

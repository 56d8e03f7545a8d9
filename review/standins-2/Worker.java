package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** One machine with its worker, as PROTOCOL describes it, with images and gangs. */
final class Worker {
  private static final class Piece {
    Job job;
    String jobId;
    int task;
    long attempt;
    String status = "pulling";
    String cause;
    long endsAt;
    boolean onMachine;

    String name() {
      return jobId + "/" + task;
    }
  }

  private final Rig rig;
  final String name;
  final String zone;
  final boolean spot;
  private final Web.Server server;
  private final Map<String, Piece> pieces = new LinkedHashMap<>();
  private final Map<String, Double> fetching = new LinkedHashMap<>();
  private final Set<String> cached = new HashSet<>();
  private final Random random = new Random();
  private long tenure = 1;
  private long serial;
  private long fence;
  private long leaseSince = Recorder.now();
  private boolean changed = true;
  private volatile boolean gone;

  /** While set, the machine neither runs its tasks nor answers or sends anything. */
  volatile boolean hung;

  /** While set, its reports reach no controller; direct commands still reach it. */
  volatile boolean mute;

  volatile boolean failsTasks;

  /** Seconds until the cloud takes the machine back, as its reports tell; null for none. */
  volatile Double warningS;

  /** While set, direct commands get no answer and are carried out once, 2 to 16 s late. */
  volatile boolean lateCommands;

  /** While set, a copy of each report arrives again later, at any controller. */
  volatile boolean lateReports;
  private int target;
  private Web.Client client;
  private int clientTarget = -1;

  Worker(Rig rig, String name, String zone, boolean spot) throws IOException {
    this.rig = rig;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.target = random.nextInt(rig.nodes.size());
    this.server = new Web.Server(this::serve, 64 * 1024);
    Web.daemon(this::reportLoop);
    Web.daemon(this::tickLoop);
  }

  String address() {
    return server.address();
  }

  /** The machine and all that was on it are gone. */
  synchronized void remove(String why) {
    gone = true;
    pieces.values().forEach(piece -> off(piece, why));
    pieces.clear();
    server.close();
  }

  private void off(Piece piece, String why) {
    if (piece.onMachine) {
      piece.onMachine = false;
      rig.rules.offMachine(piece.job, piece.task, piece.attempt, name, why);
    }
    if (piece.job != null && piece.job.isGang()) {
      rig.gangs.left(piece.job, piece.attempt, piece.task, why);
    }
  }

  private void end(Piece piece, String cause) {
    if (!piece.status.equals("ended")) {
      piece.status = "ended";
      piece.cause = cause;
      changed = true;
      off(piece, cause);
    }
  }

  private void tickLoop() {
    long last = Recorder.now();
    while (!gone) {
      Web.sleep(25);
      long now = Recorder.now();
      if (!hung) {
        tick(now - last);
      }
      last = now;
    }
  }

  private synchronized void tick(long elapsedMs) {
    if (gone) {
      return;
    }
    long now = Recorder.now();
    if (now - leaseSince > rig.leaseS * 1000) {
      rig.record.write("lease ended on " + name + " tenure " + tenure);
      pieces.values().forEach(piece -> off(piece, "lease"));
      pieces.clear();
      fetching.clear();
      tenure++;
      leaseSince = now;
      changed = true;
    }
    fetch(elapsedMs / 1000.0);
    for (Piece piece : new ArrayList<>(pieces.values())) {
      if (piece.status.equals("pulling") && cached.contains(piece.job.build)) {
        hasImage(piece, now);
      } else if (piece.status.equals("gathering")) {
        gather(piece, now);
      } else if (piece.status.equals("running")) {
        run(piece, now);
      }
    }
  }

  /** Images that no task waits for any more are given up; the others share the rate. */
  private void fetch(double seconds) {
    Set<String> wanted = new HashSet<>();
    for (Piece piece : pieces.values()) {
      if (piece.status.equals("pulling") && !cached.contains(piece.job.build)) {
        wanted.add(piece.job.build);
        fetching.putIfAbsent(piece.job.build, piece.job.imageGb);
      }
    }
    fetching.keySet().retainAll(wanted);
    double share = rig.fetchGbPerS * rig.fetchFactor * seconds / Math.max(1, fetching.size());
    fetching.replaceAll((image, left) -> left - share);
    fetching
        .entrySet()
        .removeIf(
            e -> {
              if (e.getValue() <= 0) {
                rig.record.write("image " + e.getKey() + " is on " + name);
                cached.add(e.getKey());
              }
              return e.getValue() <= 0;
            });
  }

  private void hasImage(Piece piece, long now) {
    if (failsTasks || piece.job.broken) {
      end(piece, "error");
      return;
    }
    if (!piece.job.isService() && piece.job.done.contains(piece.task)) {
      end(piece, "done");
      return;
    }
    piece.onMachine = true;
    rig.rules.onMachine(piece.job, piece.task, piece.attempt, name, zone, spot);
    changed = true;
    if (piece.job.isGang()) {
      piece.status = "gathering";
      piece.endsAt = now + (long) (rig.gangWaitS * 1000);
      rig.gangs.joined(piece.job, piece.attempt, piece.task);
    } else {
      piece.status = "running";
      piece.endsAt = piece.job.isService() ? Long.MAX_VALUE : now + (long) (piece.job.runS * 1000);
    }
  }

  private void gather(Piece piece, long now) {
    if (rig.gangs.isComplete(piece.job, piece.attempt)) {
      piece.status = "running";
      piece.endsAt = now + (long) (piece.job.runS * 1000);
      changed = true;
      rig.record.write("gang task runs " + piece.name() + " " + name);
    } else if (now > piece.endsAt) {
      end(piece, "alone");
    }
  }

  private void run(Piece piece, long now) {
    if (piece.job.isGang() && rig.gangs.lostFor(piece.job, piece.attempt) > rig.gangPeerS * 500) {
      end(piece, "peers");
    } else if (now > piece.endsAt) {
      piece.job.done.add(piece.task);
      end(piece, "done");
    }
  }

  private synchronized String report() {
    ObjectNode body = Store.JSON.createObjectNode();
    body.put("host", name).put("addr", address()).put("machine_kind", rig.kind);
    body.put("site", zone).put("reclaimable", spot).put("tenure", tenure);
    body.put("serial", ++serial).put("fence", fence).put("warning_s", warningS);
    ArrayNode list = body.putArray("pieces");
    for (Piece piece : pieces.values()) {
      ObjectNode node = list.addObject().put("piece", piece.name()).put("try", piece.attempt);
      node.put("status", piece.status);
      if (piece.status.equals("ended")) {
        node.put("exit_cause", piece.cause);
      }
    }
    return body.toString();
  }

  private void reportLoop() {
    long next = Recorder.now();
    long lastSent = 0;
    while (!gone) {
      Web.sleep(20);
      long now = Recorder.now();
      if (hung || (now < next && !(changed && now - lastSent >= 500))) {
        continue;
      }
      changed = false;
      lastSent = now;
      long pause = sendReport();
      next =
          pause >= 0
              ? Recorder.now() + pause
              : lastSent + (long) (rig.reportS * 1000 * (0.75 + random.nextDouble() / 2));
      if (pause >= 0) {
        lastSent = Recorder.now() + pause - 500;
      }
    }
  }

  /** Sends one report; returns the milliseconds until the next one, or -1 for the usual period. */
  private long sendReport() {
    long sentAt = Recorder.now();
    long sentTenure = tenure;
    int node = target;
    Web.Response answer;
    try {
      if (mute || rig.cutFromWorkers(node)) {
        Web.sleep(1000);
        throw new IOException("cut");
      }
      if (client == null || clientTarget != node) {
        if (client != null) {
          client.close();
        }
        client = new Web.Client(rig.nodes.get(node).listen);
        clientTarget = node;
      }
      String body = report();
      if (lateReports) {
        Web.daemon(() -> repeat(body));
      }
      answer = client.send("POST", "/hello", body, 4000);
      while (hung && !gone) {
        Web.sleep(20);
      }
      if (Recorder.now() - sentAt > 4000) {
        throw new IOException("too late");
      }
    } catch (IOException e) {
      target = (node + 1) % rig.nodes.size();
      return 1000;
    }
    try {
      JsonNode body = Store.JSON.readTree(answer.body());
      if (answer.status() == 200) {
        accept(body, sentAt, sentTenure);
        return -1;
      }
      int other = rig.indexOf(body.path("reports_to").asText(""));
      if (answer.status() == 421 && other >= 0 && other != node) {
        target = other;
        return random.nextInt(500);
      }
    } catch (IOException e) {
      rig.record.write("answer to " + name + " is not JSON");
    }
    target = (node + 1) % rig.nodes.size();
    return 1000;
  }

  private void repeat(String body) {
    Web.sleep(2_000 + random.nextInt((int) (rig.leaseS * 2_000)));
    Web.Client late = new Web.Client(rig.nodes.get(random.nextInt(rig.nodes.size())).listen);
    try {
      late.send("POST", "/hello", body, 4000);
    } catch (IOException nobodyWaits) {
      // The copy's answer is of no interest.
    } finally {
      late.close();
    }
  }

  private synchronized void accept(JsonNode body, long sentAt, long sentTenure) {
    long token = body.path("fence").asLong(-1);
    if (gone || token < fence || sentTenure != tenure) {
      return;
    }
    if (token > fence) {
      fence = token;
      changed = true;
    }
    leaseSince = Math.max(leaseSince, sentAt);
    execute(body.path("orders"));
  }

  private Web.Response serve(String method, String path, byte[] bytes) throws IOException {
    while (hung && !gone) {
      Web.sleep(20);
    }
    if (gone) {
      return null;
    }
    if (path.startsWith("/show")) {
      return new Web.Response(200, report());
    }
    JsonNode body = Store.JSON.readTree(bytes);
    if (lateCommands) {
      Web.sleep(2_000 + random.nextInt(14_000));
      while (hung && !gone) {
        Web.sleep(20);
      }
    }
    synchronized (this) {
      if (gone) {
        return null;
      }
      if (!body.has("fence") || !body.has("tenure")) {
        return new Web.Response(400, "{}");
      }
      if (body.path("fence").asLong() < fence || body.path("tenure").asLong() != tenure) {
        return new Web.Response(409, report());
      }
      if (body.path("fence").asLong() > fence) {
        fence = body.path("fence").asLong();
        changed = true;
      }
      execute(body.path("orders"));
      return new Web.Response(200, report());
    }
  }

  private void execute(JsonNode orders) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      String key = piece + "@" + attempt;
      Piece known = pieces.get(key);
      switch (order.path("verb").asText()) {
        case "start" -> {
          if (known == null) {
            start(piece, attempt, key);
          }
        }
        case "stop" -> {
          if (known != null) {
            end(known, "stopped");
          }
        }
        case "clear" -> {
          if (known != null && known.status.equals("ended")) {
            pieces.remove(key);
            changed = true;
          }
        }
        default -> rig.record.write("unknown order " + order);
      }
    }
  }

  private void start(String name, long attempt, String key) {
    Piece piece = new Piece();
    piece.jobId = name.substring(0, name.indexOf('/'));
    piece.job = rig.jobs.get(piece.jobId);
    piece.task = Integer.parseInt(name.substring(name.indexOf('/') + 1));
    piece.attempt = attempt;
    rig.record.write("start order " + name + " try " + attempt + " on " + this.name);
    double cpus = 0;
    double ram = 0;
    boolean inUse = false;
    for (Piece other : pieces.values()) {
      if (!other.status.equals("ended")) {
        cpus += other.job.vcpus;
        ram += other.job.ramGb;
        inUse |= other.name().equals(name);
      }
    }
    pieces.put(key, piece);
    changed = true;
    if (piece.job == null) {
      end(piece, "unknown");
    } else if (inUse) {
      end(piece, "in_use");
    } else if (cpus + piece.job.vcpus > rig.machineCpus + 1e-6
        || ram + piece.job.ramGb > rig.machineRamGb + 1e-6) {
      end(piece, "full");
    }
  }

  /** Returns the free CPUs, as the worker itself counts them. */
  synchronized double freeCpus() {
    double free = rig.machineCpus;
    for (Piece piece : pieces.values()) {
      if (!piece.status.equals("ended") && piece.job != null) {
        free -= piece.job.vcpus;
      }
    }
    return free;
  }
}

package review2;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: controllers as processes of the deploy file, and
 * stand-ins for all else. The fields may be changed before {@link #start}.
 */
final class Rig {
  /** One controller. */
  static final class Node {
    String label;
    String zone;
    String listen;
    int peerPort;
    String storeAddress;
    Process process;
    int starts;
  }

  final Recorder record;
  final Map<String, Job> jobs = new ConcurrentHashMap<>();
  final List<Node> nodes = new ArrayList<>();
  final Gangs gangs = new Gangs();
  private final Map<String, PeerProxy> peerProxies = new TreeMap<>();
  private final Set<Integer> cutFromWorkers = ConcurrentHashMap.newKeySet();
  private final Path root;
  private Path folder;
  Rules rules;
  Store store;
  Cloud cloud;

  // The settings of kit/sites/jaguaribe-fabrica.toml, as DEPLOY shows them.
  List<String> zones = List.of("litoral", "serra");
  int nodeCount = 3;
  String kind = "xenon-desk";
  double machineCpus = 16;
  double machineRamGb = 128;
  double fetchGbPerS = 0.4;
  volatile double fetchFactor = 1;
  double reportS = 2;
  double leaseS = 16;
  double cancelS = 46;
  double gangWaitS = 30;
  double gangPeerS = 8;
  double storeRps = 250;
  double storeWriteRps = 50;
  double valueKb = 16;
  int txnOps = 24;
  int teamCount = 8;
  double guarantee = 40;
  double limit = 112;
  double cloudRps = 2;
  double listLagS = 5;

  Rig(Path recordFile) throws IOException {
    root = Path.of("").toAbsolutePath();
    record = new Recorder(recordFile);
  }

  static String team(int number) {
    return String.format("projeto-rotor-%02d", number);
  }

  /** Starts the stand-ins and {@code machines} machines, the controllers, and waits for them. */
  void start(int machines) throws Exception {
    folder = Files.createTempDirectory("sandford-review-2-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    Map<String, Double> limits = new TreeMap<>();
    for (int i = 0; i < teamCount; i++) {
      limits.put(team(i), limit);
    }
    rules = new Rules(record, limits, cancelS);
    store = new Store(storeRps, storeWriteRps, valueKb, txnOps);
    cloud = new Cloud(this);
    for (int i = 0; i < nodeCount; i++) {
      Node node = new Node();
      node.label = "worker-" + i;
      node.zone = zones.get(i % zones.size());
      node.listen = Web.HOST + ":" + Web.freePort();
      node.peerPort = Web.freePort();
      node.storeAddress = store.addressFor(i);
      nodes.add(node);
    }
    for (int i = 0; i < nodeCount; i++) {
      for (int j = 0; j < nodeCount; j++) {
        if (i != j) {
          peerProxies.put(i + ">" + j, new PeerProxy(nodes.get(j).peerPort));
        }
      }
    }
    for (int i = 0; i < machines; i++) {
      cloud.rentUp(zones.get(i % zones.size()), false);
    }
    for (int i = 0; i < nodeCount; i++) {
      startNode(i);
    }
    Web.daemon(
        () -> {
          while (true) {
            Web.sleep(200);
            rules.checkCancelled();
          }
        });
    long until = Recorder.now() + 25_000;
    while (Recorder.now() < until) {
      Web.sleep(200);
      int up = 0;
      for (int i = 0; i < nodeCount; i++) {
        up += isUp(i) ? 1 : 0;
      }
      if (up == nodeCount) {
        record.write("all controllers are up");
        Web.sleep(4_000);
        return;
      }
    }
    throw new IOException("the controllers did not come up");
  }

  boolean isUp(int node) {
    Web.Client client = new Web.Client(nodes.get(node).listen);
    try {
      return client.send("GET", "/up", null, 1000).status() == 200;
    } catch (IOException e) {
      return false;
    } finally {
      client.close();
    }
  }

  int indexOf(String label) {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).label.equals(label)) {
        return i;
      }
    }
    return -1;
  }

  boolean cutFromWorkers(int node) {
    return cutFromWorkers.contains(node);
  }

  void cutFromWorkers(int node, boolean cut) {
    record.write("trouble: workers reach " + nodes.get(node).label + ": " + !cut);
    if (cut) {
      cutFromWorkers.add(node);
    } else {
      cutFromWorkers.remove(node);
    }
  }

  PeerProxy peer(int from, int to) {
    return peerProxies.get(from + ">" + to);
  }

  void startNode(int index) throws IOException {
    Node node = nodes.get(index);
    node.starts++;
    Path settings = folder.resolve(node.label + ".toml");
    Files.writeString(settings, settingsOf(index));
    List<String> command = new ArrayList<>(Arrays.asList(runLine().split(" +")));
    command.add(settings.toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    File log = folder.resolve(node.label + ".log").toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
    node.process = builder.start();
    record.write("started " + node.label + " pid " + node.process.pid());
    Process started = node.process;
    started
        .onExit()
        .thenAccept(
            p -> record.write("process of " + node.label + " ended with status " + p.exitValue()));
  }

  private String runLine() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("deploy/service.toml has no run line");
  }

  void kill(int index) throws InterruptedException {
    record.write("trouble: kill " + nodes.get(index).label);
    nodes.get(index).process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
  }

  /** Sends a signal such as STOP or CONT to a controller. */
  void signal(int index, String signal) throws Exception {
    record.write("trouble: " + signal + " " + nodes.get(index).label);
    new ProcessBuilder("kill", "-" + signal, String.valueOf(nodes.get(index).process.pid()))
        .start()
        .waitFor();
  }

  private String settingsOf(int index) {
    Node node = nodes.get(index);
    StringBuilder toml = new StringBuilder();
    toml.append("label = \"" + node.label + "\"\nzone = \"" + node.zone + "\"\n");
    toml.append("listen = \"" + node.listen + "\"\n");
    toml.append("peer_listen = \"" + Web.HOST + ":" + node.peerPort + "\"\n");
    for (int j = 0; j < nodeCount; j++) {
      if (j != index) {
        Node other = nodes.get(j);
        toml.append("[[others]]\nlabel = \"" + other.label + "\"\nzone = \"" + other.zone + "\"\n");
        toml.append("address = \"" + peer(index, j).address() + "\"\n");
      }
    }
    toml.append("[services]\ncloud = \"" + cloud.address() + "\"\n");
    toml.append("state = \"" + node.storeAddress + "\"\n");
    toml.append("[facts]\ncount = " + nodeCount + "\nzones = [");
    zones.forEach(zone -> toml.append("\"" + zone + "\","));
    toml.append("]\nclock_error_ms = 1000.0\n");
    for (int i = 0; i < teamCount; i++) {
      toml.append("[[facts.teams]]\nname = \"" + team(i) + "\"\n");
      toml.append("cpus = " + guarantee + "\ncpus_max = " + limit + "\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    toml.append("[facts.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS);
    toml.append("\ngang_wait_s = " + gangWaitS + "\ngang_peer_s = " + gangPeerS);
    toml.append("\ncancel_s = " + cancelS + "\n");
    toml.append("[facts.state]\nrps = " + storeRps + "\nwrite_rps = " + storeWriteRps);
    toml.append("\nvalue_kb = " + valueKb + "\ntxn_ops = " + txnOps + "\n");
    toml.append("[facts.cloud]\nrps = " + cloudRps + "\nlist_lag_s = " + listLagS + "\n");
    toml.append("[facts.machine_limits]\ncpu_share = 0.34\nmem_mb = 205.0\nsockets = 900\n");
    return toml.toString();
  }

  private boolean stopped;

  /** Ends all processes that were started, and removes the temporary folder. */
  synchronized void stop() {
    if (stopped) {
      return;
    }
    stopped = true;
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
        try {
          node.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs are in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.err.println("temporary folder not removed: " + e);
    }
  }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** The cloud by its page; its machine list lags by a fixed time. */
final class Cloud {
  /** One machine; its times are nanoseconds, 0 for never. */
  static final class Host {
    String name;
    String kind;
    String site;
    boolean spot;
    int port;
    long rentedAt;
    long upAt;
    long goneAt;
    long diedAt;
    Worker worker;
  }

  /** Called for each machine that was rented by a request. */
  interface RentListener {
    void rented(Host host);
  }

  private final Rig rig;
  private final long listLagNanos;
  private final Map<String, JsonNode> kinds = new LinkedHashMap<>();
  final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Map<String, ArrayNode> byHire = new LinkedHashMap<>();
  private int count;
  volatile double bootS = 12;
  volatile RentListener listener = host -> {};

  /** Answers to requests that are delayed or lost; null means the usual answer. */
  interface Filter {
    boolean answer(String sender, String path, JsonNode body);
  }

  volatile Filter filter = (sender, path, body) -> true;

  Cloud(Rig rig, double listLagS) {
    this.rig = rig;
    this.listLagNanos = (long) (listLagS * 1e9);
  }

  void addKind(
      String sku, int vcpus, int ramGb, double hourly, double market, int readyS, String... sites) {
    ObjectNode kind = Net.object().put("sku", sku).put("vcpus", vcpus).put("accelerators", 0);
    kind.put("ram_gb", ramGb).put("cache_gb", 100).put("fetch_gb_per_s", 1.0);
    kind.put("hourly", hourly).put("market_price", market).put("ready_s", readyS);
    ArrayNode list = kind.putArray("sites");
    for (String site : sites) {
      list.add(site);
    }
    kinds.put(sku, kind);
  }

  JsonNode kind(String sku) {
    return kinds.get(sku);
  }

  int open(String sender) throws Exception {
    int port = Net.freePort();
    Net.serve(port, (method, path, query, body) -> handle(sender, path, query, body));
    return port;
  }

  /** Rents a machine that comes up after {@code bootS}. */
  synchronized Host rent(String kind, String site, boolean spot, double boot) throws Exception {
    Host host = new Host();
    host.name = String.format("n-%06d", ++count);
    host.kind = kind;
    host.site = site;
    host.spot = spot;
    host.port = Net.freePort();
    host.rentedAt = System.nanoTime();
    hosts.put(host.name, host);
    Rig.after((long) (boot * 1000), () -> up(host));
    return host;
  }

  private synchronized void up(Host host) {
    if (host.goneAt == 0) {
      try {
        host.worker = new Worker(rig, host.name, host.port, host.kind, host.site, host.spot);
        host.upAt = System.nanoTime();
      } catch (Exception e) {
        rig.record.line("cloud: " + host.name + " cannot come up: " + e);
      }
    }
  }

  /** The machine stops with all that is on it; it is listed as running for 30 s, then as failed. */
  synchronized void die(String name) {
    Host host = hosts.get(name);
    host.diedAt = System.nanoTime();
    host.worker.destroy();
    rig.record.line("cloud: " + name + " stops with all that is on it");
  }

  /** A machine that is up and has this room, or null. */
  synchronized Host withRoom(double vcpus, double ramGb) {
    for (Host host : hosts.values()) {
      if (host.upAt != 0
          && host.goneAt == 0
          && host.diedAt == 0
          && kind(host.kind).path("vcpus").asDouble() - host.worker.used("vcpus") >= vcpus
          && kind(host.kind).path("ram_gb").asDouble() - host.worker.used("ram_gb") >= ramGb) {
        return host;
      }
    }
    return null;
  }

  /** The CPUs that the team's tasks use on all machines. */
  synchronized double usedBy(String team) {
    double used = 0;
    for (Host host : hosts.values()) {
      used += host.worker == null ? 0 : host.worker.usedBy(team);
    }
    return used;
  }

  synchronized boolean isGone(String name) {
    return hosts.get(name).goneAt != 0;
  }

  /** Takes a machine back, or deletes it: it is gone at once. */
  synchronized void remove(String name, String why) {
    Host host = hosts.get(name);
    if (host != null && host.goneAt == 0) {
      host.goneAt = System.nanoTime();
      if (host.worker != null) {
        host.worker.destroy();
      }
      rig.record.line("cloud: " + name + " " + why);
    }
  }

  private Net.Answer handle(
      String sender, String path, Map<String, String> query, JsonNode body) throws Exception {
    if (!filter.answer(sender, path, body)) {
      return null;
    }
    switch (path) {
      case "/flavors" -> {
        ObjectNode answer = Net.object();
        kinds.values().forEach(answer.putArray("machine_kinds")::add);
        return Net.answer(200, answer);
      }
      case "/machines/return" -> {
        rig.record.line("cloud: " + sender + " POST /machines/return " + body.path("hosts"));
        body.path("hosts").forEach(host -> remove(host.asText(), "deleted at request"));
        return Net.answer(200, Net.object());
      }
      case "/machines" -> {
        return body.has("hire") ? hire(sender, body) : list(query);
      }
      default -> {
        return Net.answer(400, Net.object());
      }
    }
  }

  private Net.Answer hire(String sender, JsonNode body) throws Exception {
    java.util.List<Host> rented = new java.util.ArrayList<>();
    ArrayNode names;
    synchronized (this) {
      String id = body.path("hire").asText();
      names = byHire.get(id);
      if (names == null) {
        names = Net.JSON.createArrayNode();
        for (int i = 0; i < body.path("number").asInt(); i++) {
          Host host =
              rent(
                  body.path("machine_kind").asText(),
                  body.path("site").asText(),
                  body.path("reclaimable").asBoolean(),
                  bootS);
          names.add(host.name);
          rented.add(host);
        }
        byHire.put(id, names);
      }
    }
    rig.record.line("cloud: " + sender + " POST /machines " + body + " -> 200 " + names);
    rented.forEach(listener::rented);
    ObjectNode answer = Net.object();
    answer.set("hosts", names);
    return Net.answer(200, answer);
  }

  private synchronized Net.Answer list(Map<String, String> query) {
    long at = System.nanoTime() - listLagNanos;
    ObjectNode answer = Net.object();
    ArrayNode list = answer.putArray("hosts");
    int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
    boolean more = false;
    for (Host host : hosts.tailMap(query.getOrDefault("since", ""), false).values()) {
      boolean listed = host.rentedAt <= at && (host.goneAt == 0 || host.goneAt > at);
      if (!listed) {
        continue;
      }
      if (list.size() == limit) {
        more = true;
        break;
      }
      ObjectNode entry = list.addObject().put("name_id", host.name);
      entry.put("addr", "127.0.0.1:" + host.port).put("machine_kind", host.kind);
      entry.put("site", host.site).put("reclaimable", host.spot);
      boolean failed = host.diedAt != 0 && host.diedAt + 30_000_000_000L <= at;
      boolean up = host.upAt != 0 && host.upAt <= at;
      entry.put("status", failed ? "failed" : up ? "running" : "booting");
      entry.put("held_s", (at - host.rentedAt) / 1e9);
    }
    return Net.answer(200, answer.put("more", more));
  }
}

package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service as PROTOCOL describes it. Each controller reaches it by a port of its own. */
final class Store {
  static final ObjectMapper JSON = new ObjectMapper();

  /** What one controller meets. */
  enum Mode {
    SERVE,
    /** Every request gets 503; open watches wait. */
    REFUSE,
    /** Requests arrive, nothing is done, no answer. */
    SILENT
  }

  private record Entry(JsonNode value, long stamp, long permit) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private static final class Hold {
    long ttlMs;
    long endsAt;
  }

  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ArrayDeque<Change> log = new ArrayDeque<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private long epoch = 1;
  private long firstLogged = 1;
  private long lastPermit;
  private double requestTokens;
  private double writeTokens;
  private long refilledAt = System.nanoTime();
  private final Map<Integer, Mode> modes = new HashMap<>();
  private final Map<Integer, Web.Server> servers = new HashMap<>();
  volatile long delayMs = 2;

  /** The share of transactions that are carried out at once but get no answer. */
  volatile double lostAnswers;

  /** The share of transactions that get no answer and are carried out 2 to 12 s later. */
  volatile double lateWrites;

  Store(double rps, double writeRps, double valueKb, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = (int) (valueKb * 1024);
    this.txnOps = txnOps;
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    Web.daemon(this::expire);
  }

  /** Returns the address for one controller. */
  String addressFor(int node) throws IOException {
    modes.put(node, Mode.SERVE);
    Web.Server server =
        new Web.Server((method, path, body) -> serve(node, method, path, body));
    servers.put(node, server);
    return server.address();
  }

  synchronized void setMode(int node, Mode mode) {
    modes.put(node, mode);
    boolean outage = modes.values().stream().allMatch(m -> m == Mode.REFUSE);
    if (outage) {
      outageSince = true;
    } else if (outageSince) {
      outageSince = false;
      holds.values().forEach(hold -> hold.endsAt = System.nanoTime() + hold.ttlMs * 1_000_000);
    }
    notifyAll();
  }

  private boolean outageSince;

  private void expire() {
    while (true) {
      Web.sleep(20);
      synchronized (this) {
        if (outageSince) {
          continue;
        }
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        holds.forEach(
            (id, hold) -> {
              if (now > hold.endsAt) {
                ended.add(id);
              }
            });
        ended.forEach(this::end);
      }
    }
  }

  private void end(long permit) {
    holds.remove(permit);
    List<String> gone = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.permit == permit) {
            gone.add(key);
          }
        });
    if (!gone.isEmpty()) {
      epoch++;
      gone.forEach(key -> remove(key, epoch));
      notifyAll();
    }
  }

  private void remove(String key, long stamp) {
    if (entries.remove(key) != null) {
      append(new Change(key, null, stamp));
    }
  }

  private void append(Change change) {
    log.addLast(change);
    if (log.size() > 10_000) {
      firstLogged = log.removeFirst().stamp + 1;
    }
  }

  private Web.Response serve(int node, String method, String path, byte[] body) throws Exception {
    Web.sleep(delayMs);
    synchronized (this) {
      Mode mode = modes.get(node);
      while (mode == Mode.SILENT) {
        wait(100);
        mode = modes.get(node);
        if (mode != Mode.SILENT) {
          return null;
        }
      }
      if (mode == Mode.REFUSE) {
        return error(503, "outage");
      }
      refill();
      if (requestTokens < 1) {
        return error(429, "too many requests");
      }
      requestTokens--;
      String route = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
      Map<String, String> query = query(path);
      if (route.equals("/txn")) {
        JsonNode txn = JSON.readTree(body);
        double luck = Math.random();
        if (luck < lateWrites) {
          Web.daemon(() -> transactLate(txn));
          wait(5_000);
          return null;
        }
        Web.Response answer = transact(txn);
        if (luck < lateWrites + lostAnswers) {
          wait(5_000);
          return null;
        }
        return answer;
      }
      if (route.equals("/holds")) {
        Hold hold = new Hold();
        hold.ttlMs = JSON.readTree(body).path("ttl_ms").asLong();
        hold.endsAt = System.nanoTime() + hold.ttlMs * 1_000_000;
        holds.put(++lastPermit, hold);
        return new Web.Response(200, "{\"permit\":" + lastPermit + "}");
      }
      if (route.startsWith("/holds/")) {
        long permit = Long.parseLong(route.split("/")[2]);
        Hold hold = holds.get(permit);
        if (hold == null) {
          return error(404, "no such lease");
        }
        if (method.equals("DELETE")) {
          end(permit);
        } else {
          hold.endsAt = System.nanoTime() + hold.ttlMs * 1_000_000;
        }
        return new Web.Response(200, "{\"permit\":" + permit + "}");
      }
      if (route.equals("/follow")) {
        return follow(node, query);
      }
      if (route.equals("/store")) {
        return list(query);
      }
      String key = route.substring("/store/".length());
      Entry entry = entries.get(key);
      if (entry == null) {
        return new Web.Response(404, "{\"epoch\":" + epoch + "}");
      }
      return new Web.Response(200, json(key, entry).toString());
    }
  }

  private void transactLate(JsonNode txn) {
    Web.sleep(2_000 + (long) (Math.random() * 10_000));
    synchronized (this) {
      writeTokens += txn.path("writes").size();
      transact(txn);
    }
  }

  private static ObjectNode json(String key, Entry entry) {
    ObjectNode node = JSON.createObjectNode().put("k", key);
    node.set("v", entry.value);
    node.put("stamp", entry.stamp);
    if (entry.permit != 0) {
      node.put("permit", entry.permit);
    }
    return node;
  }

  private void refill() {
    long now = System.nanoTime();
    double s = (now - refilledAt) / 1e9;
    refilledAt = now;
    requestTokens = Math.min(rps, requestTokens + s * rps);
    writeTokens = Math.min(writeRps, writeTokens + s * writeRps);
  }

  private Web.Response transact(JsonNode txn) {
    JsonNode writes = txn.path("writes");
    int ops = writes.size();
    if (ops > txnOps || txn.path("when").size() > 4 * txnOps) {
      return error(400, "too many operations");
    }
    if (writeTokens < ops) {
      return error(429, "too many changes");
    }
    writeTokens -= ops;
    for (JsonNode write : writes) {
      if (write.path("v").toString().length() > valueBytes) {
        return error(400, "value too large");
      }
      if (write.has("permit") && !holds.containsKey(write.path("permit").asLong())) {
        return error(400, "no such lease");
      }
    }
    ArrayNode failed = JSON.createArrayNode();
    for (JsonNode when : txn.path("when")) {
      Entry entry = entries.get(when.path("k").asText());
      if ((entry == null ? 0 : entry.stamp) != when.path("stamp").asLong()) {
        failed.add(when.path("k").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode answer = JSON.createObjectNode();
      answer.set("failed", failed);
      return new Web.Response(409, answer.put("epoch", epoch).toString());
    }
    if (ops > 0) {
      epoch++;
      for (JsonNode write : writes) {
        if (write.has("put")) {
          String key = write.path("put").asText();
          entries.put(key, new Entry(write.path("v"), epoch, write.path("permit").asLong()));
          append(new Change(key, write.path("v"), epoch));
        } else {
          remove(write.path("remove").asText(), epoch);
        }
      }
      notifyAll();
    }
    return new Web.Response(200, "{\"epoch\":" + epoch + "}");
  }

  private Web.Response list(Map<String, String> query) {
    String under = query.getOrDefault("under", "");
    String since = query.getOrDefault("since", "");
    int limit = Integer.parseInt(query.getOrDefault("limit", "1000"));
    ObjectNode answer = JSON.createObjectNode();
    ArrayNode items = answer.putArray("entries");
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Entry> e : entries.tailMap(under, true).entrySet()) {
      if (!e.getKey().startsWith(under)) {
        break;
      }
      if (!since.isEmpty() && e.getKey().compareTo(since) <= 0) {
        continue;
      }
      ObjectNode item = json(e.getKey(), e.getValue());
      bytes += item.toString().length();
      if (items.size() >= limit || bytes > 512 * 1024) {
        more = true;
        break;
      }
      items.add(item);
    }
    answer.put("more", more).put("epoch", epoch);
    return new Web.Response(200, answer.toString());
  }

  private Web.Response follow(int node, Map<String, String> query) throws InterruptedException {
    String under = query.getOrDefault("under", "");
    long since = Long.parseLong(query.getOrDefault("since", "0"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("block_ms", "0")) * 1_000_000;
    while (true) {
      if (modes.get(node) == Mode.SERVE) {
        if (since + 1 < firstLogged) {
          return error(410, "too old");
        }
        ArrayNode changes = JSON.createArrayNode();
        for (Change change : log) {
          if (change.stamp > since && change.key.startsWith(under)) {
            ObjectNode node1 = changes.addObject();
            if (change.value == null) {
              node1.put("remove", change.key);
            } else {
              node1.put("put", change.key);
              node1.set("v", change.value);
            }
            node1.put("stamp", change.stamp);
          }
        }
        if (!changes.isEmpty() || System.nanoTime() > until) {
          ObjectNode answer = JSON.createObjectNode().put("epoch", epoch);
          answer.set("log", changes);
          return new Web.Response(200, answer.toString());
        }
      }
      wait(Math.max(1, Math.min(200, (until - System.nanoTime()) / 1_000_000 + 1)));
    }
  }

  /** Returns the value of a key, for the record; null if there is none. */
  synchronized JsonNode value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  private static Map<String, String> query(String path) {
    Map<String, String> query = new HashMap<>();
    if (path.contains("?")) {
      for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  static Web.Response error(int status, String text) {
    return new Web.Response(status, "{\"error\":\"" + text + "\"}");
  }
}

package org.sandford.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.sandford.runtime.Json;

/** A state service by its published protocol, with outages and refusals of single hosts. */
final class FakeStore implements FakeServer {
  private record Item(JsonNode value, long stamp, long hold) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private static final class Hold {
    long ttlMs;
    long until;
  }

  @SuppressWarnings("ArrayRecordComponent") // The flag is shared by all who hold the watcher.
  private record Watcher(
      String from, String prefix, long since, Consumer<Response> respond, boolean[] over) {}

  private final Simulation simulation;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<Change> log = new ArrayList<>();
  private final List<Watcher> watchers = new ArrayList<>();
  final Set<String> refused = new HashSet<>();

  /** Hosts whose changes are too many, as far as the store is concerned. */
  final Set<String> busy = new HashSet<>();

  /** Of a hundred transactions so many get no answer and are carried out 2 to 12 s later. */
  int lateWrites;

  /** Of a hundred transactions so many are carried out at once, and their answers are lost. */
  int lostAnswers;

  /**
   * Milliseconds that the answer to a transaction takes at the most; the watches stay quick, so
   * that others learn of a change before the controller that made it.
   */
  int slowCommitMs;

  /** Hosts that hear of changes up to so many milliseconds later than others by their watches. */
  final Map<String, Integer> slowWatches = new HashMap<>();

  /** Milliseconds that each answer takes. */
  int slowMs;

  /** Puts to the assignment map's machines since the start. */
  long mapWrites;

  private boolean outage;
  private long epoch;
  private long lastHold;
  private int valueBytes;
  private int txnOps;
  private final Set<String> announceNoVersion = new HashSet<>();

  FakeStore(Simulation simulation, int valueBytes, int txnOps) {
    this.simulation = simulation;
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
    expire();
  }

  /** From now on these limits hold; what is stored stays readable. */
  void limits(int bytesOfValue, int changesOfTransaction) {
    valueBytes = bytesOfValue;
    txnOps = changesOfTransaction;
  }

  /** Whether the controller's incarnations are stored as the production version writes them. */
  void announcesNoVersion(String label, boolean is) {
    if (is) {
      announceNoVersion.add("inc/" + label);
    } else {
      announceNoVersion.remove("inc/" + label);
    }
  }

  void outage(boolean on) {
    outage = on;
    if (!on) {
      // After an outage every hold has its full time again.
      holds.values().forEach(h -> h.until = simulation.now() + h.ttlMs * Simulation.MS);
      wake();
    }
  }

  boolean inTrouble() {
    return outage
        || !refused.isEmpty()
        || lateWrites > 0
        || lostAnswers > 0
        || slowCommitMs > 0
        || !slowWatches.isEmpty()
        || slowMs > 0;
  }

  boolean has(String key) {
    return items.containsKey(key);
  }

  /** What a key holds, or null. */
  JsonNode value(String key) {
    Item item = items.get(key);
    return item == null ? null : item.value;
  }

  private void expire() {
    if (!outage) {
      for (Map.Entry<Long, Hold> e : new ArrayList<>(holds.entrySet())) {
        if (e.getValue().until < simulation.now()) {
          end(e.getKey());
        }
      }
    }
    simulation.after(20, this::expire);
  }

  private void end(long hold) {
    holds.remove(hold);
    List<String> keys =
        items.entrySet().stream()
            .filter(e -> e.getValue().hold == hold)
            .map(Map.Entry::getKey)
            .toList();
    if (!keys.isEmpty()) {
      epoch++;
      keys.forEach(key -> change(key, null, 0));
      wake();
    }
  }

  private void change(String key, JsonNode value, long hold) {
    if (value == null) {
      items.remove(key);
    } else {
      items.put(key, new Item(value, epoch, hold));
    }
    log.add(new Change(key, value, epoch));
    if (value != null && key.startsWith("c/machines")) {
      mapWrites++;
    }
  }

  @Override
  public void handle(
      String from, String method, String path, byte[] body, Consumer<Response> answered) {
    Consumer<Response> respond =
        slowMs == 0
            ? answered
            : response ->
                simulation.after(
                    simulation.random.nextInt(Math.max(1, slowMs)),
                    () -> answered.accept(response));
    boolean watch = path.startsWith("/follow");
    if ((outage || refused.contains(from)) && !watch) {
      respond.accept(new Response(503, Json.object()));
      return;
    }
    if (watch) {
      follow(from, query(path), respond);
    } else if (path.equals("/txn")) {
      if (busy.contains(from)) {
        respond.accept(new Response(429, Json.object()));
      } else if (lateWrites > 0 && simulation.random.nextInt(100) < lateWrites) {
        simulation.after(
            2_000 + simulation.random.nextInt(10_000),
            () -> {
              if (!outage) {
                transact(Json.read(body));
              }
            });
      } else {
        commit(body, respond);
      }
    } else if (path.equals("/holds")) {
      Hold hold = new Hold();
      hold.ttlMs = Json.read(body).path("ttl_ms").asLong();
      hold.until = simulation.now() + hold.ttlMs * Simulation.MS;
      holds.put(++lastHold, hold);
      respond.accept(new Response(200, Json.object().put("permit", lastHold)));
    } else if (path.startsWith("/holds/")) {
      Hold hold = holds.get(Long.parseLong(path.split("/", -1)[2]));
      if (hold == null) {
        respond.accept(new Response(404, Json.object()));
      } else {
        hold.until = simulation.now() + hold.ttlMs * Simulation.MS;
        respond.accept(new Response(200, Json.object()));
      }
    } else if (path.startsWith("/store?")) {
      respond.accept(list(query(path)));
    } else if (path.startsWith("/store/")) {
      String key = path.substring("/store/".length());
      Item item = items.get(key);
      ObjectNode answer = Json.object();
      if (item == null) {
        respond.accept(new Response(404, answer.put("epoch", epoch)));
      } else {
        answer.put("k", key).put("stamp", item.stamp).set("v", item.value);
        respond.accept(new Response(200, answer));
      }
    } else {
      respond.accept(new Response(400, Json.object()));
    }
  }

  private void commit(byte[] body, Consumer<Response> respond) {
    Response result = transact(Json.read(body));
    if (lostAnswers > 0 && simulation.random.nextInt(100) < lostAnswers) {
      return;
    }
    if (slowCommitMs > 0) {
      simulation.after(simulation.random.nextInt(slowCommitMs), () -> respond.accept(result));
    } else {
      respond.accept(result);
    }
  }

  private static Map<String, String> query(String path) {
    Map<String, String> out = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      String[] kv = part.split("=", 2);
      out.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
    }
    return out;
  }

  private Response list(Map<String, String> q) {
    String under = q.get("under");
    ObjectNode answer = Json.object();
    ArrayNode entries = answer.putArray("entries");
    int limit = Integer.parseInt(q.getOrDefault("limit", "1000"));
    boolean more = false;
    for (Map.Entry<String, Item> e : items.tailMap(q.getOrDefault("since", ""), false).entrySet()) {
      if (!e.getKey().startsWith(under)) {
        continue;
      }
      if (entries.size() == limit) {
        more = true;
        break;
      }
      entries
          .addObject()
          .put("k", e.getKey())
          .put("stamp", e.getValue().stamp)
          .set("v", e.getValue().value);
    }
    return new Response(200, answer.put("more", more).put("epoch", epoch));
  }

  private Response transact(JsonNode body) {
    ArrayNode failed = Json.array();
    for (JsonNode when : body.path("when")) {
      Item item = items.get(when.path("k").asText());
      if ((item == null ? 0 : item.stamp) != when.path("stamp").asLong()) {
        failed.add(when.path("k").asText());
      }
    }
    JsonNode writes = body.path("writes");
    if (writes.size() > txnOps
        || body.path("when").size() > 4 * txnOps
        || Json.bytes(body).length > 64 * 1024) {
      simulation.broke("limits", "a transaction over the store's limits");
      return new Response(400, Json.object());
    }
    for (JsonNode write : writes) {
      if (write.has("put") && Json.bytes(write.path("v")).length > valueBytes) {
        simulation.broke("limits", "a value over the store's limit: " + write.path("put").asText());
        return new Response(400, Json.object());
      }
      if (write.path("permit").asLong() > 0 && !holds.containsKey(write.path("permit").asLong())) {
        return new Response(400, Json.object().put("error", "no such lease"));
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode answer = Json.object().put("epoch", epoch);
      answer.set("failed", failed);
      return new Response(409, answer);
    }
    if (!writes.isEmpty()) {
      epoch++;
      for (JsonNode write : writes) {
        if (write.has("put")) {
          String key = write.path("put").asText();
          if (announceNoVersion.contains(key)) {
            ((ObjectNode) write.path("v")).remove("v");
          }
          change(key, write.path("v"), write.path("permit").asLong());
        } else if (items.containsKey(write.path("remove").asText())) {
          change(write.path("remove").asText(), null, 0);
        }
      }
      wake();
    }
    return new Response(200, Json.object().put("epoch", epoch));
  }

  private void follow(String from, Map<String, String> q, Consumer<Response> respond) {
    Watcher watcher =
        new Watcher(
            from, q.get("under"), Long.parseLong(q.get("since")), respond, new boolean[] {false});
    watchers.add(watcher);
    simulation.after(Long.parseLong(q.getOrDefault("block_ms", "0")), () -> answer(watcher, true));
    answer(watcher, false);
  }

  private void wake() {
    new ArrayList<>(watchers).forEach(w -> answer(w, false));
  }

  private void answer(Watcher w, boolean timeIsUp) {
    if (w.over[0] || outage || refused.contains(w.from)) {
      return;
    }
    ObjectNode answer = Json.object().put("epoch", epoch);
    ArrayNode events = answer.putArray("log");
    for (Change c : log) {
      if (c.stamp > w.since && c.key.startsWith(w.prefix)) {
        ObjectNode event = events.addObject().put("stamp", c.stamp);
        if (c.value == null) {
          event.put("remove", c.key);
        } else {
          event.put("put", c.key).set("v", c.value);
        }
      }
    }
    if (timeIsUp || !events.isEmpty()) {
      w.over[0] = true;
      watchers.remove(w);
      Response told = new Response(200, answer);
      int slow = slowWatches.getOrDefault(w.from, 0);
      if (slow > 0) {
        simulation.after(simulation.random.nextInt(slow), () -> w.respond.accept(told));
      } else {
        w.respond.accept(told);
      }
    }
  }
}

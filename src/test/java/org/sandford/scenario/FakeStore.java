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

/** Simulates the state service by its published protocol, with outages and refused hosts. */
final class FakeStore implements FakeServer {
  private record Item(JsonNode value, long stamp, long holdId) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private static final class Hold {
    long ttlMs;
    long expiresAt;
  }

  @SuppressWarnings("ArrayRecordComponent") // The flag is shared by all users of the watcher.
  private record Watcher(
      String from, String prefix, long since, Consumer<Response> respond, boolean[] answered) {}

  private final Simulation simulation;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<Watcher> watchers = new ArrayList<>();
  final Set<String> refusedHosts = new HashSet<>();

  /** Hosts whose transactions are refused with status 429, as if they sent too many. */
  final Set<String> throttledHosts = new HashSet<>();

  /** The percentage of transactions that get no answer and are carried out 2 to 12 s later. */
  int lateWritePercent;

  /** The percentage of transactions that are carried out at once and whose answers are lost. */
  int lostAnswerPercent;

  /**
   * The maximum delay of an answer to a transaction, in milliseconds. Watches are not delayed, so
   * others learn of a change before the controller that made it.
   */
  int maxCommitDelayMs;

  /** The maximum delay of answers to the watches of each host, in milliseconds. */
  final Map<String, Integer> watchDelayMsByHost = new HashMap<>();

  /** The maximum delay of every answer, in milliseconds. */
  int maxAnswerDelayMs;

  /** Sees each transaction before it is carried out; returns whether it takes it over. */
  interface TransactionInterceptor {
    /**
     * Returns whether the store leaves the transaction, and its answer, to the interceptor.
     *
     * @param execute carries out the transaction without an answer
     */
    boolean intercepts(String from, JsonNode transaction, Runnable execute);
  }

  TransactionInterceptor interceptor = (from, transaction, execute) -> false;

  /** Counts puts to the machines' partitions of the assignment map. */
  long assignmentMapWrites;

  private boolean outage;
  private long epoch;
  private long lastHoldId;
  private int valueBytes;
  private int txnOps;
  private final Set<String> unversionedKeys = new HashSet<>();

  FakeStore(Simulation simulation, int valueBytes, int txnOps) {
    this.simulation = simulation;
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
    expireHolds();
  }

  /** Sets new limits; values already stored stay readable. */
  void setLimits(int newValueBytes, int newTxnOps) {
    valueBytes = newValueBytes;
    txnOps = newTxnOps;
  }

  /**
   * Sets whether the controller's incarnations are stored without a record version, as the
   * production version writes them.
   */
  void setUnversioned(String label, boolean unversioned) {
    if (unversioned) {
      unversionedKeys.add("inc/" + label);
    } else {
      unversionedKeys.remove("inc/" + label);
    }
  }

  void setOutage(boolean on) {
    outage = on;
    if (!on) {
      // After an outage every hold has its full TTL again.
      holds.values().forEach(h -> h.expiresAt = simulation.now() + h.ttlMs * Simulation.MS);
      answerWatchers();
    }
  }

  boolean hasFault() {
    return outage
        || !refusedHosts.isEmpty()
        || lateWritePercent > 0
        || lostAnswerPercent > 0
        || maxCommitDelayMs > 0
        || !watchDelayMsByHost.isEmpty()
        || maxAnswerDelayMs > 0;
  }

  boolean containsKey(String key) {
    return items.containsKey(key);
  }

  /** Returns the value of a key, or null. */
  JsonNode value(String key) {
    Item item = items.get(key);
    return item == null ? null : item.value;
  }

  private void expireHolds() {
    if (!outage) {
      for (Map.Entry<Long, Hold> e : new ArrayList<>(holds.entrySet())) {
        if (e.getValue().expiresAt < simulation.now()) {
          endHold(e.getKey());
        }
      }
    }
    simulation.after(20, this::expireHolds);
  }

  private void endHold(long holdId) {
    holds.remove(holdId);
    List<String> keys =
        items.entrySet().stream()
            .filter(e -> e.getValue().holdId == holdId)
            .map(Map.Entry::getKey)
            .toList();
    if (!keys.isEmpty()) {
      epoch++;
      keys.forEach(key -> change(key, null, 0));
      answerWatchers();
    }
  }

  private void change(String key, JsonNode value, long holdId) {
    if (value == null) {
      items.remove(key);
    } else {
      items.put(key, new Item(value, epoch, holdId));
    }
    changes.add(new Change(key, value, epoch));
    if (value != null && key.startsWith("c/machines")) {
      assignmentMapWrites++;
    }
  }

  @Override
  public void handle(
      String from, String method, String path, byte[] body, Consumer<Response> respondAtOnce) {
    Consumer<Response> respond =
        maxAnswerDelayMs == 0
            ? respondAtOnce
            : response ->
                simulation.after(
                    simulation.random.nextInt(Math.max(1, maxAnswerDelayMs)),
                    () -> respondAtOnce.accept(response));
    boolean watch = path.startsWith("/follow");
    if ((outage || refusedHosts.contains(from)) && !watch) {
      respond.accept(new Response(503, Json.object()));
      return;
    }
    if (watch) {
      follow(from, parseQuery(path), respond);
    } else if (path.equals("/txn")) {
      receiveTransaction(from, body, respond);
    } else if (path.equals("/holds")) {
      respond.accept(createHold(Json.read(body).path("ttl_ms").asLong()));
    } else if (path.startsWith("/holds/")) {
      respond.accept(renewHold(Long.parseLong(path.split("/", -1)[2])));
    } else if (path.startsWith("/store?")) {
      respond.accept(listKeys(parseQuery(path)));
    } else if (path.startsWith("/store/")) {
      respond.accept(readKey(path.substring("/store/".length())));
    } else {
      respond.accept(new Response(400, Json.object()));
    }
  }

  /** Carries out the transaction now, later or not at all, as the faults demand. */
  private void receiveTransaction(String from, byte[] body, Consumer<Response> respond) {
    JsonNode transaction = Json.read(body);
    if (throttledHosts.contains(from)) {
      respond.accept(new Response(429, Json.object()));
    } else if (interceptor.intercepts(from, transaction, () -> transact(transaction))) {
      return;
    } else if (lateWritePercent > 0 && simulation.random.nextInt(100) < lateWritePercent) {
      simulation.after(
          2_000 + simulation.random.nextInt(10_000),
          () -> {
            if (!outage) {
              transact(transaction);
            }
          });
    } else {
      commit(transaction, respond);
    }
  }

  private Response createHold(long ttlMs) {
    Hold hold = new Hold();
    hold.ttlMs = ttlMs;
    hold.expiresAt = simulation.now() + hold.ttlMs * Simulation.MS;
    holds.put(++lastHoldId, hold);
    return new Response(200, Json.object().put("permit", lastHoldId));
  }

  private Response renewHold(long id) {
    Hold hold = holds.get(id);
    if (hold == null) {
      return new Response(404, Json.object());
    }
    hold.expiresAt = simulation.now() + hold.ttlMs * Simulation.MS;
    return new Response(200, Json.object());
  }

  private Response readKey(String key) {
    Item item = items.get(key);
    if (item == null) {
      return new Response(404, Json.object().put("epoch", epoch));
    }
    ObjectNode answer = Json.object().put("k", key).put("stamp", item.stamp);
    answer.set("v", item.value);
    return new Response(200, answer);
  }

  private void commit(JsonNode transaction, Consumer<Response> respond) {
    Response result = transact(transaction);
    if (lostAnswerPercent > 0 && simulation.random.nextInt(100) < lostAnswerPercent) {
      return;
    }
    if (maxCommitDelayMs > 0) {
      simulation.after(simulation.random.nextInt(maxCommitDelayMs), () -> respond.accept(result));
    } else {
      respond.accept(result);
    }
  }

  private static Map<String, String> parseQuery(String path) {
    Map<String, String> parameters = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      String[] kv = part.split("=", 2);
      parameters.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
    }
    return parameters;
  }

  private Response listKeys(Map<String, String> query) {
    String under = query.get("under");
    ObjectNode answer = Json.object();
    ArrayNode entries = answer.putArray("entries");
    int limit = Integer.parseInt(query.getOrDefault("limit", "1000"));
    boolean more = false;
    for (Map.Entry<String, Item> e :
        items.tailMap(query.getOrDefault("since", ""), false).entrySet()) {
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
    for (JsonNode condition : body.path("when")) {
      Item item = items.get(condition.path("k").asText());
      if ((item == null ? 0 : item.stamp) != condition.path("stamp").asLong()) {
        failed.add(condition.path("k").asText());
      }
    }
    JsonNode writes = body.path("writes");
    if (writes.size() > txnOps
        || body.path("when").size() > 4 * txnOps
        || Json.bytes(body).length > 64 * 1024) {
      simulation.recordViolation("limits", "a transaction exceeds the store's limits");
      return new Response(400, Json.object());
    }
    for (JsonNode write : writes) {
      if (write.has("put") && Json.bytes(write.path("v")).length > valueBytes) {
        simulation.recordViolation(
            "limits", "a value exceeds the store's limit: " + write.path("put").asText());
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
          if (unversionedKeys.contains(key)) {
            ((ObjectNode) write.path("v")).remove("v");
          }
          change(key, write.path("v"), write.path("permit").asLong());
        } else if (items.containsKey(write.path("remove").asText())) {
          change(write.path("remove").asText(), null, 0);
        }
      }
      answerWatchers();
    }
    return new Response(200, Json.object().put("epoch", epoch));
  }

  private void follow(String from, Map<String, String> query, Consumer<Response> respond) {
    Watcher watcher =
        new Watcher(
            from,
            query.get("under"),
            Long.parseLong(query.get("since")),
            respond,
            new boolean[] {false});
    watchers.add(watcher);
    simulation.after(
        Long.parseLong(query.getOrDefault("block_ms", "0")), () -> answer(watcher, true));
    answer(watcher, false);
  }

  private void answerWatchers() {
    new ArrayList<>(watchers).forEach(watcher -> answer(watcher, false));
  }

  private void answer(Watcher watcher, boolean timeIsUp) {
    if (watcher.answered[0] || outage || refusedHosts.contains(watcher.from)) {
      return;
    }
    ObjectNode answer = Json.object().put("epoch", epoch);
    ArrayNode events = answer.putArray("log");
    for (Change change : changes) {
      if (change.stamp > watcher.since && change.key.startsWith(watcher.prefix)) {
        ObjectNode event = events.addObject().put("stamp", change.stamp);
        if (change.value == null) {
          event.put("remove", change.key);
        } else {
          event.put("put", change.key).set("v", change.value);
        }
      }
    }
    if (timeIsUp || !events.isEmpty()) {
      watcher.answered[0] = true;
      watchers.remove(watcher);
      Response response = new Response(200, answer);
      int maxDelayMs = watchDelayMsByHost.getOrDefault(watcher.from, 0);
      if (maxDelayMs > 0) {
        simulation.after(
            simulation.random.nextInt(maxDelayMs), () -> watcher.respond.accept(response));
      } else {
        watcher.respond.accept(response);
      }
    }
  }
}

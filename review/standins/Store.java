import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The state service by its page: revisions, transactions, leases and watches. Each controller has a
 * port of its own, so that the record tells who sent a request.
 */
final class Store {
  record Item(JsonNode value, long stamp, long permit) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private static final class Hold {
    long ttlMs;
    long endsAt;
  }

  /** Looks at a transaction before it is executed. */
  interface TransactionFilter {
    /** Returns false if the transaction is lost: it is not executed and gets no answer. */
    boolean execute(String sender, JsonNode transaction);
  }

  private final Record record;
  private final int valueBytes;
  private final int txnOps;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long epoch;
  private long lastPermit;
  volatile TransactionFilter filter = (sender, transaction) -> true;

  /** Controllers whose requests are answered late, by that many milliseconds. */
  final Map<String, Integer> slowMs = new ConcurrentHashMap<>();

  /** Controllers whose requests are refused with 503. */
  final Set<String> refused = ConcurrentHashMap.newKeySet();

  Store(Record record, int valueBytes, int txnOps) {
    this.record = record;
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
    Thread expiry =
        new Thread(
            () -> {
              while (true) {
                expire();
                Rig.sleep(20);
              }
            });
    expiry.setDaemon(true);
    expiry.start();
  }

  /** Opens the port of one controller. */
  int open(String sender) throws Exception {
    int port = Net.freePort();
    Net.serve(
        port, (method, path, query, body) -> handle(sender, method, path, query, body));
    return port;
  }

  synchronized JsonNode value(String key) {
    Item item = items.get(key);
    return item == null ? null : item.value;
  }

  synchronized List<String> keys(String prefix) {
    return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  private synchronized void expire() {
    long now = System.nanoTime();
    for (Map.Entry<Long, Hold> e : new ArrayList<>(holds.entrySet())) {
      if (e.getValue().endsAt < now) {
        holds.remove(e.getKey());
        removeKeysOf(e.getKey());
      }
    }
  }

  private void removeKeysOf(long permit) {
    List<String> keys =
        items.entrySet().stream()
            .filter(e -> e.getValue().permit == permit)
            .map(Map.Entry::getKey)
            .toList();
    if (!keys.isEmpty()) {
      epoch++;
      keys.forEach(key -> change(key, null, 0));
      notifyAll();
    }
  }

  private void change(String key, JsonNode value, long permit) {
    if (value == null) {
      items.remove(key);
    } else {
      items.put(key, new Item(value, epoch, permit));
    }
    changes.add(new Change(key, value, epoch));
    if (changes.size() > 10_000) {
      changes.remove(0);
    }
    if (key.equals("c/leader") || key.startsWith("c/ctl/") || key.equals("c/teams")) {
      record.line("state: " + key + " = " + (value == null ? "removed" : value));
    }
  }

  private Net.Answer handle(
      String sender, String method, String path, Map<String, String> query, JsonNode body)
      throws Exception {
    Net.Answer answer = execute(sender, method, path, query, body);
    Rig.sleep(slowMs.getOrDefault(sender, 3));
    return answer;
  }

  private Net.Answer execute(
      String sender, String method, String path, Map<String, String> query, JsonNode body)
      throws Exception {
    if (path.equals("/follow")) {
      return follow(sender, query);
    }
    if (refused.contains(sender)) {
      return Net.answer(503, Net.object().put("error", "refused"));
    }
    if (path.equals("/txn")) {
      if (!filter.execute(sender, body)) {
        return null;
      }
      return transact(body);
    }
    if (path.equals("/holds")) {
      return grant(body);
    }
    if (path.startsWith("/holds/")) {
      return hold(method, path);
    }
    if (path.equals("/store")) {
      return list(query);
    }
    if (path.startsWith("/store/")) {
      return read(path.substring("/store/".length()));
    }
    return Net.answer(400, Net.object().put("error", "malformed"));
  }

  private synchronized Net.Answer grant(JsonNode body) {
    Hold hold = new Hold();
    hold.ttlMs = body.path("ttl_ms").asLong();
    hold.endsAt = System.nanoTime() + hold.ttlMs * 1_000_000L;
    holds.put(++lastPermit, hold);
    return Net.answer(200, Net.object().put("permit", lastPermit));
  }

  private synchronized Net.Answer hold(String method, String path) {
    String[] parts = path.split("/");
    long id = Long.parseLong(parts[2]);
    Hold hold = holds.get(id);
    if (hold == null) {
      return Net.answer(404, Net.object());
    }
    if (method.equals("DELETE")) {
      holds.remove(id);
      removeKeysOf(id);
    } else {
      hold.endsAt = System.nanoTime() + hold.ttlMs * 1_000_000L;
    }
    return Net.answer(200, Net.object());
  }

  private synchronized Net.Answer read(String key) {
    Item item = items.get(key);
    if (item == null) {
      return Net.answer(404, Net.object().put("epoch", epoch));
    }
    ObjectNode answer = Net.object().put("k", key).put("stamp", item.stamp);
    answer.set("v", item.value);
    if (item.permit > 0) {
      answer.put("permit", item.permit);
    }
    return Net.answer(200, answer);
  }

  private synchronized Net.Answer list(Map<String, String> query) {
    String prefix = query.getOrDefault("under", "");
    String since = query.getOrDefault("since", "");
    int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
    ObjectNode answer = Net.object();
    ArrayNode entries = answer.putArray("entries");
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Item> e : items.tailMap(since, false).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        continue;
      }
      bytes += e.getValue().value.toString().length() + e.getKey().length() + 64;
      if (entries.size() == limit || bytes > 500_000) {
        more = true;
        break;
      }
      entries
          .addObject()
          .put("k", e.getKey())
          .put("stamp", e.getValue().stamp)
          .set("v", e.getValue().value);
    }
    return Net.answer(200, answer.put("more", more).put("epoch", epoch));
  }

  private synchronized Net.Answer transact(JsonNode body) {
    JsonNode writes = body.path("writes");
    JsonNode when = body.path("when");
    if (writes.size() > txnOps || when.size() > 4 * txnOps || body.toString().length() > 65_536) {
      return Net.answer(400, Net.object().put("error", "limits"));
    }
    for (JsonNode write : writes) {
      if (write.has("put") && write.path("v").toString().length() > valueBytes) {
        return Net.answer(400, Net.object().put("error", "value too large"));
      }
      long permit = write.path("permit").asLong();
      if (permit > 0 && !holds.containsKey(permit)) {
        return Net.answer(400, Net.object().put("error", "no such lease"));
      }
    }
    ObjectNode refusal = Net.object();
    ArrayNode failed = refusal.putArray("failed");
    for (JsonNode condition : when) {
      Item item = items.get(condition.path("k").asText());
      if ((item == null ? 0 : item.stamp) != condition.path("stamp").asLong()) {
        failed.add(condition.path("k").asText());
      }
    }
    if (!failed.isEmpty()) {
      return Net.answer(409, refusal.put("epoch", epoch));
    }
    if (!writes.isEmpty()) {
      epoch++;
      for (JsonNode write : writes) {
        if (write.has("put")) {
          change(write.path("put").asText(), write.path("v"), write.path("permit").asLong());
        } else if (items.containsKey(write.path("remove").asText())) {
          change(write.path("remove").asText(), null, 0);
        }
      }
      notifyAll();
    }
    return Net.answer(200, Net.object().put("epoch", epoch));
  }

  private synchronized Net.Answer follow(String sender, Map<String, String> query)
      throws InterruptedException {
    String prefix = query.getOrDefault("under", "");
    long since = Long.parseLong(query.getOrDefault("since", "0"));
    long endsAt =
        System.nanoTime() + Long.parseLong(query.getOrDefault("block_ms", "0")) * 1_000_000L;
    while (true) {
      long leftMs = (endsAt - System.nanoTime()) / 1_000_000L;
      if (refused.contains(sender)) {
        // An open watch of a refused controller waits as in an outage.
        wait(50);
        continue;
      }
      if (!changes.isEmpty() && changes.size() >= 10_000 && changes.get(0).stamp > since + 1) {
        return Net.answer(410, Net.object());
      }
      ObjectNode answer = Net.object().put("epoch", epoch);
      ArrayNode log = answer.putArray("log");
      for (Change change : changes) {
        if (change.stamp > since && change.key.startsWith(prefix)) {
          ObjectNode event = log.addObject().put("stamp", change.stamp);
          if (change.value == null) {
            event.put("remove", change.key);
          } else {
            event.put("put", change.key).set("v", change.value);
          }
        }
      }
      if (!log.isEmpty() || leftMs <= 0) {
        return Net.answer(200, answer);
      }
      wait(Math.max(1, leftMs));
    }
  }
}

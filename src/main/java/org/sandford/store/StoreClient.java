package org.sandford.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sandford.constants.ClusterConstants;
import org.sandford.constants.StoreConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.runtime.Json;
import org.sandford.store.StoreRequestQueue.Request;

/**
 * Client of the consensus-backed key-value store: reads, compare-and-swap transactions, leases and
 * watches. Translates the names of the store's protocol and sends requests through a {@link
 * StoreRequestQueue}. Runs on the event loop, where every callback runs exactly once. Failures are
 * reported as result values; nothing is thrown.
 */
public final class StoreClient {
  /** Priorities of requests under a rate limit, highest first. */
  public enum Priority {
    /** Leases, leadership and watches, which are never delayed. */
    LIVENESS,
    /** Listings, writes of the assignment map, and terminal states that a user waits for. */
    ASSIGNMENT_MAP,
    /** Other writes of job records. */
    RECORD,
    /** Reads of single keys, which fail at once when too many are queued. */
    READ
  }

  /** The outcome of a transaction, as far as the caller can know it. */
  public enum Outcome {
    /** Applied; the revision is known. */
    APPLIED,
    /** Not applied: a condition failed. */
    CONFLICT,
    /** Not applied: refused, malformed or not sent. */
    REFUSED,
    /** Possibly applied, now or later; the caller must read the keys back before any retry. */
    UNKNOWN
  }

  /**
   * The result of a transaction.
   *
   * @param revision the store's revision after it; 0 unless it was applied or conflicted
   * @param failedKeys the keys whose conditions failed; empty unless the outcome is a conflict
   */
  public record TransactionResult(Outcome outcome, long revision, List<String> failedKeys) {}

  /** A key with its value and the revision of its last change. */
  public record Entry(String key, JsonNode value, long revision) implements KeyChange {}

  /** A change of one key in a transaction. */
  public sealed interface Op {
    /** Returns the key to change. */
    String key();

    /** Stores a value. */
    record Put(String key, ObjectNode value) implements Op {}

    /** Stores a value that the store removes when the lease expires. */
    record LeasedPut(String key, ObjectNode value, long leaseId) implements Op {}

    /** Removes the key. */
    record Remove(String key) implements Op {}

    /** Creates a change that stores a value. */
    static Op put(String key, ObjectNode value) {
      return new Put(key, value);
    }

    /** Creates a change that stores a value until the lease expires. */
    static Op putLeased(String key, ObjectNode value, long leaseId) {
      return new LeasedPut(key, value, leaseId);
    }

    /** Creates a change that removes the key. */
    static Op remove(String key) {
      return new Remove(key);
    }
  }

  private static final byte[] EMPTY_OBJECT = {'{', '}'};

  private final StoreRequestQueue requests;

  /**
   * Creates a client; nothing is sent yet.
   *
   * @param address host and port of the store
   * @param requestsPerSecond the store's limit on requests, of which one controller uses a share
   * @param writesPerSecond the store's limit on changes, of which one controller uses a share
   */
  public StoreClient(
      EventLoop loop,
      HttpTransport http,
      String address,
      double requestsPerSecond,
      double writesPerSecond) {
    requests = new StoreRequestQueue(loop, http, address, requestsPerSecond, writesPerSecond);
  }

  /** Returns whether enough of the write rate is unused for writes that nobody waits for. */
  public boolean hasSpareWriteRate() {
    return requests.hasSpareWriteRate();
  }

  /** Reads one key. */
  public void read(String key, Priority priority, Consumer<ReadResult> onRead) {
    requests.send(
        Request.get(priority, "/store/" + key, StoreConstants.STORE_CALL_TIMEOUT_MS),
        reply -> onRead.accept(readResult(key, reply)));
  }

  private static ReadResult readResult(String key, Reply reply) {
    if (reply.ok()) {
      JsonNode body = Json.read(reply.body());
      Entry entry = new Entry(key, body.path("v"), body.path("stamp").asLong());
      return new ReadResult.Found(entry);
    }
    return reply.status() == 404 ? new ReadResult.Absent() : new ReadResult.Unavailable();
  }

  /** Reads all keys under a prefix, page by page. */
  public void list(String prefix, Consumer<ListResult> onListed) {
    requestPage(
        prefix,
        "",
        reply -> {
          if (!reply.ok()) {
            onListed.accept(new ListResult.Unavailable());
            return;
          }
          JsonNode page = Json.read(reply.body());
          // A watch from the first page's revision reports changes made while later pages are read.
          long revision = page.path("epoch").asLong();
          continueListing(
              prefix, "", page, new ListResult.Listed(new ArrayList<>(), revision), onListed);
        });
  }

  private void listNextPage(
      String prefix, String lastKey, ListResult.Listed listed, Consumer<ListResult> onListed) {
    requestPage(
        prefix,
        lastKey,
        reply -> {
          if (!reply.ok()) {
            onListed.accept(new ListResult.Unavailable());
            return;
          }
          continueListing(prefix, lastKey, Json.read(reply.body()), listed, onListed);
        });
  }

  private void continueListing(
      String prefix,
      String previousKey,
      JsonNode page,
      ListResult.Listed listed,
      Consumer<ListResult> onListed) {
    String lastKey = previousKey;
    for (JsonNode item : page.path("entries")) {
      lastKey = item.path("k").asText();
      listed.entries().add(new Entry(lastKey, item.path("v"), item.path("stamp").asLong()));
    }
    if (page.path("more").asBoolean() && !lastKey.equals(previousKey)) {
      listNextPage(prefix, lastKey, listed, onListed);
    } else {
      onListed.accept(listed);
    }
  }

  private void requestPage(String prefix, String afterKey, Consumer<Reply> onReply) {
    String path =
        "/store?under="
            + urlEncoded(prefix)
            + (afterKey.isEmpty() ? "" : "&since=" + urlEncoded(afterKey))
            + "&limit="
            + StoreConstants.STORE_PAGE_SIZE;
    requests.send(
        Request.get(Priority.ASSIGNMENT_MAP, path, StoreConstants.STORE_CALL_TIMEOUT_MS), onReply);
  }

  /**
   * Applies the changes in one transaction, at most once, if every key of {@code conditions} has
   * the revision stated there. Revision 0 requires that the key does not exist.
   */
  public void transact(
      Map<String, Long> conditions,
      List<Op> ops,
      Priority priority,
      Consumer<TransactionResult> onResult) {
    byte[] body = Json.bytes(txnBody(conditions, ops));
    requests.send(
        Request.post(priority, ops.size(), "/txn", body, StoreConstants.STORE_CALL_TIMEOUT_MS),
        reply -> onResult.accept(transactionResult(reply)));
  }

  static ObjectNode txnBody(Map<String, Long> conditions, List<Op> ops) {
    ObjectNode body = Json.object();
    ArrayNode when = body.putArray("when");
    conditions.forEach((key, stamp) -> when.addObject().put("k", key).put("stamp", stamp));
    ArrayNode writes = body.putArray("writes");
    for (Op op : ops) {
      ObjectNode write = writes.addObject();
      if (op instanceof Op.Put put) {
        write.put("put", put.key());
        write.set("v", put.value());
      } else if (op instanceof Op.LeasedPut put) {
        write.put("put", put.key());
        write.set("v", put.value());
        write.put("permit", put.leaseId());
      } else {
        write.put("remove", op.key());
      }
    }
    return body;
  }

  private static TransactionResult transactionResult(Reply reply) {
    JsonNode body = Json.read(reply.body());
    long revision = body.path("epoch").asLong();
    return switch (reply.status()) {
      case 200 -> new TransactionResult(Outcome.APPLIED, revision, List.of());
      case 409 -> {
        List<String> failedKeys = new ArrayList<>();
        body.path("failed").forEach(key -> failedKeys.add(key.asText()));
        yield new TransactionResult(Outcome.CONFLICT, revision, failedKeys);
      }
      case 400, 429, 503, Reply.NOT_SENT -> new TransactionResult(Outcome.REFUSED, 0, List.of());
      default -> new TransactionResult(Outcome.UNKNOWN, 0, List.of());
    };
  }

  /** Requests a lease of {@code ttlMs} milliseconds. */
  public void createLease(int ttlMs, Consumer<LeaseGrant> onAnswer) {
    byte[] body = Json.bytes(Json.object().put("ttl_ms", ttlMs));
    requests.send(
        Request.post(Priority.LIVENESS, 0, "/holds", body, StoreConstants.STORE_CALL_TIMEOUT_MS),
        reply -> onAnswer.accept(leaseGrant(reply)));
  }

  private static LeaseGrant leaseGrant(Reply reply) {
    // Lease ids start at 1, so 0 means that the answer contains none.
    long leaseId = reply.ok() ? Json.read(reply.body()).path("permit").asLong() : 0;
    return leaseId == 0 ? new LeaseGrant.Unavailable() : new LeaseGrant.Granted(leaseId);
  }

  /** Renews a lease; its time to live restarts when the store handles the request. */
  public void renewLease(long leaseId, Consumer<LeaseRenewal> onAnswer) {
    requests.send(
        Request.post(
            Priority.LIVENESS,
            0,
            "/holds/" + leaseId + "/renew",
            EMPTY_OBJECT,
            ClusterConstants.SESSION_LEASE_CALL_TIMEOUT_MS),
        reply -> onAnswer.accept(leaseRenewal(reply)));
  }

  private static LeaseRenewal leaseRenewal(Reply reply) {
    return switch (reply.status()) {
      case 200 -> new LeaseRenewal.Renewed();
      case 404 -> new LeaseRenewal.Expired();
      default -> new LeaseRenewal.Unconfirmed(reply.status());
    };
  }

  /**
   * Waits for changes under a prefix after {@code sinceRevision}. The store answers after {@link
   * ClusterConstants#WATCH_BLOCK_MS} at the latest.
   */
  public void watch(String prefix, long sinceRevision, Consumer<WatchResult> onAnswer) {
    String path =
        "/follow?under="
            + urlEncoded(prefix)
            + "&since="
            + sinceRevision
            + "&block_ms="
            + ClusterConstants.WATCH_BLOCK_MS;
    requests.send(
        Request.get(Priority.LIVENESS, path, ClusterConstants.WATCH_CALL_TIMEOUT_MS),
        reply -> onAnswer.accept(watchResult(reply)));
  }

  private static WatchResult watchResult(Reply reply) {
    if (!reply.ok()) {
      return reply.status() == 410 ? new WatchResult.Compacted() : new WatchResult.Unavailable();
    }
    JsonNode body = Json.read(reply.body());
    Map<String, KeyChange> latest = new LinkedHashMap<>();
    for (JsonNode event : body.path("log")) {
      KeyChange change = keyChange(event);
      KeyChange known = latest.get(change.key());
      if (known == null || known.revision() <= change.revision()) {
        latest.put(change.key(), change);
      }
    }
    return new WatchResult.Changes(body.path("epoch").asLong(), List.copyOf(latest.values()));
  }

  private static KeyChange keyChange(JsonNode event) {
    long revision = event.path("stamp").asLong();
    return event.has("put")
        ? new Entry(event.path("put").asText(), event.path("v"), revision)
        : new KeyChange.Removal(event.path("remove").asText(), revision);
  }

  private static String urlEncoded(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}

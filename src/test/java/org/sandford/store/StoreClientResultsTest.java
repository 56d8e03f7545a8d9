package org.sandford.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.runtime.Json;
import org.sandford.runtime.ManualEventLoop;
import org.sandford.store.StoreClient.Entry;
import org.sandford.store.StoreClient.Op;
import org.sandford.store.StoreClient.Outcome;
import org.sandford.store.StoreClient.Priority;
import org.sandford.store.StoreClient.TransactionResult;

/** Tests which result each answer of the store yields. */
class StoreClientResultsTest {
  private final List<String> paths = new ArrayList<>();
  private final Deque<Reply> replies = new ArrayDeque<>();
  private final HttpTransport http =
      (address, method, path, body, timeoutMs, onReply) -> {
        paths.add(path);
        onReply.accept(replies.removeFirst());
      };
  private final StoreClient store =
      new StoreClient(new ManualEventLoop(), http, "store:1", 100, 100);

  private void enqueueReply(int status, String body) {
    replies.add(new Reply(status, body.getBytes(StandardCharsets.UTF_8)));
  }

  private static JsonNode json(String text) {
    return Json.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private ReadResult read() {
    List<ReadResult> results = new ArrayList<>();
    store.read("job/wk-1", Priority.READ, results::add);
    return results.get(0);
  }

  @Test
  void readDistinguishesAbsentFromUnavailable() {
    enqueueReply(200, "{\"v\":{\"n\":1},\"stamp\":7}");
    assertEquals(new ReadResult.Found(new Entry("job/wk-1", json("{\"n\":1}"), 7)), read());
    enqueueReply(404, "{}");
    assertEquals(new ReadResult.Absent(), read());
    enqueueReply(503, "{}");
    assertEquals(new ReadResult.Unavailable(), read());
    enqueueReply(Reply.UNKNOWN, "");
    assertEquals(new ReadResult.Unavailable(), read());
  }

  @Test
  void listHasAllPagesAndTheRevisionOfTheFirst() {
    enqueueReply(
        200, "{\"entries\":[{\"k\":\"job/a\",\"v\":{},\"stamp\":3}],\"more\":true,\"epoch\":9}");
    enqueueReply(
        200, "{\"entries\":[{\"k\":\"job/b\",\"v\":{},\"stamp\":12}],\"more\":false,\"epoch\":14}");
    List<ListResult> results = new ArrayList<>();
    store.list("job/", results::add);
    ListResult.Listed listed = assertInstanceOf(ListResult.Listed.class, results.get(0));
    assertEquals(9, listed.revision());
    assertEquals(List.of("job/a", "job/b"), listed.entries().stream().map(Entry::key).toList());
    assertEquals("/store?under=job%2F&since=job%2Fa&limit=1000", paths.get(1));
  }

  @Test
  void listIsUnavailableWhenAnyPageIs() {
    enqueueReply(
        200, "{\"entries\":[{\"k\":\"job/a\",\"v\":{},\"stamp\":3}],\"more\":true,\"epoch\":9}");
    enqueueReply(503, "{}");
    List<ListResult> results = new ArrayList<>();
    store.list("job/", results::add);
    assertEquals(List.of(new ListResult.Unavailable()), results);
  }

  private WatchResult watch() {
    List<WatchResult> results = new ArrayList<>();
    store.watch("c/", 5, results::add);
    return results.get(0);
  }

  @Test
  void watchGivesTheLatestChangeOfEachKey() {
    enqueueReply(
        200,
        "{\"epoch\":9,\"log\":["
            + "{\"put\":\"c/a\",\"v\":{},\"stamp\":6},"
            + "{\"put\":\"c/b\",\"v\":{},\"stamp\":7},"
            + "{\"remove\":\"c/a\",\"stamp\":8}]}");
    assertEquals(
        new WatchResult.Changes(
            9, List.of(new KeyChange.Removal("c/a", 8), new Entry("c/b", json("{}"), 7))),
        watch());
  }

  @Test
  void watchDistinguishesCompactedFromUnavailable() {
    enqueueReply(410, "{}");
    assertEquals(new WatchResult.Compacted(), watch());
    enqueueReply(Reply.UNKNOWN, "");
    assertEquals(new WatchResult.Unavailable(), watch());
  }

  @Test
  void leaseIsGrantedOnlyWithAnId() {
    List<LeaseGrant> results = new ArrayList<>();
    enqueueReply(200, "{\"permit\":7}");
    store.createLease(3_000, results::add);
    enqueueReply(503, "{}");
    store.createLease(3_000, results::add);
    assertEquals(List.of(new LeaseGrant.Granted(7), new LeaseGrant.Unavailable()), results);
  }

  @Test
  void renewalDistinguishesExpiryFromUnconfirmed() {
    List<LeaseRenewal> results = new ArrayList<>();
    enqueueReply(200, "{}");
    store.renewLease(7, results::add);
    enqueueReply(404, "{}");
    store.renewLease(7, results::add);
    enqueueReply(Reply.UNKNOWN, "");
    store.renewLease(7, results::add);
    assertEquals(
        List.of(
            new LeaseRenewal.Renewed(),
            new LeaseRenewal.Expired(),
            new LeaseRenewal.Unconfirmed(Reply.UNKNOWN)),
        results);
  }

  @Test
  void transactionDistinguishesConflictRefusalAndUnknown() {
    List<TransactionResult> results = new ArrayList<>();
    enqueueReply(200, "{\"epoch\":4}");
    enqueueReply(409, "{\"epoch\":5,\"failed\":[\"c/a\"]}");
    enqueueReply(503, "{}");
    enqueueReply(Reply.NOT_SENT, "");
    enqueueReply(Reply.UNKNOWN, "");
    for (int i = 0; i < 5; i++) {
      store.transact(Map.of(), List.of(Op.remove("c/a")), Priority.RECORD, results::add);
    }
    assertEquals(
        List.of(
            new TransactionResult(Outcome.APPLIED, 4, List.of()),
            new TransactionResult(Outcome.CONFLICT, 5, List.of("c/a")),
            new TransactionResult(Outcome.REFUSED, 0, List.of()),
            new TransactionResult(Outcome.REFUSED, 0, List.of()),
            new TransactionResult(Outcome.UNKNOWN, 0, List.of())),
        results);
  }
}

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

  private void answer(int status, String body) {
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
  void readTellsAbsentFromUnavailable() {
    answer(200, "{\"v\":{\"n\":1},\"stamp\":7}");
    assertEquals(new ReadResult.Found(new Entry("job/wk-1", json("{\"n\":1}"), 7)), read());
    answer(404, "{}");
    assertEquals(new ReadResult.Absent(), read());
    answer(503, "{}");
    assertEquals(new ReadResult.Unavailable(), read());
    answer(Reply.UNKNOWN, "");
    assertEquals(new ReadResult.Unavailable(), read());
  }

  @Test
  void listJoinsPagesUnderTheFirstPagesRevision() {
    answer(200, "{\"entries\":[{\"k\":\"job/a\",\"v\":{},\"stamp\":3}],\"more\":true,\"epoch\":9}");
    answer(
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
    answer(200, "{\"entries\":[{\"k\":\"job/a\",\"v\":{},\"stamp\":3}],\"more\":true,\"epoch\":9}");
    answer(503, "{}");
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
    answer(
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
  void watchTellsMissedChangesFromUnavailable() {
    answer(410, "{}");
    assertEquals(new WatchResult.Compacted(), watch());
    answer(Reply.UNKNOWN, "");
    assertEquals(new WatchResult.Unavailable(), watch());
  }

  @Test
  void leaseIsGrantedOnlyWithAnId() {
    List<LeaseGrant> results = new ArrayList<>();
    answer(200, "{\"permit\":7}");
    store.createLease(3_000, results::add);
    answer(503, "{}");
    store.createLease(3_000, results::add);
    assertEquals(List.of(new LeaseGrant.Granted(7), new LeaseGrant.Unavailable()), results);
  }

  @Test
  void renewalTellsExpiryFromAnUnknownOutcome() {
    List<LeaseRenewal> results = new ArrayList<>();
    answer(200, "{}");
    store.renewLease(7, results::add);
    answer(404, "{}");
    store.renewLease(7, results::add);
    answer(Reply.UNKNOWN, "");
    store.renewLease(7, results::add);
    assertEquals(
        List.of(
            new LeaseRenewal.Renewed(),
            new LeaseRenewal.Expired(),
            new LeaseRenewal.Unconfirmed(Reply.UNKNOWN)),
        results);
  }

  @Test
  void transactionTellsConflictRefusalAndUnknownOutcome() {
    List<TransactionResult> results = new ArrayList<>();
    answer(200, "{\"epoch\":4}");
    answer(409, "{\"epoch\":5,\"failed\":[\"c/a\"]}");
    answer(503, "{}");
    answer(Reply.NOT_SENT, "");
    answer(Reply.UNKNOWN, "");
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

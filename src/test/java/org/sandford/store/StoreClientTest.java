package org.sandford.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.ManualEventLoop;
import org.sandford.store.StoreClient.Op;
import org.sandford.store.StoreClient.Priority;

/** Tests requests beyond the store's rate limits. */
class StoreClientTest {
  private static final double RPS = 100;
  private static final int REQUEST_COUNT = 1_000;

  private final List<String> sent = new ArrayList<>();

  /** The clock does not advance, so only the first burst is sent. */
  private final EventLoop loop = new ManualEventLoop();

  private final HttpTransport http =
      (address, method, path, body, timeoutMs, onReply) -> sent.add(path);
  private final StoreClient store = new StoreClient(loop, http, "store:1", RPS, RPS);

  /** Without a bound, reads would queue behind others whose callers have given up. */
  @Test
  void readsThatWouldWaitTooLongFailAtOnce() {
    List<ReadResult> results = new ArrayList<>();
    for (int i = 0; i < REQUEST_COUNT; i++) {
      store.read("job/" + i, Priority.READ, results::add);
    }
    int queued = REQUEST_COUNT - sent.size() - results.size();
    assertTrue(
        results.stream().allMatch(ReadResult.Unavailable.class::isInstance),
        "reads that are not sent are unavailable");
    assertTrue(queued <= RPS, queued + " reads are queued");
    assertTrue(!results.isEmpty() && !sent.isEmpty());
  }

  @Test
  void writesAreQueuedWithoutBound() {
    List<Object> results = new ArrayList<>();
    for (int i = 0; i < REQUEST_COUNT; i++) {
      store.transact(Map.of(), List.of(Op.remove("job/" + i)), Priority.RECORD, results::add);
    }
    assertEquals(List.of(), results);
  }
}

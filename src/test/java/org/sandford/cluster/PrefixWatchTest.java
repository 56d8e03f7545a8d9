package org.sandford.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.runtime.ManualEventLoop;
import org.sandford.runtime.MonotonicTime;
import org.sandford.store.KeyChange;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;

/** Tests listing and watching a prefix against a store whose replies each test supplies. */
class PrefixWatchTest {
  private static final String LISTING =
      "{\"entries\":[{\"k\":\"c/a\",\"v\":{},\"stamp\":3}],\"more\":false,\"epoch\":9}";

  private record Sent(String path, Consumer<Reply> onReply) {}

  private final ManualEventLoop loop = new ManualEventLoop();
  private final List<Sent> sent = new ArrayList<>();
  private final HttpTransport http =
      (address, method, path, body, timeoutMs, onReply) -> sent.add(new Sent(path, onReply));
  private final List<String> handled = new ArrayList<>();
  private final PrefixWatch watch =
      new PrefixWatch(
          loop, new StoreClient(loop, http, "store:1", 100, 100), "c/", "c/", new Recorder());

  private final class Recorder implements PrefixWatch.Handler {
    @Override
    public void listed(List<Entry> entries) {
      handled.add("listed " + entries.size());
    }

    @Override
    public void caughtUp() {
      handled.add("caught up at " + watch.revision());
    }

    @Override
    public void changed(List<KeyChange> changes) {
      handled.add("changed " + changes.size());
    }
  }

  private void reply(int status, String body) {
    Sent last = sent.get(sent.size() - 1);
    last.onReply.accept(new Reply(status, body.getBytes(StandardCharsets.UTF_8)));
  }

  private String lastPath() {
    return sent.get(sent.size() - 1).path;
  }

  @Test
  void watchesFromTheListingsRevisionOn() {
    watch.start();
    assertFalse(watch.loaded());
    reply(200, LISTING);
    assertTrue(watch.loaded());
    assertEquals(List.of("listed 1", "caught up at 9"), handled);
    assertEquals("/follow?under=c%2F&since=9&block_ms=1500", lastPath());
    reply(200, "{\"epoch\":12,\"log\":[{\"remove\":\"c/a\",\"stamp\":11}]}");
    assertEquals("changed 1", handled.get(2));
    assertEquals("/follow?under=c%2F&since=12&block_ms=1500", lastPath());
  }

  @Test
  void emptyReplyProvesFreshnessSinceItsRequest() {
    watch.start();
    reply(200, LISTING);
    loop.advanceSeconds(1);
    MonotonicTime beforeReply = MonotonicTime.ofNanos(loop.nanos());
    assertTrue(watch.freshAt().isBefore(beforeReply));
    reply(200, "{\"epoch\":9,\"log\":[]}");
    assertTrue(watch.freshAt().isBefore(beforeReply), "the request was sent a second ago");
    loop.advanceSeconds(1);
    reply(200, "{\"epoch\":9,\"log\":[]}");
    assertFalse(watch.freshAt().isBefore(beforeReply));
    assertEquals(2, handled.size(), "only the listing was handled");
  }

  @Test
  void listsAgainWhenChangesWereMissed() {
    watch.start();
    reply(200, LISTING);
    reply(410, "{}");
    assertEquals("/store?under=c%2F&limit=1000", lastPath());
    reply(200, LISTING);
    assertEquals(List.of("listed 1", "caught up at 9", "listed 1", "caught up at 9"), handled);
  }

  @Test
  void unavailableStoreProvesNothing() {
    watch.start();
    reply(200, LISTING);
    MonotonicTime freshAt = watch.freshAt();
    loop.advanceSeconds(1);
    reply(503, "{}");
    assertEquals(freshAt, watch.freshAt());
    assertEquals(2, handled.size());
  }
}

package org.sandford.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.runtime.ManualEventLoop;
import org.sandford.settings.TestSettings;
import org.sandford.store.KeyChange;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;

/** Tests the steps from a start to membership and what ends a membership. */
class SessionMembershipTest {
  private static final double STORE_RPS = 100;

  private record Sent(String path, String body, Consumer<Reply> onReply) {}

  private final ManualEventLoop loop = new ManualEventLoop();
  private final List<Sent> sent = new ArrayList<>();
  private final List<String> joined = new ArrayList<>();
  private final HttpTransport http =
      (address, method, path, body, timeoutMs, onReply) ->
          sent.add(
              new Sent(
                  path, body == null ? "" : new String(body, StandardCharsets.UTF_8), onReply));
  private SessionMembership membership;

  @BeforeEach
  void makeMembership() {
    membership =
        new SessionMembership(
            loop,
            new TestSettings().of("c0"),
            new StoreClient(loop, http, "store:1", STORE_RPS, STORE_RPS),
            new SessionMembership.Listener() {
              @Override
              public void joined(String incarnationId) {
                joined.add(incarnationId);
              }

              @Override
              public void leaseChanged() {}
            });
  }

  private void reply(int request, int status, String body) {
    sent.get(request).onReply.accept(new Reply(status, body.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Replies to the requests from number {@code first} on so that the controller joins as {@code
   * c0#4}.
   */
  private void replyUntilJoined(int first) {
    reply(first, 200, "{\"v\":{\"n\":3,\"v\":2},\"stamp\":20}");
    reply(first + 1, 200, "{\"epoch\":30}");
    reply(first + 2, 200, "{\"permit\":7}");
    reply(first + 3, 200, "{\"epoch\":31}");
  }

  @Test
  void writesItsKeyOnTheSessionLeaseOfANewIncarnation() {
    membership.join();
    replyUntilJoined(0);
    assertEquals(
        List.of("/store/inc/c0", "/txn", "/holds", "/txn"), sent.stream().map(Sent::path).toList());
    assertEquals(
        "{\"when\":[{\"k\":\"inc/c0\",\"stamp\":30}],"
            + "\"writes\":[{\"put\":\"c/ctl/c0\",\"v\":{\"id\":\"c0#4\"},\"permit\":7}]}",
        sent.get(3).body);
    assertEquals(List.of("c0#4"), joined);
    assertTrue(membership.isLeaseValid());
    assertTrue(membership.isOwnIncarnation("c0#4"));
  }

  @Test
  void leaseExpiresByTheClockFromBeforeItsRequest() {
    membership.join();
    reply(0, 404, "{}");
    reply(1, 200, "{\"epoch\":30}");
    loop.advanceSeconds(2);
    reply(2, 200, "{\"permit\":7}");
    reply(3, 200, "{\"epoch\":31}");
    assertTrue(membership.isLeaseValid());
    loop.advanceSeconds(0.8);
    assertFalse(membership.isLeaseValid(), "the lease of 3 s less drift and margin has expired");
  }

  @Test
  void repliesToAnEarlierAttemptAreIgnored() {
    membership.join();
    membership.join();
    reply(0, 404, "{}");
    assertEquals(2, sent.size(), "the reply to the first attempt must not cause a request");
    replyUntilJoined(1);
    assertEquals(List.of("c0#4"), joined);
  }

  @Test
  void joinsAgainWhenAFormerIncarnationOverwritesItsKey() {
    membership.join();
    replyUntilJoined(0);
    membership.memberKeyChanged(new Entry("c/ctl/c0", IncarnationIds.toJson("c0#3"), 25));
    membership.memberKeyChanged(new Entry("c/ctl/c0", IncarnationIds.toJson("c0#4"), 31));
    assertTrue(membership.isLeaseValid(), "changes up to its own write are ignored");
    membership.memberKeyChanged(new KeyChange.Removal("c/ctl/c0", 32));
    assertFalse(membership.isLeaseValid());
    assertEquals("/store/inc/c0", sent.get(4).path);
  }
}

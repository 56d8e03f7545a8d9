package org.sandford.net;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that the client notices callers on another thread than the event loop's. */
class NettyHttpClientTest {
  private final NettyLoop loop = new NettyLoop();

  @AfterEach
  void stopLoop() {
    loop.shutdown();
  }

  @Test
  void requestOutsideTheEventLoopIsAnError() {
    NettyHttpClient client = new NettyHttpClient(loop, Set.of(), 1);
    assertThrows(
        AssertionError.class,
        () -> client.send("127.0.0.1:1", "GET", "/up", null, 1_000, reply -> {}));
  }
}

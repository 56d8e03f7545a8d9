package org.sandford.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against a build that fails by itself: the warm-up used the HTTP client off its loop. */
class ArchiveWarmUpTest {
  @Test
  void usesTheControllerOnItsEventLoop() {
    assertEquals(0, ArchiveWarmUp.run());
  }
}

package org.sandford.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sandford.constants.MachineConstants;

class FencingTokensTest {
  private final FencingTokens tokens = new FencingTokens(3);

  @Test
  void generationIsSeenOnceWorkerReportsItsToken() {
    assertFalse(tokens.isGenerationSeen());
    tokens.recordSeenToken(3 * MachineConstants.TOKENS_PER_GENERATION);
    assertTrue(tokens.isGenerationSeen());
    assertFalse(tokens.isSuperseded());
    tokens.recordSeenToken(4 * MachineConstants.TOKENS_PER_GENERATION);
    assertTrue(tokens.isSuperseded());
  }

  @Test
  void requiredTokenCountsAsSeenOnlyOnceWorkerReportsIt() {
    tokens.recordSeenToken(tokens.current());
    assertTrue(tokens.isRequiredTokenSeen());
    long before = tokens.current();
    tokens.raiseAndRequire();
    assertEquals(before + 1, tokens.current());
    assertFalse(tokens.isRequiredTokenSeen());
    tokens.recordSeenToken(tokens.current());
    assertTrue(tokens.isRequiredTokenSeen());
  }

  @Test
  void raiseAloneDoesNotChangeRequiredToken() {
    tokens.recordSeenToken(tokens.current());
    tokens.raise();
    assertTrue(tokens.isRequiredTokenSeen());
  }

  @Test
  void olderTokenSeenLaterIsIgnored() {
    tokens.recordSeenToken(tokens.current());
    tokens.recordSeenToken(0);
    assertTrue(tokens.isGenerationSeen());
  }
}

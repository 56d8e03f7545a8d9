package org.sandford.machine;

import org.sandford.constants.MachineConstants;

/**
 * The fencing tokens of one machine under one generation of its assignment. A worker refuses
 * commands with a token below the highest that it has seen, so a raised token voids every command
 * that may still be under way. Runs on the event loop.
 */
final class FencingTokens {
  private final long generation;
  private long raises;

  /** The token that the worker must have seen before its machine counts as settled. */
  private long requiredToken;

  private long seenToken;

  FencingTokens(long generation) {
    this.generation = generation;
    this.requiredToken = current();
  }

  /** The token of commands sent now: the generation, and above it the raises of this owner. */
  long current() {
    return generation * MachineConstants.TOKENS_PER_GENERATION + raises;
  }

  /** Makes every command sent so far void once the worker has seen the new token. */
  void raise() {
    raises++;
  }

  /** Raises the token; the machine is not settled until the worker has seen it. */
  void raiseAndRequire() {
    raise();
    requiredToken = current();
  }

  /** Takes in the highest token that the worker has seen. */
  void recordSeenToken(long token) {
    seenToken = Math.max(seenToken, token);
  }

  /** Whether the worker has seen the token that voids what may still be under way. */
  boolean isRequiredTokenSeen() {
    return seenToken >= requiredToken;
  }

  /** Whether the worker has seen a token of this generation, which voids any former owner's. */
  boolean isGenerationSeen() {
    return seenToken >= generation * MachineConstants.TOKENS_PER_GENERATION;
  }

  /** Whether the worker has seen a token of a later generation: another owner commands it. */
  boolean isSuperseded() {
    return seenToken >= (generation + 1) * MachineConstants.TOKENS_PER_GENERATION;
  }
}

package org.sandford.machine;

import org.sandford.constants.MachineConstants;

/**
 * Generates the fencing tokens of one machine under one generation of its assignment. A worker
 * refuses commands with a token below the highest that it has seen, so a raised token invalidates
 * every command still in flight. Runs on the event loop.
 */
final class FencingTokens {
  private final long generation;
  private long raises;

  /** The token that the worker must have seen before its machine leaves RECONCILING. */
  private long requiredToken;

  private long seenToken;

  FencingTokens(long generation) {
    this.generation = generation;
    this.requiredToken = current();
  }

  /**
   * Returns the token for commands sent now: a range of tokens per generation, plus this owner's
   * raises.
   */
  long current() {
    return generation * MachineConstants.TOKENS_PER_GENERATION + raises;
  }

  /** Invalidates every command sent so far, once the worker has seen the new token. */
  void raise() {
    raises++;
  }

  /**
   * Raises the token; {@link #isRequiredTokenSeen} is false until the worker has seen the new one.
   */
  void raiseAndRequire() {
    raise();
    requiredToken = current();
  }

  /** Records the highest token that the worker has seen. */
  void recordSeenToken(long token) {
    seenToken = Math.max(seenToken, token);
  }

  /** Returns whether the worker has seen the token that invalidates commands of unknown outcome. */
  boolean isRequiredTokenSeen() {
    return seenToken >= requiredToken;
  }

  /**
   * Returns whether the worker has seen a token of this generation, which invalidates any former
   * owner's.
   */
  boolean isGenerationSeen() {
    return seenToken >= generation * MachineConstants.TOKENS_PER_GENERATION;
  }

  /**
   * Returns whether the worker has seen a token of a later generation, which another owner uses.
   */
  boolean isSuperseded() {
    return seenToken >= (generation + 1) * MachineConstants.TOKENS_PER_GENERATION;
  }
}

package org.sandford.runtime;

import org.sandford.constants.StoreConstants;

/**
 * A token bucket that holds one second's worth of tokens, on the event loop's clock. Its balance
 * may become negative, so that large requests are not starved by small ones. Belongs to the event
 * loop.
 */
public final class TokenBucket {
  private final EventLoop loop;
  private final double tokensPerSecond;
  private double tokens;
  private long refilledAtNanos;

  /** Makes a full bucket that gains {@code tokensPerSecond} tokens a second. */
  public TokenBucket(EventLoop loop, double tokensPerSecond) {
    this.loop = loop;
    this.tokensPerSecond = tokensPerSecond;
    this.tokens = most();
    this.refilledAtNanos = loop.nanos();
  }

  private void refill() {
    long nowNanos = loop.nanos();
    tokens = Math.min(most(), tokens + tokensPerSecond * (nowNanos - refilledAtNanos) / 1e9);
    refilledAtNanos = nowNanos;
  }

  /** The most tokens that it can hold. */
  public double most() {
    return Math.max(1, tokensPerSecond);
  }

  /**
   * Whether a request for {@code count} tokens may go now. A large one needs only a part of them,
   * and those that follow wait for the rest.
   */
  public boolean allows(double count) {
    return holds(requiredTokens(count));
  }

  /** Whether at least {@code count} tokens are left. */
  public boolean holds(double count) {
    refill();
    return tokens >= count;
  }

  private double requiredTokens(double count) {
    return Math.min(count, Math.max(1, most() * StoreConstants.BUCKET_SUFFICIENT_SHARE));
  }

  /** Takes the tokens; a negative balance delays what follows. */
  public void take(double count) {
    refill();
    tokens -= count;
  }

  /** Milliseconds until a request for {@code count} tokens may go. */
  public long waitMillis(double count) {
    refill();
    double missingTokens = requiredTokens(count) - tokens;
    return missingTokens <= 0 ? 0 : (long) Math.ceil(missingTokens * 1000 / tokensPerSecond);
  }
}

package org.sandford.runtime;

import org.sandford.constants.StoreConstants;

/**
 * A token bucket that holds one second's worth of tokens, by the event loop's clock. Its balance
 * may become negative, so that small requests do not starve large ones. Runs on the event loop.
 */
public final class TokenBucket {
  private final EventLoop loop;
  private final double tokensPerSecond;
  private double tokens;
  private long refilledAtNanos;

  /** Creates a full bucket that gains {@code tokensPerSecond} tokens a second. */
  public TokenBucket(EventLoop loop, double tokensPerSecond) {
    this.loop = loop;
    this.tokensPerSecond = tokensPerSecond;
    this.tokens = capacity();
    this.refilledAtNanos = loop.nanos();
  }

  private void refill() {
    long nowNanos = loop.nanos();
    tokens = Math.min(capacity(), tokens + tokensPerSecond * (nowNanos - refilledAtNanos) / 1e9);
    refilledAtNanos = nowNanos;
  }

  /** Returns the most tokens that the bucket can hold. */
  public double capacity() {
    return Math.max(1, tokensPerSecond);
  }

  /**
   * Returns whether a request for {@code count} tokens may be sent now. A large request needs only
   * part of its tokens; the requests after it wait for the rest.
   */
  public boolean allows(double count) {
    return hasAtLeast(requiredTokens(count));
  }

  /** Returns whether at least {@code count} tokens are left. */
  public boolean hasAtLeast(double count) {
    refill();
    return tokens >= count;
  }

  private double requiredTokens(double count) {
    return Math.min(count, Math.max(1, capacity() * StoreConstants.BUCKET_SUFFICIENT_SHARE));
  }

  /** Takes the tokens; a negative balance delays the requests that follow. */
  public void take(double count) {
    refill();
    tokens -= count;
  }

  /** Returns the milliseconds until a request for {@code count} tokens may be sent. */
  public long waitMillis(double count) {
    refill();
    double missingTokens = requiredTokens(count) - tokens;
    return missingTokens <= 0 ? 0 : (long) Math.ceil(missingTokens * 1000 / tokensPerSecond);
  }
}

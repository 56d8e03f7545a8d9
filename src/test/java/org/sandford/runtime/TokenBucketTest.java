package org.sandford.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
  private static final class Clock implements EventLoop {
    private long millis;

    @Override
    public boolean isCurrentThread() {
      return true;
    }

    @Override
    public long nanos() {
      return millis * 1_000_000;
    }

    @Override
    public long wallMillis() {
      return millis;
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void execute(Runnable task) {
      throw new UnsupportedOperationException();
    }
  }

  @Test
  void smallRequestsDoNotStarveALargeOne() {
    Clock clock = new Clock();
    TokenBucket bucket = new TokenBucket(clock, 12);
    bucket.take(12);
    boolean largeAllowed = false;
    for (int i = 0; i < 50 && !largeAllowed; i++) {
      clock.millis += 100;
      if (bucket.allows(2)) {
        bucket.take(2);
      }
      clock.millis += 150;
      largeAllowed = bucket.allows(16);
    }
    assertTrue(
        largeAllowed, "a request for 16 tokens was never allowed beside one for 2 every 250 ms");
  }

  @Test
  void takenTokensStayWithinTheRate() {
    Clock clock = new Clock();
    TokenBucket bucket = new TokenBucket(clock, 10);
    int taken = 0;
    for (int i = 0; i < 10_000; i++) {
      clock.millis++;
      if (bucket.allows(16)) {
        bucket.take(16);
        taken += 16;
      }
    }
    assertTrue(taken <= 10 + 10 * 10 + 16, taken + " tokens taken in 10 s at 10 a second");
    bucket.take(100);
    assertFalse(bucket.allows(1));
    clock.millis += bucket.waitMillis(1);
    assertTrue(bucket.allows(1));
    assertEquals(0, bucket.waitMillis(1));
  }
}

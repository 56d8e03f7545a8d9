package org.sandford.runtime;

/**
 * A moment on the clock of {@link EventLoop#nanos()}, or never. Immutable; comparing two moments,
 * or one with a reading of the clock, makes no object.
 */
public final class MonotonicTime {
  /** Before every moment: what was to happen has not happened yet. */
  public static final MonotonicTime NEVER = new MonotonicTime(false, 0);

  private final boolean happened;
  private final long nanos;

  private MonotonicTime(boolean happened, long nanos) {
    this.happened = happened;
    this.nanos = nanos;
  }

  /** The moment at which {@link EventLoop#nanos()} gave {@code nanos}. */
  public static MonotonicTime ofNanos(long nanos) {
    return new MonotonicTime(true, nanos);
  }

  /** The reading of the clock at this moment, or {@code fallbackNanos} for {@link #NEVER}. */
  public long nanosOr(long fallbackNanos) {
    return happened ? nanos : fallbackNanos;
  }

  /** The earlier of two moments. */
  public static MonotonicTime earlier(MonotonicTime first, MonotonicTime second) {
    return first.isBefore(second) ? first : second;
  }

  /** The later of two moments. */
  public static MonotonicTime later(MonotonicTime first, MonotonicTime second) {
    return first.isBefore(second) ? second : first;
  }

  /** Whether this moment is before the other; {@link #NEVER} is before every moment. */
  public boolean isBefore(MonotonicTime other) {
    return other.happened && (!happened || nanos < other.nanos);
  }

  /** Whether less than {@code ageNanos} have passed since this moment; false for {@link #NEVER}. */
  public boolean isYoungerThan(long ageNanos, long nowNanos) {
    return happened && nowNanos < nanos + ageNanos;
  }

  /** Whether more than {@code ageNanos} have passed since this moment; false for {@link #NEVER}. */
  public boolean isOlderThan(long ageNanos, long nowNanos) {
    return happened && nowNanos - nanos > ageNanos;
  }
}

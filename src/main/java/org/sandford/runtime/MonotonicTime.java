package org.sandford.runtime;

/**
 * A moment on the clock of {@link EventLoop#nanos()}, or {@link #NEVER}. Immutable; comparing two
 * moments, or a moment with a reading of the clock, allocates no object.
 */
public final class MonotonicTime {
  /** The time of an event that has not happened yet; before every moment. */
  public static final MonotonicTime NEVER = new MonotonicTime(false, 0);

  private final boolean happened;
  private final long nanos;

  private MonotonicTime(boolean happened, long nanos) {
    this.happened = happened;
    this.nanos = nanos;
  }

  /** Returns the moment at which {@link EventLoop#nanos()} returned {@code nanos}. */
  public static MonotonicTime ofNanos(long nanos) {
    return new MonotonicTime(true, nanos);
  }

  /** Returns the clock's reading at this moment, or {@code fallbackNanos} for {@link #NEVER}. */
  public long nanosOr(long fallbackNanos) {
    return happened ? nanos : fallbackNanos;
  }

  /** Returns the earlier of two moments. */
  public static MonotonicTime earlier(MonotonicTime first, MonotonicTime second) {
    return first.isBefore(second) ? first : second;
  }

  /** Returns the later of two moments. */
  public static MonotonicTime later(MonotonicTime first, MonotonicTime second) {
    return first.isBefore(second) ? second : first;
  }

  /** Returns whether this moment is before the other; {@link #NEVER} is before every moment. */
  public boolean isBefore(MonotonicTime other) {
    return other.happened && (!happened || nanos < other.nanos);
  }

  /** Returns whether this moment is less than {@code ageNanos} ago; false for {@link #NEVER}. */
  public boolean isYoungerThan(long ageNanos, long nowNanos) {
    return happened && nowNanos < nanos + ageNanos;
  }

  /** Returns whether this moment is more than {@code ageNanos} ago; false for {@link #NEVER}. */
  public boolean isOlderThan(long ageNanos, long nowNanos) {
    return happened && nowNanos - nanos > ageNanos;
  }
}

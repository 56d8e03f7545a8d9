package org.sandford.machine;

/**
 * Holds the steady-clock time of an event's last occurrence, if there was any. Runs on the event
 * loop.
 */
final class LastOccurrence {
  private boolean happened;
  private long atNanos;

  /** Records that the event occurs now. */
  void mark(long now) {
    happened = true;
    atNanos = now;
  }

  /** Copies the time that another instance has recorded. */
  void copyFrom(LastOccurrence other) {
    happened = other.happened;
    atNanos = other.atNanos;
  }

  boolean hasHappened() {
    return happened;
  }

  /** Returns whether the event occurred more than the given seconds ago, or never. */
  boolean isOlderThan(double seconds, long now) {
    return !happened || (now - atNanos) / 1e9 > seconds;
  }

  /** Returns whether the event occurred less than the given seconds ago. */
  boolean isWithin(double seconds, long now) {
    return happened && (now - atNanos) / 1e9 < seconds;
  }

  /** Returns whether the event occurred more than the given milliseconds ago, or never. */
  boolean isOlderThanMs(long millis, long now) {
    return !happened || now - atNanos > millis * 1_000_000L;
  }
}

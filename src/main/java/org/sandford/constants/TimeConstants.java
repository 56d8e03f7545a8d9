package org.sandford.constants;

/** Clocks, event batching and the summary in the log. */
public final class TimeConstants {
  private TimeConstants() {}

  /** Nanoseconds per second. */
  public static final double NANOS_PER_S = 1e9;

  /** Maximum relative drift of two monotonic clocks, doubled as both ends of a bound may drift. */
  public static final double MAX_CLOCK_DRIFT = 0.001;

  /** Seconds added to bounds that end in a kill, as timers fire late when the CPU is overloaded. */
  public static final double KILL_MARGIN_S = 1.5;

  /** Milliseconds for which events are batched under load; far below what callers wait for. */
  public static final int BATCH_WINDOW_MS = 20;

  /** Interval between batches, in batch windows, from which events are handled at once. */
  public static final int BATCH_IDLE_FACTOR = 2;

  /** Milliseconds between two summaries in the log. */
  public static final int SUMMARY_MS = 30_000;
}

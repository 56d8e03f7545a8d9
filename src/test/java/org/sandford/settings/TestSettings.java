package org.sandford.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Builds settings for unit tests; a test sets the values that it depends on. */
public final class TestSettings {
  private static final Settings.Endpoint ANY_ENDPOINT = new Settings.Endpoint("c0", 80);

  private double leaseS = 16;
  private double cancelS = 46;
  private int stateValueBytes = 16_384;
  private int stateTxnOps = 24;

  /** Sets the seconds of a worker's lease, and those within which a cancelled job's tasks end. */
  public TestSettings withLeases(double newLeaseS, double newCancelS) {
    leaseS = newLeaseS;
    cancelS = newCancelS;
    return this;
  }

  /** Sets the store's limits: bytes of a value, and operations of a transaction. */
  public TestSettings withStoreLimits(int valueBytes, int txnOps) {
    stateValueBytes = valueBytes;
    stateTxnOps = txnOps;
    return this;
  }

  /** Returns the platform's facts for two zones, three controllers and no teams. */
  public Settings.Facts facts() {
    return new Settings.Facts(
        List.of("a", "b"),
        Map.of(),
        2,
        leaseS,
        cancelS,
        30,
        8,
        250,
        50,
        stateValueBytes,
        stateTxnOps,
        5,
        5,
        500,
        3);
  }

  /** Returns the settings of the controller {@code label} beside {@code otherLabels}. */
  public Settings of(String label, String... otherLabels) {
    List<Settings.Other> others =
        Arrays.stream(otherLabels)
            .map(other -> new Settings.Other(other, "a", ANY_ENDPOINT))
            .toList();
    return new Settings(
        label,
        "a",
        ANY_ENDPOINT,
        ANY_ENDPOINT,
        others,
        ANY_ENDPOINT,
        ANY_ENDPOINT,
        facts(),
        new Settings.Operators(1_000, true, 30));
  }
}

package org.sandford.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Builds settings for unit tests; a test sets the values that it depends on. */
public final class TestSettings {
  private static final Settings.Endpoint ANY_ENDPOINT = new Settings.Endpoint("c0", 80);

  private double leaseS = 16;
  private double cancelS = 46;
  private int storeValueBytes = 16_384;
  private int storeTxnOps = 24;

  /** Sets the seconds of a worker's lease, and those within which a cancelled job's tasks end. */
  public TestSettings withLeases(double newLeaseS, double newCancelS) {
    leaseS = newLeaseS;
    cancelS = newCancelS;
    return this;
  }

  /** Sets the store's limits: bytes of a value, and operations of a transaction. */
  public TestSettings withStoreLimits(int valueBytes, int txnOps) {
    storeValueBytes = valueBytes;
    storeTxnOps = txnOps;
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
        storeValueBytes,
        storeTxnOps,
        5,
        5,
        500,
        3);
  }

  /** Returns the settings of the controller {@code label} beside {@code peerLabels}. */
  public Settings of(String label, String... peerLabels) {
    List<Settings.Peer> peers =
        Arrays.stream(peerLabels)
            .map(peerLabel -> new Settings.Peer(peerLabel, "a", ANY_ENDPOINT))
            .toList();
    return new Settings(
        label,
        "a",
        ANY_ENDPOINT,
        ANY_ENDPOINT,
        peers,
        ANY_ENDPOINT,
        ANY_ENDPOINT,
        facts(),
        new Settings.Operators(1_000, true, 30));
  }
}

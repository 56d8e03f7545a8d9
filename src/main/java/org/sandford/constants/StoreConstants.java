package org.sandford.constants;

/** Requests to the key-value store. */
public final class StoreConstants {
  private StoreConstants() {}

  /** Share of the store's rate limits that one controller uses; bursts of others use the rest. */
  public static final double STORE_RATE_SHARE = 0.6;

  /** Milliseconds to wait for an answer of the store, except to renewals and watches. */
  public static final int STORE_CALL_TIMEOUT_MS = 1_500;

  /** Milliseconds before a request that the store refused (429, 503) is retried. */
  public static final int STORE_RETRY_MS = 200;

  /** Share of a full token bucket that suffices for a request of any size. */
  public static final double BUCKET_SUFFICIENT_SHARE = 0.25;

  /** Maximum attempts to send a request that the store rejects for its rate (429). */
  public static final int STORE_MAX_ATTEMPTS = 5;

  /** Share of a second's write rate that must be unused before progress is written. */
  public static final double SPARE_WRITE_RATE_SHARE = 0.5;

  /** Maximum bytes of a transaction's body: the protocol's 64 KiB less room for its framing. */
  public static final int STORE_TXN_MAX_BYTES = 56 * 1024;

  /** Maximum transactions of job records in flight; more would only queue in the store. */
  public static final int MAX_TXNS_IN_FLIGHT = 4;

  /** Keys in one page of a listing, the protocol's maximum. */
  public static final int STORE_PAGE_SIZE = 1_000;
}

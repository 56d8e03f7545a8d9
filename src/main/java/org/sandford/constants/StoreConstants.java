package org.sandford.constants;

/** Requests to the key-value store. */
public final class StoreConstants {
  private StoreConstants() {}

  /** Share of the store's rates that one controller uses; the others' bursts need the rest. */
  public static final double STORE_RATE_SHARE = 0.6;

  /** Milliseconds to wait for an ordinary answer of the store. */
  public static final int STORE_CALL_TIMEOUT_MS = 1_500;

  /** Milliseconds before a request that the store refused (429, 503) is sent again. */
  public static final int STORE_RETRY_MS = 200;

  /** Share of a full token bucket that is enough for a request of any size. */
  public static final double BUCKET_SUFFICIENT_SHARE = 0.25;

  /** Times that a request is sent at the most which the store refuses for its rate alone. */
  public static final int STORE_MAX_ATTEMPTS = 5;

  /** Share of a second's write rate that must be left over for writes that nobody waits for. */
  public static final double SPARE_WRITE_RATE_SHARE = 0.5;

  /** Bytes of a transaction's body at the most: the protocol's 64 KiB without its frame. */
  public static final int STORE_TXN_MAX_BYTES = 56 * 1024;

  /** Transactions of job records in flight at once: more would only wait in the store. */
  public static final int MAX_TXNS_IN_FLIGHT = 4;

  /** Keys in one page of a listing, the protocol's most. */
  public static final int STORE_PAGE_SIZE = 1_000;
}

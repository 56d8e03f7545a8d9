package org.sandford.store;

/** The outcome of reading one key. */
public sealed interface ReadResult {
  /** The key exists. */
  record Found(StoreClient.Entry entry) implements ReadResult {}

  /** The store answered that the key does not exist. */
  record Absent() implements ReadResult {}

  /** The store refused, did not answer or was not asked, so nothing is known about the key. */
  record Unavailable() implements ReadResult {}
}

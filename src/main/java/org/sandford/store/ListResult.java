package org.sandford.store;

import java.util.List;

/** The outcome of listing the keys under a prefix. */
public sealed interface ListResult {
  /**
   * All pages were read.
   *
   * @param entries the keys with their values, in the store's order
   * @param revision the store's revision at the first page; a watch from it misses no change
   */
  record Listed(List<StoreClient.Entry> entries, long revision) implements ListResult {}

  /** A page could not be read; the entries of the other pages are discarded. */
  record Unavailable() implements ListResult {}
}

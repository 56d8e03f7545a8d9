package org.sandford.store;

import java.util.List;

/** The outcome of one watch request, which waits for changes under a prefix. */
public sealed interface WatchResult {
  /**
   * The store answered; without changes if its time to wait ended first.
   *
   * @param revision the revision up to which the changes are complete; the next watch starts there
   * @param changes the latest change of each key
   */
  record Changes(long revision, List<KeyChange> changes) implements WatchResult {}

  /** The store no longer keeps the requested changes, so the prefix must be listed again. */
  record Compacted() implements WatchResult {}

  /** The store refused or did not answer; the same watch may be repeated. */
  record Unavailable() implements WatchResult {}
}

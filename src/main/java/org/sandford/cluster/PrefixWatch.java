package org.sandford.cluster;

import java.util.List;
import org.sandford.constants.StoreConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.MonotonicTime;
import org.sandford.store.KeyChange;
import org.sandford.store.ListResult;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;
import org.sandford.store.WatchResult;

/**
 * Lists a prefix of the store and then watches it from the listing's revision on, without end. If
 * the store has compacted the changes that are missing here, the prefix is listed again. While the
 * store does not answer, the request is repeated every {@link StoreConstants#STORE_RETRY_MS}. Runs
 * on the event loop.
 */
final class PrefixWatch {
  /** Receives the entries and changes in the store's order. */
  interface Handler {
    /** All keys were listed, at first and whenever changes were missed. */
    void listed(List<Entry> entries);

    /** After {@link #listed}, once {@link #revision()} and {@link #freshAt()} cover the listing. */
    void caughtUp();

    /** Keys changed; {@link #revision()} covers the changes already. */
    void changed(List<KeyChange> changes);
  }

  private final EventLoop loop;
  private final StoreClient store;
  private final String listedPrefix;
  private final String watchedPrefix;
  private final Handler handler;

  private boolean loaded;
  private long revision;
  private MonotonicTime freshAt = MonotonicTime.NEVER;

  /**
   * Creates a watch that has not started.
   *
   * @param listedPrefix the prefix to list: the watched one, or one without keys where only changes
   *     matter
   */
  PrefixWatch(
      EventLoop loop,
      StoreClient store,
      String listedPrefix,
      String watchedPrefix,
      Handler handler) {
    this.loop = loop;
    this.store = store;
    this.listedPrefix = listedPrefix;
    this.watchedPrefix = watchedPrefix;
    this.handler = handler;
  }

  /** Returns whether the prefix was listed at least once. */
  boolean loaded() {
    return loaded;
  }

  /** Returns the store's revision up to which everything was handled; valid once loaded. */
  long revision() {
    return revision;
  }

  /** Returns the moment up to which the store's changes were handled here. */
  MonotonicTime freshAt() {
    return freshAt;
  }

  void start() {
    list();
  }

  private void list() {
    long sentAt = loop.nanos();
    store.list(
        listedPrefix,
        result -> {
          if (result instanceof ListResult.Listed listed) {
            handler.listed(listed.entries());
            loaded = true;
            revision = listed.revision();
            freshAt = MonotonicTime.ofNanos(sentAt);
            handler.caughtUp();
            watch();
          } else {
            loop.after(StoreConstants.STORE_RETRY_MS, this::list);
          }
        });
  }

  private void watch() {
    long sentAt = loop.nanos();
    store.watch(
        watchedPrefix,
        revision,
        result -> {
          if (result instanceof WatchResult.Changes changes) {
            handle(changes);
            freshAt = MonotonicTime.ofNanos(sentAt);
            watch();
          } else if (result instanceof WatchResult.Compacted) {
            list();
          } else {
            loop.after(StoreConstants.STORE_RETRY_MS, this::watch);
          }
        });
  }

  private void handle(WatchResult.Changes result) {
    revision = Math.max(revision, result.revision());
    if (!result.changes().isEmpty()) {
      handler.changed(result.changes());
    }
  }
}

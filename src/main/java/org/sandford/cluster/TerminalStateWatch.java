package org.sandford.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.sandford.audit.AuditLog;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.MonotonicTime;
import org.sandford.store.KeyChange;
import org.sandford.store.OpenJobReader;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;

/**
 * Watches the terminal states of jobs that any controller stores. Those stored before the watch
 * began are not read. Runs on the event loop.
 */
final class TerminalStateWatch implements PrefixWatch.Handler {
  /** Notified on the event loop. */
  interface Listener {
    /** A job's terminal state was stored. */
    void jobEnded(String jobId, JsonNode record);

    /** Terminal states may have been stored that the watch missed. */
    void terminalStatesMissed();
  }

  /** No key has this prefix, so listing it is the cheapest way to get the store's revision. */
  private static final String UNUSED_PREFIX = "none/";

  private final PrefixWatch watch;
  private final AuditLog audit;
  private final Listener listener;
  private MonotonicTime completeSince = MonotonicTime.NEVER;

  TerminalStateWatch(EventLoop loop, StoreClient store, AuditLog audit, Listener listener) {
    this.watch = new PrefixWatch(loop, store, UNUSED_PREFIX, OpenJobReader.TERMINAL_PREFIX, this);
    this.audit = audit;
    this.listener = listener;
  }

  void start() {
    watch.start();
  }

  /** Returns the moment up to which the terminal states stored since the start are known here. */
  MonotonicTime freshAt() {
    return watch.freshAt();
  }

  /** Returns the moment before which terminal states may have been stored that are unknown here. */
  MonotonicTime completeSince() {
    return completeSince;
  }

  @Override
  public void listed(List<Entry> entries) {
    // Only the listing's revision is used.
  }

  @Override
  public void caughtUp() {
    completeSince = watch.freshAt();
    listener.terminalStatesMissed();
  }

  @Override
  public void changed(List<KeyChange> changes) {
    for (KeyChange change : changes) {
      if (change instanceof Entry entry) {
        String jobId = entry.key().substring(OpenJobReader.TERMINAL_PREFIX.length());
        String state = entry.value().path("s").asText();
        audit.terminalStateLearned(jobId, state, AuditLog.LearnedBy.WATCH, entry.revision());
        listener.jobEnded(jobId, entry.value());
      }
    }
  }
}

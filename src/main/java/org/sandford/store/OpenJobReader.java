package org.sandford.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sandford.audit.AuditLog;
import org.sandford.constants.StoreConstants;
import org.sandford.model.JobSpec;
import org.sandford.runtime.EventLoop;
import org.sandford.store.StoreClient.Entry;

/**
 * Lists the open jobs. An open job is stored under {@link #OPEN_PREFIX}. When it ends, only its
 * terminal state remains, under {@link #TERMINAL_PREFIX}, which keeps the listing short. Runs on
 * the event loop.
 */
public final class OpenJobReader {
  /** Prefix of the keys of open jobs. */
  public static final String OPEN_PREFIX = "job/";

  /** Prefix of the keys of terminal states. */
  public static final String TERMINAL_PREFIX = "fin/";

  private final EventLoop loop;
  private final StoreClient store;
  private final AuditLog audit;

  /** Callers whose listing has not started. */
  private List<Consumer<Map<String, Entry>>> queuedCallers = new ArrayList<>();

  private boolean listingInProgress;

  /** Creates a reader; nothing is read yet. */
  public OpenJobReader(EventLoop loop, StoreClient store, AuditLog audit) {
    this.loop = loop;
    this.store = store;
    this.audit = audit;
  }

  /** Returns the specification in an open job's record. */
  public static JobSpec readSpec(String id, JsonNode record) {
    return JobSpec.fromJson(id, record.path("s"));
  }

  /**
   * Lists all open jobs by id. The listing starts after this call, so a job that was stored before
   * and is missing from it has ended. It is repeated until the store answers.
   */
  public void listOpenJobs(Consumer<Map<String, Entry>> onListed) {
    queuedCallers.add(onListed);
    list();
  }

  private void list() {
    if (listingInProgress || queuedCallers.isEmpty()) {
      return;
    }
    listingInProgress = true;
    long startedAtNanos = loop.nanos();
    List<Consumer<Map<String, Entry>>> callers = queuedCallers;
    queuedCallers = new ArrayList<>();
    store.list(
        OPEN_PREFIX,
        result -> {
          listingInProgress = false;
          if (result instanceof ListResult.Listed listed) {
            audit.openJobsListed(
                listed.entries().size(), listed.revision(), (loop.nanos() - startedAtNanos) / 1e6);
            Map<String, Entry> jobs = jobsById(listed.entries());
            callers.forEach(caller -> caller.accept(jobs));
            list();
          } else {
            queuedCallers.addAll(0, callers);
            loop.after(StoreConstants.STORE_RETRY_MS, this::list);
          }
        });
  }

  private static Map<String, Entry> jobsById(List<Entry> entries) {
    Map<String, Entry> jobs = new HashMap<>();
    entries.forEach(entry -> jobs.put(entry.key().substring(OPEN_PREFIX.length()), entry));
    return jobs;
  }
}

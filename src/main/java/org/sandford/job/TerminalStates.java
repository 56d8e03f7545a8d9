package org.sandford.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sandford.constants.ApiConstants;
import org.sandford.constants.CancellationConstants;
import org.sandford.runtime.EventLoop;

/**
 * Caches the terminal states of jobs, which never change. A missing entry proves nothing, except
 * for states that became known within {@link CancellationConstants#TERMINAL_STATE_RETENTION_S}: the
 * bounded cache may evict any entry, and a job that just ended must not look open again.
 *
 * <p>Runs on the event loop.
 */
public final class TerminalStates {
  /** The terminal record of a cancelled job of which nothing else is known. */
  public static final JsonNode CANCELLED_RECORD =
      JobRecordCodec.stateOnlyTerminalRecord(TerminalState.CANCELLED);

  /** A state that is kept until {@code expiresAt}, in nanoseconds of the loop's monotonic clock. */
  private record Retained(TerminalState state, long expiresAt) {}

  private final EventLoop loop;
  private final Map<String, Retained> recent = new LinkedHashMap<>();
  private final Cache<String, TerminalState> states =
      Caffeine.newBuilder()
          .maximumSize(ApiConstants.TERMINAL_STATE_CACHE_SIZE)
          .executor(Runnable::run)
          .build();

  /** Creates an empty cache whose entries age by the clock of {@code loop}. */
  public TerminalStates(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds the state in a stored terminal record. */
  public void put(String job, JsonNode terminalRecord) {
    put(job, JobRecordCodec.terminalState(terminalRecord));
  }

  /** Adds a terminal state that the store is known to hold. */
  public void put(String job, TerminalState state) {
    long now = loop.nanos();
    states.put(job, state);
    recent.putIfAbsent(
        job,
        new Retained(state, now + (long) (CancellationConstants.TERMINAL_STATE_RETENTION_S * 1e9)));
    Iterator<Retained> oldest = recent.values().iterator();
    while (oldest.hasNext() && oldest.next().expiresAt() < now) {
      oldest.remove();
    }
  }

  /** Returns the terminal state of the job, if it is cached here. */
  public Optional<TerminalState> get(String job) {
    Retained retained = recent.get(job);
    return Optional.ofNullable(retained != null ? retained.state() : states.getIfPresent(job));
  }

  /** Returns whether the job is known to have ended. */
  public boolean contains(String job) {
    return recent.containsKey(job) || states.getIfPresent(job) != null;
  }
}

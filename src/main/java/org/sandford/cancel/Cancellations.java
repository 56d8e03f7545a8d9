package org.sandford.cancel;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.sandford.constants.CancellationConstants;
import org.sandford.constants.PeerConstants;
import org.sandford.constants.TimeConstants;
import org.sandford.peer.wire.CancellationsRequest;
import org.sandford.peer.wire.CancellationsResponse;
import org.sandford.peer.wire.JobCancelled;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.MonotonicTime;
import org.sandford.settings.Settings;

/**
 * The bound on a cancelled job's tasks, and the one place that decides by it whether a worker's
 * lease may be renewed. Runs on the event loop.
 *
 * <p>Every cancellation that was confirmed to a user before some moment is known here, and its
 * tasks are stopped. One that was confirmed later may be unknown; its tasks end with their worker's
 * lease, which is never renewed later than {@code cancel_s - lease_s - margin} after that moment.
 * So they have ended within {@code cancel_s} of the confirmation, whoever is unreachable from here.
 *
 * <p>There are two ways to know. The store's watches cover what the store held when they were
 * opened. And each controller keeps a log of the cancellations that it confirmed, which the others
 * request: when all have responded, nothing is missing, also while the store is unavailable. A
 * response counts only if the assignment map is as new here as it was there, so that nobody renews
 * the leases of machines that another controller owns by then.
 */
public final class Cancellations {
  /** Notified on the event loop. */
  public interface Listener {
    /** Another controller has confirmed the cancellation; the job's terminal state is stored. */
    void cancelled(String job);
  }

  /** Sends messages to the other controllers. */
  public interface Peers {
    /** Sends to one controller; returns false when there is no link to it. */
    boolean request(String label, Object message);

    /** Sends to all controllers to which there is a link. */
    void requestAll(Object message);
  }

  /** What is known here of the store. */
  public interface Store {
    /** What the store held at this moment is known here: assignment map and terminal states. */
    MonotonicTime freshAt();

    /** Terminal states that were stored before this moment may be unknown here. */
    MonotonicTime terminalStatesCompleteSince();

    /** The machines' revision in the assignment map as it is known here. */
    long machinesRevision();
  }

  /** What is known here of one other controller's log of confirmed cancellations. */
  private static final class PeerLog {
    private String incarnationId = "";

    /** The cancellations of this incarnation up to this number are known here. */
    private long receivedUpTo;

    /**
     * What the peer's former incarnations confirmed is known once the store was read after this.
     */
    private MonotonicTime incarnationFirstSeenAt = MonotonicTime.NEVER;

    /** What this incarnation confirmed before this moment is known here. */
    private MonotonicTime coveredUntil = MonotonicTime.NEVER;

    /** What all former incarnations confirmed before this moment is known here. */
    private MonotonicTime formerIncarnationsCoveredUntil = MonotonicTime.NEVER;

    MonotonicTime coveredUntil(MonotonicTime storeFreshAt) {
      return storeFreshAt.isBefore(incarnationFirstSeenAt)
          ? formerIncarnationsCoveredUntil
          : coveredUntil;
    }

    /** Another incarnation, or a log that lost its beginning: the store tells what went before. */
    boolean hasGapBefore(CancellationsResponse response) {
      return !response.incarnation.equals(incarnationId) || response.since > receivedUpTo;
    }

    void restart(CancellationsResponse response, MonotonicTime now, MonotonicTime storeFreshAt) {
      formerIncarnationsCoveredUntil = coveredUntil(storeFreshAt);
      incarnationId = response.incarnation;
      incarnationFirstSeenAt = now;
      coveredUntil = MonotonicTime.NEVER;
      receivedUpTo = response.upTo;
    }
  }

  private final EventLoop loop;
  private final Settings settings;
  private final Peers peers;
  private final Store store;
  private final Supplier<String> incarnationId;
  private final Map<String, PeerLog> peerLogs = new LinkedHashMap<>();

  /**
   * The latest cancellations that this controller confirmed, in order; the last one has the number
   * {@link #confirmedCount}.
   */
  private final Set<String> confirmedJobs = new LinkedHashSet<>();

  private final MonotonicTime createdAt;
  private long confirmedCount;
  private Listener listener;

  /**
   * Makes the bound; {@link #start} begins the exchange with the peers.
   *
   * @param incarnationId this controller's incarnation id, or an empty text before the first
   */
  public Cancellations(
      EventLoop loop, Settings settings, Peers peers, Store store, Supplier<String> incarnationId) {
    this.loop = loop;
    this.settings = settings;
    this.peers = peers;
    this.store = store;
    this.incarnationId = incarnationId;
    this.createdAt = MonotonicTime.ofNanos(loop.nanos());
    settings.others().forEach(other -> peerLogs.put(other.label(), new PeerLog()));
  }

  /** Begins to request the peers' logs once a heartbeat; called once. */
  public void start(Listener cancellationListener) {
    listener = cancellationListener;
    loop.every(PeerConstants.PEER_HEARTBEAT_MS, this::requestPeerLogs);
  }

  /**
   * Whether the lease of a worker may be renewed now.
   *
   * @param jobsKnown whether the jobs of all its tasks were looked up
   */
  public boolean mayRenew(boolean jobsKnown) {
    Settings.Facts facts = settings.facts();
    long now = loop.nanos();
    double graceS =
        facts.cancelS() * (1 - TimeConstants.CLOCK_DRIFT)
            - facts.leaseS()
            - TimeConstants.KILL_MARGIN_S;
    if (!knowsCancellationsOlderThan(nanos(graceS), now)) {
      return false;
    }
    // A task that was not looked up may be of a job that was cancelled before this controller
    // started: the bound that other controllers kept ends it within cancel_s.
    double boundS = facts.cancelS() * (1 + TimeConstants.CLOCK_DRIFT) + TimeConstants.KILL_MARGIN_S;
    return jobsKnown || store.terminalStatesCompleteSince().isOlderThan(nanos(boundS), now);
  }

  /** Whether every cancellation is known here that anybody confirmed so long ago. */
  private boolean knowsCancellationsOlderThan(long graceNanos, long now) {
    MonotonicTime storeFreshAt = store.freshAt();
    if (storeFreshAt.isYoungerThan(graceNanos, now)) {
      return true;
    }
    // What was confirmed before the start stands only in the store.
    if (storeFreshAt.isBefore(createdAt)) {
      return false;
    }
    for (PeerLog peerLog : peerLogs.values()) {
      if (!peerLog.coveredUntil(storeFreshAt).isYoungerThan(graceNanos, now)) {
        return false;
      }
    }
    return graceNanos > 0;
  }

  private static long nanos(double seconds) {
    return (long) (seconds * 1e9);
  }

  /**
   * A cancellation is about to be confirmed to a user: it is logged, and the other controllers are
   * notified at once.
   */
  public void confirmed(String job) {
    if (!confirmedJobs.add(job)) {
      return;
    }
    confirmedCount++;
    if (confirmedJobs.size() > CancellationConstants.CANCELLATION_LOG_SIZE) {
      confirmedJobs.remove(confirmedJobs.iterator().next());
    }
    peers.requestAll(new JobCancelled(job));
  }

  private void requestPeerLogs() {
    peerLogs.forEach(
        (label, peerLog) ->
            peers.request(
                label,
                new CancellationsRequest(
                    loop.nanos(), peerLog.incarnationId, peerLog.receivedUpTo)));
  }

  /**
   * Responds to another controller's request with what it lacks of this controller's log. The
   * response covers all that was confirmed before it; null before the first incarnation.
   */
  public CancellationsResponse handleRequest(CancellationsRequest request) {
    String ownIncarnation = incarnationId.get();
    if (ownIncarnation.isEmpty()) {
      return null;
    }
    long discardedCount = confirmedCount - confirmedJobs.size();
    long since =
        ownIncarnation.equals(request.incarnation)
            ? Math.max(request.seen, discardedCount)
            : discardedCount;
    // Nearly always nothing is lacking, and each controller asks with every heartbeat.
    List<String> jobs =
        since == confirmedCount
            ? List.of()
            : confirmedJobs.stream().skip(since - discardedCount).toList();
    return new CancellationsResponse(
        request.sentAt, ownIncarnation, since, confirmedCount, jobs, store.machinesRevision());
  }

  /** Takes another controller's response; the cancellations in it are passed to the listener. */
  public void handleResponse(String peerLabel, CancellationsResponse response) {
    PeerLog peerLog = peerLogs.get(peerLabel);
    if (peerLog == null) {
      return;
    }
    response.jobs.forEach(listener::cancelled);
    if (peerLog.hasGapBefore(response)) {
      peerLog.restart(response, MonotonicTime.ofNanos(loop.nanos()), store.freshAt());
    }
    peerLog.receivedUpTo = Math.max(peerLog.receivedUpTo, response.upTo);
    if (store.machinesRevision() >= response.machinesRevision) {
      peerLog.coveredUntil =
          MonotonicTime.later(peerLog.coveredUntil, MonotonicTime.ofNanos(response.sentAt));
    }
  }

  /** Another controller is about to confirm a cancellation to a user. */
  public void handleNotification(JobCancelled message) {
    listener.cancelled(message.job);
  }
}

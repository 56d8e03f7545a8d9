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
 * Bounds how long the tasks of a cancelled job can still run: the only class that decides whether a
 * worker's lease may be renewed. Runs on the event loop.
 *
 * <p>This controller knows every cancellation that was confirmed to a user before a certain moment,
 * and stops the tasks of those jobs. It may not know later ones; their tasks end with their
 * worker's lease, which is never renewed later than {@code cancel_s - lease_s - margin} after that
 * moment. So they end within {@code cancel_s} of the confirmation, whatever is unreachable from
 * here.
 *
 * <p>The moment follows from either of two sources. The store's watches cover what the store held
 * when they were opened. And each controller keeps a log of the cancellations that it confirmed,
 * which the others request: once all have responded, none is missing, even while the store is
 * unavailable. A response counts only if the local assignment map is at least as new as the
 * responder's, so that no controller renews the leases of machines that another one owns by then.
 */
public final class Cancellations {
  /** Notified on the event loop. */
  public interface Listener {
    /** Another controller confirms the cancellation; the job's terminal state is stored. */
    void cancelled(String job);
  }

  /** Sends messages to the other controllers. */
  public interface Peers {
    /** Sends to one controller; returns false if there is no link to it. */
    boolean request(String label, Object message);

    /** Sends to all controllers to which there is a link. */
    void requestAll(Object message);
  }

  /** Reports how current this controller's view of the store is. */
  public interface StoreView {
    /**
     * Returns the moment up to which the store's assignment map and terminal states are known here.
     */
    MonotonicTime freshAt();

    /**
     * Returns the moment before which terminal states may have been stored that are unknown here.
     */
    MonotonicTime terminalStatesCompleteSince();

    /** Returns the machines' revision in the local copy of the assignment map. */
    long machinesRevision();
  }

  /** The known part of one other controller's log of confirmed cancellations. */
  private static final class PeerLog {
    private String incarnationId = "";

    /** All cancellations of this incarnation up to this number are known here. */
    private long receivedUpTo;

    /**
     * When this incarnation, or a gap in its log, was first seen. What was confirmed before is
     * known once the store was read after this moment.
     */
    private MonotonicTime restartedAt = MonotonicTime.NEVER;

    /** All that this incarnation confirmed before this moment is known here. */
    private MonotonicTime coveredUntil = MonotonicTime.NEVER;

    /** All that former incarnations confirmed before this moment is known here. */
    private MonotonicTime formerIncarnationsCoveredUntil = MonotonicTime.NEVER;

    MonotonicTime coveredUntil(MonotonicTime storeFreshAt) {
      return storeFreshAt.isBefore(restartedAt) ? formerIncarnationsCoveredUntil : coveredUntil;
    }

    /**
     * Returns whether the response is of another incarnation, or of a log that lost its beginning:
     * what went before is only in the store.
     */
    boolean hasGapBefore(CancellationsResponse response) {
      return !response.incarnation.equals(incarnationId) || response.since > receivedUpTo;
    }

    void restart(CancellationsResponse response, MonotonicTime now, MonotonicTime storeFreshAt) {
      formerIncarnationsCoveredUntil = coveredUntil(storeFreshAt);
      incarnationId = response.incarnation;
      restartedAt = now;
      coveredUntil = MonotonicTime.NEVER;
      receivedUpTo = response.upTo;
    }
  }

  private final EventLoop loop;
  private final Settings settings;
  private final Peers peers;
  private final StoreView storeView;
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
   * Creates an instance; {@link #start} begins the exchange with the peers.
   *
   * @param incarnationId returns this controller's incarnation id, or "" before the first
   */
  public Cancellations(
      EventLoop loop,
      Settings settings,
      Peers peers,
      StoreView storeView,
      Supplier<String> incarnationId) {
    this.loop = loop;
    this.settings = settings;
    this.peers = peers;
    this.storeView = storeView;
    this.incarnationId = incarnationId;
    this.createdAt = MonotonicTime.ofNanos(loop.nanos());
    settings.peers().forEach(peer -> peerLogs.put(peer.label(), new PeerLog()));
  }

  /** Begins to request the peers' logs once a heartbeat; called once. */
  public void start(Listener cancellationListener) {
    listener = cancellationListener;
    loop.every(PeerConstants.PEER_HEARTBEAT_MS, this::requestPeerLogs);
  }

  /**
   * Returns whether the lease of a worker may be renewed now.
   *
   * @param jobsConfirmedOpen whether the job of each task on its machine is confirmed as open
   */
  public boolean mayRenewWorkerLease(boolean jobsConfirmedOpen) {
    Settings.Facts facts = settings.facts();
    long now = loop.nanos();
    double graceS =
        facts.cancelS() * (1 - TimeConstants.MAX_CLOCK_DRIFT)
            - facts.leaseS()
            - TimeConstants.KILL_MARGIN_S;
    if (!knowsCancellationsOlderThan(nanos(graceS), now)) {
      return false;
    }
    // A task whose job is not confirmed may be of a job that was cancelled before this controller
    // started. The other controllers applied the same bound, so such a task ends within cancel_s.
    double boundS =
        facts.cancelS() * (1 + TimeConstants.MAX_CLOCK_DRIFT) + TimeConstants.KILL_MARGIN_S;
    return jobsConfirmedOpen
        || storeView.terminalStatesCompleteSince().isOlderThan(nanos(boundS), now);
  }

  /**
   * Returns whether every cancellation that any controller confirmed at least this long ago is
   * known here.
   */
  private boolean knowsCancellationsOlderThan(long graceNanos, long now) {
    MonotonicTime storeFreshAt = storeView.freshAt();
    if (storeFreshAt.isYoungerThan(graceNanos, now)) {
      return true;
    }
    // Cancellations confirmed before this controller started are only in the store.
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
   * Logs a cancellation that is about to be confirmed to a user and notifies the other controllers
   * at once.
   */
  public void recordConfirmation(String job) {
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
   * Returns the part of this controller's log that the requester lacks, or null before the first
   * incarnation. The response covers all that was confirmed before it.
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
    // Each controller sends a request every heartbeat and nearly always lacks nothing.
    List<String> jobs =
        since == confirmedCount
            ? List.of()
            : confirmedJobs.stream().skip(since - discardedCount).toList();
    return new CancellationsResponse(
        request.sentAt, ownIncarnation, since, confirmedCount, jobs, storeView.machinesRevision());
  }

  /** Handles another controller's response and passes its cancellations to the listener. */
  public void handleResponse(String peerLabel, CancellationsResponse response) {
    PeerLog peerLog = peerLogs.get(peerLabel);
    if (peerLog == null) {
      return;
    }
    response.jobs.forEach(listener::cancelled);
    if (peerLog.hasGapBefore(response)) {
      peerLog.restart(response, MonotonicTime.ofNanos(loop.nanos()), storeView.freshAt());
    }
    peerLog.receivedUpTo = Math.max(peerLog.receivedUpTo, response.upTo);
    if (storeView.machinesRevision() >= response.machinesRevision) {
      peerLog.coveredUntil =
          MonotonicTime.later(peerLog.coveredUntil, MonotonicTime.ofNanos(response.sentAt));
    }
  }

  /** Handles the notice that another controller is about to confirm a cancellation to a user. */
  public void handleNotification(JobCancelled message) {
    listener.cancelled(message.job);
  }
}

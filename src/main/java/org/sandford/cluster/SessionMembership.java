package org.sandford.cluster;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sandford.constants.ClusterConstants;
import org.sandford.constants.StoreConstants;
import org.sandford.constants.TimeConstants;
import org.sandford.runtime.CallbackGuard;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;
import org.sandford.store.KeyChange;
import org.sandford.store.LeaseGrant;
import org.sandford.store.LeaseRenewal;
import org.sandford.store.ReadResult;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;
import org.sandford.store.StoreClient.Op;
import org.sandford.store.StoreClient.Outcome;
import org.sandford.store.StoreClient.Priority;
import org.sandford.store.StoreClient.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains this controller's session in the cluster: registers the next incarnation number in the
 * store, acquires a session lease, writes the membership key with it, and renews the lease. When
 * any of these is lost, it begins again with a new incarnation.
 *
 * <p>While {@link #isLeaseValid()}, no other controller can have taken over what this one owns: the
 * store removes the membership key only when the lease expires, and the lease's term is counted
 * here from before its request was sent. Runs on the event loop.
 */
final class SessionMembership {
  private static final Logger log = LoggerFactory.getLogger(SessionMembership.class);
  private static final String NUMBER_FIELD = "n";

  /** The steps to membership, in this order; any failure leads back to the first. */
  enum State {
    /** This attempt has not registered an incarnation number yet. */
    UNREGISTERED,
    /** The incarnation number is stored; a session lease is being requested. */
    REGISTERED,
    /** The session lease was granted; the membership key is being written. */
    LEASED,
    /** The membership key is stored with the session lease. */
    MEMBER;

    boolean mayFollow(State previous) {
      return switch (this) {
        case UNREGISTERED -> true;
        case REGISTERED -> previous == UNREGISTERED;
        case LEASED -> previous == REGISTERED;
        case MEMBER -> previous == LEASED;
      };
    }
  }

  /** Notified on the event loop. */
  interface Listener {
    /** The membership key was written for this incarnation. */
    void joined(String incarnationId);

    /** The session lease became valid again or was lost. */
    void leaseChanged();
  }

  /**
   * An incarnation that the store has registered.
   *
   * @param revision the store's revision of the registration
   */
  private record Incarnation(String id, long number, long revision) {}

  private final EventLoop loop;
  private final Settings settings;
  private final StoreClient store;
  private final Listener listener;

  /** Guards the callbacks of one attempt to join and of the resulting membership. */
  private final CallbackGuard joinAttempts = new CallbackGuard();

  private State state = State.UNREGISTERED;
  private Optional<Incarnation> incarnation = Optional.empty();

  /** Valid from {@link State#LEASED} on. */
  private long leaseId;

  private long leaseExpiresAt;

  /** The store's revision of the membership key; valid in {@link State#MEMBER}. */
  private long memberRevision;

  private long lastRequestNumber;

  SessionMembership(EventLoop loop, Settings settings, StoreClient store, Listener listener) {
    this.loop = loop;
    this.settings = settings;
    this.store = store;
    this.listener = listener;
  }

  /**
   * Returns the latest registered incarnation's id, also while the controller joins again; ""
   * before the first.
   */
  String incarnationIdOrEmpty() {
    return incarnation.isPresent() ? incarnation.get().id : "";
  }

  /** Returns the latest registered incarnation's number, or 0 before the first. */
  long incarnationNumber() {
    return incarnation.isPresent() ? incarnation.get().number : 0;
  }

  /** Returns whether the id is that of the latest registered incarnation. */
  boolean isOwnIncarnation(String incarnationId) {
    return incarnation.isPresent() && incarnation.get().id.equals(incarnationId);
  }

  String label() {
    return settings.label();
  }

  /**
   * Returns whether this controller may act as owner or leader; holds until the current callback of
   * the event loop returns.
   */
  boolean isLeaseValid() {
    return state == State.MEMBER && loop.nanos() < leaseExpiresAt;
  }

  /** Returns the session lease's id in the store; only while {@link #isLeaseValid()}. */
  long leaseId() {
    return leaseId;
  }

  /** Returns a unique id for a request to a system other than the store. */
  String newRequestId() {
    return IncarnationIds.requestId(incarnationIdOrEmpty(), ++lastRequestNumber);
  }

  /**
   * Begins to join with a new incarnation; callbacks of earlier attempts are ignored from now on.
   */
  void join() {
    joinAttempts.beginAttempt();
    transitionTo(State.UNREGISTERED);
    leaseExpiresAt = loop.nanos();
    store.read(incarnationKey(), Priority.LIVENESS, joinAttempts.guard(this::onIncarnationRead));
  }

  /**
   * Handles a change of this controller's membership key. If the store applies a former
   * incarnation's write late, that write replaces the key, and the key is removed with the former
   * lease; the controller then joins again.
   */
  void memberKeyChanged(KeyChange change) {
    boolean ownValue =
        change instanceof Entry entry && isOwnIncarnation(IncarnationIds.read(entry.value()));
    if (state == State.MEMBER && !ownValue && change.revision() > memberRevision) {
      log.info("membership key overwritten, joining again incarnation={}", incarnationIdOrEmpty());
      join();
    }
  }

  private String incarnationKey() {
    return RecordVersions.INCARNATION_PREFIX + settings.label();
  }

  private void transitionTo(State next) {
    if (!next.mayFollow(state)) {
      throw new IllegalStateException("membership cannot go from " + state + " to " + next);
    }
    log.debug("membership state changed from={} to={}", state, next);
    state = next;
  }

  private void joinAgainSoon() {
    loop.after(StoreConstants.STORE_RETRY_MS, joinAttempts.guardTask(this::join));
  }

  private void onIncarnationRead(ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      Entry entry = found.entry();
      registerIncarnation(entry.value().path(NUMBER_FIELD).asLong() + 1, entry.revision());
    } else if (result instanceof ReadResult.Absent) {
      registerIncarnation(1, 0);
    } else {
      joinAgainSoon();
    }
  }

  private void registerIncarnation(long number, long previousRevision) {
    store.transact(
        Map.of(incarnationKey(), previousRevision),
        List.of(Op.put(incarnationKey(), RecordVersions.announcement(number))),
        Priority.LIVENESS,
        joinAttempts.guard(result -> onIncarnationRegistered(number, result)));
  }

  private void onIncarnationRegistered(long number, TransactionResult result) {
    // With an unknown outcome the number may be taken: the next attempt reads the key again.
    if (result.outcome() != Outcome.APPLIED) {
      joinAgainSoon();
      return;
    }
    String id = IncarnationIds.of(settings.label(), number);
    incarnation = Optional.of(new Incarnation(id, number, result.revision()));
    lastRequestNumber = 0;
    transitionTo(State.REGISTERED);
    acquireLease();
  }

  private void acquireLease() {
    long sentAt = loop.nanos();
    store.createLease(
        ClusterConstants.SESSION_LEASE_TTL_MS,
        joinAttempts.guard(
            grant -> {
              if (grant instanceof LeaseGrant.Granted granted) {
                onLeaseAcquired(granted.leaseId(), sentAt);
              } else {
                joinAgainSoon();
              }
            }));
  }

  private void onLeaseAcquired(long grantedId, long sentAt) {
    leaseId = grantedId;
    leaseExpiresAt = leaseExpiry(sentAt);
    transitionTo(State.LEASED);
    writeMemberKey(incarnation.orElseThrow());
  }

  /** Counts the lease's term from before its request was sent, on a clock that may be slow. */
  private static long leaseExpiry(long sentAt) {
    double usableMs =
        ClusterConstants.SESSION_LEASE_TTL_MS * (1 - TimeConstants.MAX_CLOCK_DRIFT)
            - ClusterConstants.SESSION_LEASE_MARGIN_MS;
    return sentAt + (long) (usableMs * 1e6);
  }

  private void writeMemberKey(Incarnation registered) {
    // The condition makes the write fail once a later incarnation is registered: applied late, it
    // would replace that incarnation's key.
    store.transact(
        Map.of(incarnationKey(), registered.revision),
        List.of(
            Op.putLeased(
                ClusterKeys.MEMBERS + settings.label(),
                IncarnationIds.toJson(registered.id),
                leaseId)),
        Priority.LIVENESS,
        joinAttempts.guard(result -> onMemberKeyWritten(registered, result)));
  }

  private void onMemberKeyWritten(Incarnation registered, TransactionResult result) {
    if (result.outcome() != Outcome.APPLIED) {
      joinAgainSoon();
      return;
    }
    memberRevision = result.revision();
    transitionTo(State.MEMBER);
    log.info("cluster joined incarnation={}", registered.id);
    scheduleRenewal();
    listener.joined(registered.id);
  }

  private void scheduleRenewal() {
    loop.after(ClusterConstants.SESSION_LEASE_RENEW_MS, joinAttempts.guardTask(this::renewLease));
  }

  private void renewLease() {
    long sentAt = loop.nanos();
    store.renewLease(leaseId, joinAttempts.guard(renewal -> onLeaseRenewed(renewal, sentAt)));
  }

  private void onLeaseRenewed(LeaseRenewal renewal, long sentAt) {
    if (renewal instanceof LeaseRenewal.Expired) {
      log.info("session lease expired, joining again incarnation={}", incarnationIdOrEmpty());
      join();
      listener.leaseChanged();
      return;
    }
    if (renewal instanceof LeaseRenewal.Renewed) {
      boolean wasValid = isLeaseValid();
      leaseExpiresAt = Math.max(leaseExpiresAt, leaseExpiry(sentAt));
      if (!wasValid) {
        log.info("session lease valid again incarnation={}", incarnationIdOrEmpty());
        listener.leaseChanged();
      }
    } else if (renewal instanceof LeaseRenewal.Unconfirmed unconfirmed && !isLeaseValid()) {
      log.debug("session lease not renewed status={}", unconfirmed.status());
    }
    scheduleRenewal();
  }
}

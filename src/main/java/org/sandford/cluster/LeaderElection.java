package org.sandford.cluster;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.sandford.audit.AuditLog;
import org.sandford.runtime.EventLoop;
import org.sandford.store.KeyChange;
import org.sandford.store.StoreClient;
import org.sandford.store.StoreClient.Entry;
import org.sandford.store.StoreClient.Op;
import org.sandford.store.StoreClient.Outcome;
import org.sandford.store.StoreClient.Priority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects the leader by compare-and-swap of one key that carries the leader's session lease. The
 * controller that writes the key leads until the key is removed or its session lease expires. Every
 * write of the assignment map has the key's revision as a condition, so a former leader's writes
 * fail. Runs on the event loop.
 */
final class LeaderElection {
  private static final Logger log = LoggerFactory.getLogger(LeaderElection.class);

  private record Leader(String incarnationId, String label, long revision) {}

  private final EventLoop loop;
  private final StoreClient store;
  private final AuditLog audit;
  private final SessionMembership membership;
  private final BooleanSupplier leaderKeyRead;
  private final Runnable onElected;

  private Optional<Leader> leader = Optional.empty();
  private long leaderChangedAt;
  private boolean campaigning;

  /**
   * Creates an election that waits for {@link #campaign}.
   *
   * @param leaderKeyRead whether the key was read, so that an empty leader means that there is none
   * @param onElected runs when this controller has become the leader
   */
  LeaderElection(
      EventLoop loop,
      StoreClient store,
      AuditLog audit,
      SessionMembership membership,
      BooleanSupplier leaderKeyRead,
      Runnable onElected) {
    this.loop = loop;
    this.store = store;
    this.audit = audit;
    this.membership = membership;
    this.leaderKeyRead = leaderKeyRead;
    this.onElected = onElected;
  }

  /** Returns whether this controller is the leader and its session lease is valid. */
  boolean isLeader() {
    return membership.isLeaseValid()
        && leader.isPresent()
        && membership.isOwnIncarnation(leader.get().incarnationId);
  }

  /** Returns the leader's incarnation id; only while there is a leader. */
  String leaderId() {
    return leader.orElseThrow().incarnationId;
  }

  /** Returns the leader's label, or "" if there is no leader. */
  String leaderLabel() {
    return leader.isPresent() ? leader.get().label : "";
  }

  /** Returns the revision of the leader's key, or 0 if there is no leader. */
  long leaderRevision() {
    return leader.isPresent() ? leader.get().revision : 0;
  }

  /** Returns the nanoseconds since the leader's key last changed as seen here. */
  long nanosSinceLeaderChange() {
    return loop.nanos() - leaderChangedAt;
  }

  /** Forgets the leader before the keys of a new listing are applied. */
  void forgetLeader() {
    leader = Optional.empty();
  }

  /** Applies a change of the leader's key. */
  void apply(KeyChange change) {
    if (change.revision() < leaderRevision()) {
      return;
    }
    leader = change instanceof Entry entry ? Optional.of(readLeader(entry)) : Optional.empty();
    leaderChangedAt = loop.nanos();
    String incarnationId = leader.map(Leader::incarnationId).orElse("");
    log.info("leader changed leader={}", incarnationId.isEmpty() ? "none" : incarnationId);
    audit.leaderChanged(incarnationId, leaderRevision());
  }

  private static Leader readLeader(Entry entry) {
    String id = IncarnationIds.read(entry.value());
    return new Leader(id, IncarnationIds.labelOf(id), entry.revision());
  }

  /**
   * Tries to become leader if there is no leader or it is a former incarnation of this controller.
   */
  void campaign() {
    if (campaigning || !membership.isLeaseValid() || !leaderKeyRead.getAsBoolean()) {
      return;
    }
    if (leader.isPresent() && !isOwnFormerIncarnation(leader.get())) {
      return;
    }
    campaigning = true;
    String candidate = membership.incarnationIdOrEmpty();
    Op claim =
        Op.putLeased(ClusterKeys.LEADER, IncarnationIds.toJson(candidate), membership.leaseId());
    store.transact(
        Map.of(ClusterKeys.LEADER, leaderRevision()),
        List.of(claim),
        Priority.LIVENESS,
        result -> {
          campaigning = false;
          if (result.outcome() != Outcome.APPLIED) {
            // The watch reports the winner; if there is none, the next campaign tries again.
            log.debug("leader election not won outcome={}", result.outcome());
          } else if (membership.isOwnIncarnation(candidate)) {
            apply(
                new Entry(ClusterKeys.LEADER, IncarnationIds.toJson(candidate), result.revision()));
            onElected.run();
          }
        });
  }

  private boolean isOwnFormerIncarnation(Leader current) {
    return current.label.equals(membership.label())
        && !membership.isOwnIncarnation(current.incarnationId);
  }
}

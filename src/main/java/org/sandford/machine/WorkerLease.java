package org.sandford.machine;

import org.sandford.constants.MachineConstants;
import org.sandford.constants.TimeConstants;

/**
 * Tracks the lease under which a worker runs its tasks. A worker kills its tasks when none of its
 * heartbeats was answered for {@code lease_s}; only then may they run elsewhere. Runs on the event
 * loop.
 */
final class WorkerLease {
  private final long assignedAt;
  private long lastHeartbeatAt;

  /** When this controller last answered a heartbeat, which renews the lease. */
  private final LastOccurrence lastRenewal = new LastOccurrence();

  /** When a message first showed that the worker has seen a token of this generation. */
  private final LastOccurrence generationFirstSeen = new LastOccurrence();

  private boolean expired;

  /** The last agent epoch whose lease was recorded as expired. */
  private long expiredEpoch;

  WorkerLease(long now) {
    assignedAt = now;
    lastHeartbeatAt = now;
  }

  /** Records a message of the worker, which ends an expiry. */
  void recordHeartbeat(boolean isGenerationSeen, long now) {
    if (isGenerationSeen && !generationFirstSeen.hasHappened()) {
      generationFirstSeen.mark(now);
    }
    lastHeartbeatAt = now;
    expired = false;
  }

  /** Records that a heartbeat is answered now. */
  void renew(long now) {
    lastRenewal.mark(now);
  }

  /** Copies the time of the last renewal from an earlier assignment of the same machine. */
  void copyRenewalFrom(WorkerLease former) {
    lastRenewal.copyFrom(former.lastRenewal);
  }

  /**
   * Returns the steady-clock time of the worker's last message, or of the machine's assignment if
   * there was none.
   */
  long lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  /** Returns the seconds since the worker's last message. */
  double silentS(long now) {
    return (now - lastHeartbeatAt) / 1e9;
  }

  /**
   * Returns whether the worker must have killed its tasks by now. If it has not seen this owner's
   * token, the former owner may have answered it for as long as that owner could renew leases.
   *
   * @param isGenerationSeen whether the worker has seen this owner's token
   * @param leaseS the deployment's {@code lease_s}
   * @param cancelS the deployment's {@code cancel_s}
   */
  boolean isExpiryCertain(boolean isGenerationSeen, double leaseS, double cancelS, long now) {
    double drift = 1 + TimeConstants.MAX_CLOCK_DRIFT;
    double ownLeaseS = leaseS * drift + TimeConstants.KILL_MARGIN_S;
    double formerLeaseS = cancelS * drift + MachineConstants.FORMER_LEASE_MARGIN_S;
    boolean ownLeaseExpired =
        lastRenewal.isOlderThan(ownLeaseS, now) && generationFirstSeen.isOlderThan(ownLeaseS, now);
    boolean formerLeaseExpired = isGenerationSeen || (now - assignedAt) / 1e9 > formerLeaseS;
    return ownLeaseExpired && formerLeaseExpired && silentS(now) > ownLeaseS;
  }

  /** Records that the lease has expired, and with it the agent epoch that held it. */
  void expire(long agentEpoch) {
    expired = true;
    expiredEpoch = agentEpoch;
  }

  /** Returns whether the lease has expired and no message of the worker has arrived since. */
  boolean isExpired() {
    return expired;
  }

  /**
   * Returns whether the lease of this agent epoch has expired, so that its messages were delayed.
   */
  boolean isExpiredEpoch(long agentEpoch) {
    return agentEpoch <= expiredEpoch;
  }
}

package org.sandford.machine;

import org.sandford.constants.MachineConstants;
import org.sandford.constants.TimeConstants;

/**
 * The lease under which a worker runs its tasks, as far as it is known here. A worker kills its
 * tasks when no heartbeat of it was answered for {@code lease_s}; only then may they run elsewhere.
 * Runs on the event loop.
 */
final class WorkerLease {
  private final long assignedAt;
  private long lastHeartbeatAt;

  /** When a heartbeat was last answered here, which renews the lease. */
  private final LastTime lastRenewal = new LastTime();

  /** When the worker was first known to have seen a token of this generation. */
  private final LastTime generationFirstSeen = new LastTime();

  private boolean expired;

  /** The last agent epoch whose lease has surely expired. */
  private long expiredEpoch;

  WorkerLease(long now) {
    assignedAt = now;
    lastHeartbeatAt = now;
  }

  /** Takes in a message of the worker. */
  void recordHeartbeat(boolean isGenerationSeen, long now) {
    if (isGenerationSeen && !generationFirstSeen.hasHappened()) {
      generationFirstSeen.mark(now);
    }
    lastHeartbeatAt = now;
    expired = false;
  }

  /** Takes in that a heartbeat is answered now. */
  void renew(long now) {
    lastRenewal.mark(now);
  }

  /** Takes over when the lease was renewed under an earlier entry of the same machine. */
  void copyRenewalFrom(WorkerLease former) {
    lastRenewal.copyFrom(former.lastRenewal);
  }

  /** Steady-clock time of the worker's last message; before any, of the machine's assignment. */
  long lastHeartbeatAt() {
    return lastHeartbeatAt;
  }

  /** Seconds since the worker's last message. */
  double silentS(long now) {
    return (now - lastHeartbeatAt) / 1e9;
  }

  /**
   * Whether the worker must have killed its tasks by now. A worker that has not seen this owner's
   * token may have been answered by the former owner for as long as that one could renew leases.
   *
   * @param isGenerationSeen whether the worker has seen this owner's token
   * @param leaseS the deployment's {@code lease_s}
   * @param cancelS the deployment's {@code cancel_s}
   */
  boolean isExpiryCertain(boolean isGenerationSeen, double leaseS, double cancelS, long now) {
    double drift = 1 + TimeConstants.CLOCK_DRIFT;
    double ownLeaseS = leaseS * drift + TimeConstants.KILL_MARGIN_S;
    double formerLeaseS = cancelS * drift + MachineConstants.INHERITED_LEASE_MARGIN_S;
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

  /** Whether the lease has expired and the worker has not been heard from since. */
  boolean isExpired() {
    return expired;
  }

  /** Whether the lease of this agent epoch has expired: its messages were delayed. */
  boolean isExpiredEpoch(long agentEpoch) {
    return agentEpoch <= expiredEpoch;
  }
}

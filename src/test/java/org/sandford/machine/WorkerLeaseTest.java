package org.sandford.machine;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests when a silent worker must have killed its tasks, with lease_s = 16 s and cancel_s = 46 s.
 */
class WorkerLeaseTest {
  private final WorkerLease lease = new WorkerLease(0);

  private static long at(double seconds) {
    return (long) (seconds * 1e9);
  }

  private boolean isExpiryCertain(boolean isGenerationSeen, double seconds) {
    return lease.isExpiryCertain(isGenerationSeen, 16, 46, at(seconds));
  }

  @Test
  void leaseOfWorkerThatSawOwnersTokenExpiresAfterLastRenewal() {
    lease.recordHeartbeat(true, at(10));
    lease.renew(at(10));
    assertFalse(isExpiryCertain(true, 26));
    assertTrue(isExpiryCertain(true, 28));
  }

  @Test
  void workerThatNeverSawOwnersTokenMayHoldFormerOwnersLease() {
    assertFalse(isExpiryCertain(false, 47));
    assertTrue(isExpiryCertain(false, 49));
  }

  @Test
  void heartbeatClearsExpiryButKeepsExpiredEpoch() {
    lease.expire(3);
    assertTrue(lease.isExpired());
    lease.recordHeartbeat(true, at(60));
    assertFalse(lease.isExpired());
    assertTrue(lease.isExpiredEpoch(3));
    assertFalse(lease.isExpiredEpoch(4));
  }
}

package org.sandford.store;

/** The outcome of requesting a lease. */
public sealed interface LeaseGrant {
  /** The store granted the lease with this id. */
  record Granted(long leaseId) implements LeaseGrant {}

  /** The store refused or did not answer. A lease that it granted nevertheless expires unused. */
  record Unavailable() implements LeaseGrant {}
}

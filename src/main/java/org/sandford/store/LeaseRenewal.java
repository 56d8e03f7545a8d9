package org.sandford.store;

/** The outcome of renewing a lease. */
public sealed interface LeaseRenewal {
  /** The lease is valid for its full time to live from the renewal on. */
  record Renewed() implements LeaseRenewal {}

  /** The store no longer knows the lease: it expired, and its keys are removed. */
  record Expired() implements LeaseRenewal {}

  /**
   * The store refused or did not answer; the lease may or may not have been renewed.
   *
   * @param status the HTTP status, or one of those that {@link
   *     org.sandford.runtime.HttpTransport.Reply} defines for requests without an answer
   */
  record Unconfirmed(int status) implements LeaseRenewal {}
}

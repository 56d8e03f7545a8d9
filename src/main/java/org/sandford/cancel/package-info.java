/**
 * Bounds how long the tasks of cancelled jobs can still run.
 *
 * <p><b>Duty.</b> Decides whether a worker's lease may be renewed, so that every task of a
 * cancelled job ends within {@code cancel_s} of the confirmation to the user, whatever part of the
 * cluster is unreachable. Exchanges confirmed cancellations with the other controllers.
 *
 * <p><b>Owned state.</b> In memory only: the log of this controller's confirmed cancellations and
 * what it knows of the other controllers' logs. The cancellations themselves are stored as terminal
 * states of jobs.
 *
 * <p><b>Thread.</b> Everything runs on the event loop.
 *
 * <p><b>Callers.</b> The API records cancellations that it confirms, the machine shard checks
 * before it renews a lease, and the controller passes on the peers' messages.
 */
package org.sandford.cancel;

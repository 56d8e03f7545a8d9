/**
 * Basis of all other packages: the event loop with its clock, the interfaces for HTTP and for
 * connections between controllers, JSON, and a rate limiter. {@code net} implements the interfaces
 * with Netty, tests implement them with a simulated clock.
 *
 * <p>Owns no state of the cluster and depends on no other package but the constants.
 */
package org.sandford.runtime;

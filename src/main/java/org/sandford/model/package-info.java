/**
 * Value types that several packages share: the specification of a job, the id of a task and the
 * response to a request.
 *
 * <p>Owns no state; all types are immutable and may be used on any thread. Any package above it may
 * use it; it depends only on {@code runtime}, {@code constants} and {@code audit}.
 */
package org.sandford.model;

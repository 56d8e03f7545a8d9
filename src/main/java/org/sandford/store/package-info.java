/**
 * Client of the consensus-backed key-value store.
 *
 * <p><b>Duty.</b> {@link org.sandford.store.StoreClient} maps the store's protocol to reads,
 * compare-and-swap transactions, leases and watches; {@link org.sandford.store.StoreRequestQueue}
 * sends the requests within the store's rate limits; {@link org.sandford.store.RecordWriter}
 * commits job records in groups; {@link org.sandford.store.OpenJobReader} lists the open jobs.
 *
 * <p><b>Owned state.</b> Requests that are queued or in flight. Nothing is cached.
 *
 * <p><b>Thread.</b> Everything runs on the event loop; callbacks run there exactly once. Failures
 * are result values, which distinguish an unknown outcome from a refusal.
 *
 * <p><b>Callers.</b> The packages {@code cluster}, {@code job} and {@code machine}.
 */
package org.sandford.store;

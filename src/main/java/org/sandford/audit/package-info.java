/**
 * The audit log.
 *
 * <p><b>Duty.</b> One line for each decision that guarantees to users depend on: what this
 * controller knew and by what authority it acted, in one form that is easy to search and to parse.
 *
 * <p><b>Owned state.</b> The counters of {@link org.sandford.audit.AuditLog} since the start.
 *
 * <p><b>Thread.</b> Everything runs on the event loop.
 *
 * <p><b>Callers.</b> Every package that makes such decisions; the controller logs the counters
 * periodically.
 */
package org.sandford.audit;

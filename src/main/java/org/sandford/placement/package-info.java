/**
 * Bin packing and preemption: decides which machines take the tasks of a job, and which tasks are
 * preempted for them.
 *
 * <p>Maps requests and candidates to plans. Owns no state, does no I/O, runs on the event loop of
 * its caller. Called by {@code job} for its teams; {@code scaling} uses its types to find out what
 * is missing.
 */
package org.sandford.placement;

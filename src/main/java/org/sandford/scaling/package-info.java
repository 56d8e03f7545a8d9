/**
 * Scales the fleet: provisions machines for waiting tasks, replaces failed machines, drains those
 * with little work and decommissions idle ones. Only the leader does so; every controller reads the
 * instance types.
 *
 * <p>State is kept in memory only and starts empty with each leader: the cloud's list and the
 * assignment map tell which machines exist. All of it runs on the event loop. Other packages use
 * only {@code Autoscaler}; {@code controller} assembles it and passes on the demand that peers
 * report, {@code api} reads the instance types.
 */
package org.sandford.scaling;

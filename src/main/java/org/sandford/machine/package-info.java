/**
 * Manages the machines of this controller's shard: their workers' heartbeats, commands to the
 * workers, reconciliation after a failover, and the snapshots published to all controllers.
 *
 * <p><b>State.</b> {@link org.sandford.machine.MachineRegistry} holds one {@link
 * org.sandford.machine.Machine} for each machine that the assignment map gives to this controller,
 * with its fencing tokens, its worker's lease, its tasks and its reservations. {@link
 * org.sandford.machine.MachineSnapshots} holds what the owners of all shards last published. This
 * state is not stored: after a restart, or when a machine changes its owner, it is rebuilt from
 * heartbeats, the open jobs in the store and the former owner's last snapshot.
 *
 * <p><b>Threads.</b> All classes run on the event loop and must be called from it.
 *
 * <p><b>Callers.</b> {@code controller} passes on requests of other controllers and changes of the
 * assignment map, {@code api} passes on heartbeats; {@code job} and {@code scaling} read the
 * snapshots. The package makes no decisions about jobs: it carries out requests of team owners and
 * ends tasks whose job has ended.
 */
package org.sandford.machine;

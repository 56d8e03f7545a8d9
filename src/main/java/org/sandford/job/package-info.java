/**
 * Manages the jobs of the teams that this controller owns: accepts and queues them, starts and
 * preempts their tasks, reconciles these tasks with machine snapshots, counts quota use, keeps the
 * jobs' records in the store, and answers requests about jobs.
 *
 * <p>Owns the open jobs of owned teams with their attempts; the next owner of a team rebuilds all
 * of it from the store and from machine snapshots. It also caches terminal states and the teams of
 * jobs of all controllers. Machines belong to {@code machine}: this package asks their owners to
 * start and stop tasks and never commands a worker.
 *
 * <p>All of it runs on the event loop. Called by {@code api} with users' requests and by {@code
 * controller} with changes of the assignment map and messages of other controllers.
 */
package org.sandford.job;

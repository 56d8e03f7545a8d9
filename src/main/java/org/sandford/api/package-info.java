/**
 * The HTTP interface: routes requests of users, workers and the load balancer, turns them into
 * typed requests, and forwards those about a job to the controller that owns the job's team.
 *
 * <p>Keeps the forwarded calls that await another controller's response, and the response times of
 * submissions, in memory only. Runs on the event loop. Called by the HTTP server with each request,
 * and by {@code controller} with requests and responses that other controllers forward.
 */
package org.sandford.api;

package org.sandford.machine;

/** The two ways in which a controller and a worker exchange messages. */
enum WorkerChannel {
  /** The worker's heartbeat, and the controller's response to it. */
  HEARTBEAT,
  /** A command that the controller sends to the worker, and the worker's reply to it. */
  COMMAND
}

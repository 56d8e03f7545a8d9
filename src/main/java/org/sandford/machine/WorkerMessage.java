package org.sandford.machine;

/**
 * The result of parsing a worker's document. It is sealed so that every caller must handle a
 * malformed one.
 */
sealed interface WorkerMessage permits Heartbeat, WorkerMessage.Malformed {
  /** The document is not a heartbeat, or contains an invalid task id. */
  enum Malformed implements WorkerMessage {
    MALFORMED
  }
}

package org.sandford.constants;

/** Limits and intervals of the links between controllers. */
public final class PeerConstants {
  private PeerConstants() {}

  /** Milliseconds between two heartbeats on a peer link. */
  public static final int PEER_HEARTBEAT_MS = 700;

  /** Milliseconds of silence after which a peer link is closed and dialled anew. */
  public static final int PEER_TIMEOUT_MS = 3_000;

  /** Milliseconds between two attempts to dial a peer. */
  public static final int PEER_REDIAL_MS = 500;

  /** Milliseconds allowed for connecting inside the cluster. */
  public static final int CONNECT_TIMEOUT_MS = 1_000;

  /**
   * Bytes of the largest frame accepted from a peer; the snapshots of a whole shard fit many times.
   */
  public static final int PEER_MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** Frames written to a peer before a flush is forced; a burst of task starts fits. */
  public static final int PEER_MAX_FRAMES_PER_FLUSH = 256;

  /** Bytes queued for a peer that does not read, above which the connection is closed. */
  public static final int PEER_MAX_BACKLOG_BYTES = 2 * 1024 * 1024;
}

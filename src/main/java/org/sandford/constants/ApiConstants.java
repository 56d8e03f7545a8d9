package org.sandford.constants;

/** Limits of the HTTP interface: requests, deadlines, caches and sockets. */
public final class ApiConstants {
  private ApiConstants() {}

  /** Maximum bytes of a request body; set by the protocol. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** Maximum tasks of a job; set by the protocol. */
  public static final int MAX_TASKS_PER_JOB = 100_000;

  /** Milliseconds after which the owner of a forwarded request counts as unreachable. */
  public static final int FORWARD_TIMEOUT_MS = 700;

  /** Milliseconds after which a poll without an answer gets 503; users time out after 2 s. */
  public static final int POLL_DEADLINE_MS = 1_600;

  /**
   * Milliseconds after which a submission or a cancellation whose outcome is not known gets 503;
   * users time out after 5 s.
   */
  public static final int CHANGE_DEADLINE_MS = 4_000;

  /**
   * Maximum length of the read queue, in seconds at the store's rate; a poll takes up to two reads,
   * and users time out after 2 s.
   */
  public static final double MAX_QUEUED_READS_S = 0.5;

  /** Seconds in {@code Retry-After} while no controller may decide; about as long as a failover. */
  public static final int RETRY_AFTER_UNAVAILABLE_S = 1;

  /** Seconds in {@code Retry-After} under overload. */
  public static final int RETRY_AFTER_OVERLOAD_S = 2;

  /** Length of the record queue, in seconds at the store's rate, from which submissions get 429. */
  public static final double MAX_QUEUED_RECORDS_S = 1.5;

  /** Maximum entries of the cache of terminal states; the store has all of them. */
  public static final int TERMINAL_STATE_CACHE_SIZE = 20_000;

  /** Maximum entries of the cache of jobs' teams and task sizes; the store has all of them. */
  public static final int JOB_FACTS_CACHE_SIZE = 20_000;

  /**
   * Fraction of the sockets for commands to workers; a failover needs more and takes several
   * rounds.
   */
  public static final double WORKER_COMMAND_SOCKET_SHARE = 0.25;

  /** Sockets reserved for peers, the store, the cloud and connections that are closing. */
  public static final int RESERVED_SOCKETS = 48;

  /** Maximum fraction of HTTP connections that workers may keep open; the rest is for users. */
  public static final double WORKER_CONNECTION_SHARE = 0.75;

  /**
   * Connections above the limit that still get a response before they close; fewer than {@link
   * #RESERVED_SOCKETS}.
   */
  public static final int OVERFLOW_SOCKETS = 24;

  /** Backlog of the listening socket; after a failover all workers connect within a second. */
  public static final int ACCEPT_BACKLOG = 1_024;

  /** The path of worker heartbeats; distinguishes workers' connections from users'. */
  public static final String HEARTBEAT_PATH = "/hello";

  /** Maximum sockets if the settings have no limit. */
  public static final int DEFAULT_SOCKETS = 1_024;
}

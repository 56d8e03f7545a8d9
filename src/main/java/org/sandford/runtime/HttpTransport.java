package org.sandford.runtime;

import java.util.function.Consumer;

/** Sends HTTP requests to the store, the cloud and the workers. */
public interface HttpTransport {
  /**
   * A response, or how it failed to come: with {@link #UNKNOWN} the request may have been, or may
   * yet be, carried out; with {@link #NOT_SENT} it never left.
   *
   * @param status the HTTP status, or one of the two constants
   * @param body the body; empty without a response
   */
  @SuppressWarnings("ArrayRecordComponent") // Replies are read once and never compared.
  record Reply(int status, byte[] body) {
    /** No response in time, or the connection broke. */
    public static final int UNKNOWN = 0;

    /** No connection, or no rate to spare; the receiver has seen nothing. */
    public static final int NOT_SENT = -1;

    /** Whether the status is 200. */
    public boolean ok() {
      return status == 200;
    }
  }

  /**
   * Sends one request and calls back exactly once, on the event loop.
   *
   * @param address host and port
   * @param body the request's body, or null for none
   * @param timeoutMs milliseconds until the request is given up with {@link Reply#UNKNOWN}
   */
  void send(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Reply> onReply);
}

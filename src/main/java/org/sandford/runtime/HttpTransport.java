package org.sandford.runtime;

import java.util.function.Consumer;

/** Sends HTTP requests to the store, the cloud and the workers. */
public interface HttpTransport {
  /**
   * A response, or why there is none: after {@link #UNKNOWN} the request may have been, or may yet
   * be, carried out; after {@link #NOT_SENT} it was never sent.
   *
   * @param status the HTTP status, or one of the two constants
   * @param body the response's body; empty without a response
   */
  @SuppressWarnings("ArrayRecordComponent") // Replies are read once and never compared.
  record Reply(int status, byte[] body) {
    /** The response did not arrive in time, or the connection broke. */
    public static final int UNKNOWN = 0;

    /** No connection was made, or the rate limit was reached; the receiver got nothing. */
    public static final int NOT_SENT = -1;

    /** Returns whether the status is 200. */
    public boolean ok() {
      return status == 200;
    }
  }

  /**
   * Sends one request and calls back exactly once, on the event loop.
   *
   * @param address host and port
   * @param body the request's body, or null for none
   * @param timeoutMs milliseconds after which the reply is {@link Reply#UNKNOWN}, or {@link
   *     Reply#NOT_SENT} if the request was not sent
   */
  void send(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Reply> onReply);
}

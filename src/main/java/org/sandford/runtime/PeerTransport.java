package org.sandford.runtime;

import java.util.function.Supplier;

/** Connections between controllers that carry whole frames. */
public interface PeerTransport {
  /** One connection; frames arrive whole and in order, or not at all. */
  interface Connection {
    /** Sends a frame; one on a closed connection is dropped. */
    void send(byte[] frame);

    /** Closes the connection; its handler is notified. */
    void close();
  }

  /** Receives the events of one connection, on the event loop. */
  interface Handler {
    /** The connection is open. */
    void opened(Connection connection);

    /** A whole frame arrived. */
    void frame(Connection connection, byte[] frame);

    /** Also called when a dialled connection could not be made; {@code connection} is then null. */
    void closed(Connection connection);
  }

  /** Opens a connection to a host and port. */
  void dial(String address, Handler handler);

  /** Accepts connections, each with a handler of its own. */
  void listen(Supplier<Handler> handlerFactory);
}

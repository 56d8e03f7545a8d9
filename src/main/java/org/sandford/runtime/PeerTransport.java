package org.sandford.runtime;

import java.util.function.Supplier;

/** Opens and accepts connections between controllers, which carry whole frames. */
public interface PeerTransport {
  /** A connection; frames arrive whole and in order, or not at all. */
  interface Connection {
    /** Sends a frame; drops it if the connection is closed. */
    void send(byte[] frame);

    /** Closes the connection and notifies its handler. */
    void close();
  }

  /** Receives the events of one connection, on the event loop. */
  interface Handler {
    /** Called when the connection is open. */
    void opened(Connection connection);

    /** Called when a whole frame has arrived. */
    void frameReceived(Connection connection, byte[] frame);

    /** Called when the connection is closed, or with null when a dialled one could not be made. */
    void closed(Connection connection);
  }

  /** Opens a connection to a host and port, given as {@code host:port}. */
  void dial(String address, Handler handler);

  /** Accepts connections; each gets its own handler. */
  void listen(Supplier<Handler> handlerFactory);
}

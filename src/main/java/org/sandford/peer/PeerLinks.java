package org.sandford.peer;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sandford.constants.PeerConstants;
import org.sandford.peer.wire.Hello;
import org.sandford.peer.wire.SnapshotUpdate;
import org.sandford.peer.wire.Welcome;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.PeerTransport;
import org.sandford.runtime.PeerTransport.Connection;
import org.sandford.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the links between this controller and the others. Each controller dials every other: it
 * sends requests on the outbound link, and receives responses and machine snapshots on the same
 * link. Requests to the controller itself go through the same methods.
 *
 * <p>A newer link from a peer closes the older one before a request on the newer one is handled, so
 * frames that a network partition delayed on the old connection have no effect. Messages of one
 * link arrive in order; those in flight when a link closes may be lost without notice.
 *
 * <p>Runs on the event loop.
 */
public final class PeerLinks {
  private static final Logger log = LoggerFactory.getLogger(PeerLinks.class);

  /** Handles requests of other controllers, and those of this controller to itself. */
  public interface RequestHandler {
    /** Handles a request; {@code reply} may be called any number of times, also later. */
    void handleRequest(String sender, Object request, Consumer<Object> reply);

    /** Returns the messages to send to a peer first on a new link. */
    Iterable<Object> initialMessages();
  }

  /** Handles responses, published messages and changes of the links that carry requests. */
  public interface ResponseHandler {
    /** Handles a response or a published message. */
    void handleResponse(String sender, Object response);

    /** Called when the link is up: requests to the peer are sent from now on. */
    void linkUp(String peer);

    /** Called when the link is down: requests to the peer are refused from now on. */
    void linkDown(String peer);
  }

  /** The states of an outbound link. */
  private enum OutboundState {
    DISCONNECTED,
    CONNECTING,
    HANDSHAKING,
    LIVE
  }

  private final EventLoop loop;
  private final Settings settings;
  private final PeerTransport transport;
  private final FrameCodec codec = new FrameCodec();
  private final LongSupplier incarnation;
  private final Map<String, OutboundLink> outbound = new LinkedHashMap<>();
  private final Map<String, InboundLink> inbound = new LinkedHashMap<>();

  /** Newest Hello of each peer, kept after its link closes, so that a late older one is refused. */
  private final Map<String, Hello> newestHellos = new LinkedHashMap<>();

  private RequestHandler requestHandler;
  private ResponseHandler responseHandler;

  /** Number of the last Hello sent; within an incarnation, a peer accepts only rising numbers. */
  private long lastSessionNumber;

  /**
   * Creates links to the other controllers that the settings name.
   *
   * @param incarnation supplies the number of this controller's incarnation; 0 until it has one,
   *     and no peer is dialled until then
   */
  public PeerLinks(
      EventLoop loop, Settings settings, PeerTransport transport, LongSupplier incarnation) {
    this.loop = loop;
    this.settings = settings;
    this.transport = transport;
    this.incarnation = incarnation;
    for (Settings.Peer peer : settings.peers()) {
      outbound.put(peer.label(), new OutboundLink(peer));
    }
  }

  /** Starts listening and dialling; the handlers receive all messages from now on. */
  public void start(RequestHandler requests, ResponseHandler responses) {
    requestHandler = requests;
    responseHandler = responses;
    transport.listen(InboundLink::new);
    loop.every(PeerConstants.PEER_REDIAL_MS, this::maintainLinks);
    maintainLinks();
    loop.execute(
        () -> {
          responseHandler.linkUp(settings.label());
          requestHandler
              .initialMessages()
              .forEach(message -> responseHandler.handleResponse(settings.label(), message));
        });
  }

  private boolean isSelf(String label) {
    return label.equals(settings.label());
  }

  /** Returns whether requests to the controller are sent; always true for this controller. */
  public boolean isLive(String label) {
    if (isSelf(label)) {
      return true;
    }
    OutboundLink link = outbound.get(label);
    return link != null && link.state == OutboundState.LIVE;
  }

  /** Returns the peer's incarnation id in the last handshake on a link to it, or an empty text. */
  public String incarnationIdOf(String label) {
    OutboundLink link = outbound.get(label);
    return link == null ? "" : link.incarnationId;
  }

  /** Returns whether the link to any other controller is live. */
  public boolean anyLive() {
    return outbound.values().stream().anyMatch(link -> link.state == OutboundState.LIVE);
  }

  /** Sends a request, which may still be lost; returns false if no link to the receiver is live. */
  public boolean request(String label, Object request) {
    assert loop.isCurrentThread() : "called outside the event loop";
    if (isSelf(label)) {
      loop.execute(
          () ->
              requestHandler.handleRequest(
                  label,
                  request,
                  reply -> loop.execute(() -> responseHandler.handleResponse(label, reply))));
      return true;
    }
    OutboundLink link = outbound.get(label);
    if (link == null || link.state != OutboundState.LIVE) {
      return false;
    }
    link.connection.send(codec.encode(request));
    return true;
  }

  /** Sends a request to every other controller to which a link is live. */
  public void requestAll(Object request) {
    byte[] frame = codec.encode(request);
    outbound.values().stream()
        .filter(link -> link.state == OutboundState.LIVE)
        .forEach(link -> link.connection.send(frame));
  }

  /** Sends a message to every controller that has a link to this one, and to this one. */
  public void publish(Object message) {
    assert loop.isCurrentThread() : "called outside the event loop";
    if (!inbound.isEmpty()) {
      byte[] frame = codec.encode(message);
      inbound.values().forEach(link -> link.connection.send(frame));
    }
    loop.execute(() -> responseHandler.handleResponse(settings.label(), message));
  }

  private void maintainLinks() {
    long nowMillis = loop.millis();
    for (OutboundLink link : outbound.values()) {
      if (link.state == OutboundState.DISCONNECTED && incarnation.getAsLong() > 0) {
        link.dial();
      } else if (link.state != OutboundState.DISCONNECTED
          && nowMillis - link.lastReceivedAtMillis > PeerConstants.PEER_TIMEOUT_MS) {
        link.close("no message in time");
      }
    }
    for (InboundLink link : List.copyOf(inbound.values())) {
      if (nowMillis - link.lastReceivedAtMillis > PeerConstants.PEER_TIMEOUT_MS) {
        link.close("no message in time");
      }
    }
  }

  /** A link that this controller dialled. */
  private final class OutboundLink implements PeerTransport.Handler {
    private final Settings.Peer peer;
    private OutboundState state = OutboundState.DISCONNECTED;
    private Connection connection;
    private long lastReceivedAtMillis;
    private String incarnationId = "";
    private int currentAttempt;

    OutboundLink(Settings.Peer peer) {
      this.peer = peer;
    }

    private void transitionTo(OutboundState nextState) {
      boolean wasLive = state == OutboundState.LIVE;
      state = nextState;
      if (nextState == OutboundState.LIVE) {
        log.info("peer link up peer={}", peer.label());
        responseHandler.linkUp(peer.label());
      } else if (wasLive) {
        log.info("peer link down peer={}", peer.label());
        responseHandler.linkDown(peer.label());
      }
    }

    void dial() {
      transitionTo(OutboundState.CONNECTING);
      lastReceivedAtMillis = loop.millis();
      int ownAttempt = ++currentAttempt;
      // Each attempt has its own handler, so that a late event of an older attempt has no effect.
      transport.dial(
          peer.address().toString(),
          new PeerTransport.Handler() {
            @Override
            public void opened(Connection c) {
              if (ownAttempt == currentAttempt) {
                OutboundLink.this.opened(c);
              } else {
                c.close();
              }
            }

            @Override
            public void frameReceived(Connection c, byte[] bytes) {
              if (ownAttempt == currentAttempt) {
                OutboundLink.this.frameReceived(c, bytes);
              }
            }

            @Override
            public void closed(Connection c) {
              if (ownAttempt == currentAttempt) {
                OutboundLink.this.closed(c);
              }
            }
          });
    }

    @Override
    public void opened(Connection c) {
      connection = c;
      transitionTo(OutboundState.HANDSHAKING);
      c.send(
          codec.encode(
              new Hello(
                  settings.label(),
                  incarnation.getAsLong(),
                  ++lastSessionNumber,
                  FrameCodec.PRODUCTION_SCHEMA_FINGERPRINT)));
    }

    @Override
    public void frameReceived(Connection c, byte[] bytes) {
      Object message;
      try {
        message = codec.decode(bytes);
      } catch (IOException e) {
        close("it sent a broken frame: " + e.getMessage());
        return;
      }
      lastReceivedAtMillis = loop.millis();
      if (message instanceof Welcome welcome && state == OutboundState.HANDSHAKING) {
        incarnationId = welcome.label + "#" + welcome.incarnation;
        transitionTo(OutboundState.LIVE);
      } else if (state == OutboundState.LIVE) {
        responseHandler.handleResponse(peer.label(), message);
      }
    }

    @Override
    public void closed(Connection c) {
      currentAttempt++;
      connection = null;
      transitionTo(OutboundState.DISCONNECTED);
    }

    void close(String reason) {
      log.debug("outbound peer link closed peer={} reason=\"{}\"", peer.label(), reason);
      currentAttempt++;
      Connection oldConnection = connection;
      connection = null;
      transitionTo(OutboundState.DISCONNECTED);
      if (oldConnection != null) {
        oldConnection.close();
      }
    }
  }

  /** A link that a peer dialled. */
  private final class InboundLink implements PeerTransport.Handler {
    private Connection connection;
    private String peerLabel = "";
    private Hello hello;
    private long lastReceivedAtMillis;
    private boolean isClosed;

    @Override
    public void opened(Connection c) {
      connection = c;
      lastReceivedAtMillis = loop.millis();
    }

    @Override
    public void frameReceived(Connection c, byte[] bytes) {
      if (isClosed) {
        return;
      }
      Object message;
      try {
        message = codec.decode(bytes);
      } catch (IOException e) {
        close("it sent a broken frame: " + e.getMessage());
        return;
      }
      lastReceivedAtMillis = loop.millis();
      if (hello == null) {
        handleHello(message);
      } else {
        requestHandler.handleRequest(peerLabel, message, this::sendToPeer);
      }
    }

    private void sendToPeer(Object message) {
      if (!isClosed) {
        connection.send(codec.encode(message));
      }
    }

    private void handleHello(Object message) {
      if (!(message instanceof Hello received)
          || received.fingerprint != FrameCodec.PRODUCTION_SCHEMA_FINGERPRINT
          || !outbound.containsKey(received.label)) {
        close("it did not greet as a controller with the same schema");
        return;
      }
      Hello newest = newestHellos.get(received.label);
      if (newest != null
          && (received.incarnation < newest.incarnation
              || (received.incarnation == newest.incarnation
                  && received.session <= newest.session))) {
        close("a newer link of " + received.label + " is known");
        return;
      }
      newestHellos.put(received.label, received);
      InboundLink olderLink = inbound.get(received.label);
      if (olderLink != null) {
        olderLink.close("a newer link took its place");
      }
      hello = received;
      peerLabel = received.label;
      inbound.put(peerLabel, this);
      sendToPeer(new Welcome(settings.label(), incarnation.getAsLong()));
      requestHandler.initialMessages().forEach(this::sendToPeer);
    }

    @Override
    public void closed(Connection c) {
      if (!isClosed) {
        isClosed = true;
        inbound.remove(peerLabel, this);
      }
    }

    void close(String reason) {
      log.info(
          "inbound peer link closed peer={} reason=\"{}\"",
          peerLabel.isEmpty() ? "none" : peerLabel,
          reason);
      isClosed = true;
      inbound.remove(peerLabel, this);
      connection.close();
    }
  }

  /** Creates a snapshot update without machines, which keeps a link from timing out. */
  public static SnapshotUpdate heartbeat(boolean sessionLeaseValid) {
    return new SnapshotUpdate(false, List.of(), List.of(), sessionLeaseValid);
  }
}

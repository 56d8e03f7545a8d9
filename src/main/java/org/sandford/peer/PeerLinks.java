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
 * The links between controllers. Each dials every other: requests go out on the outbound link, and
 * responses and machine snapshots come back on it. A controller reaches itself through the same
 * calls.
 *
 * <p>A newer link from the same peer ends the older one before anything of it is read, so frames
 * that a network partition held back on an old connection change nothing. Messages of one link
 * arrive in order; those that were sent when a link ends may be lost without notice.
 *
 * <p>Runs on the event loop.
 */
public final class PeerLinks {
  private static final Logger log = LoggerFactory.getLogger(PeerLinks.class);

  /** Handles the requests of other controllers, and of this one to itself. */
  public interface RequestHandler {
    /** Handles a request; {@code reply} may be called any number of times, also later. */
    void handleRequest(String sender, Object request, Consumer<Object> reply);

    /** The messages that a peer needs first on a new link. */
    Iterable<Object> greeting();
  }

  /** Handles responses, and what other controllers publish. */
  public interface ResponseHandler {
    /** Handles a response or a published message. */
    void handleResponse(String sender, Object response);

    /** Requests to the peer are sent from now on. */
    void linkUp(String peer);

    /** Requests to the peer are refused from now on. */
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

  /** The newest greeting of each peer, kept when its link ends: a late older one stays refused. */
  private final Map<String, Hello> newestHellos = new LinkedHashMap<>();

  private RequestHandler requestHandler;
  private ResponseHandler responseHandler;
  private long lastSessionNumber;

  /**
   * Links to the other controllers that the settings name.
   *
   * @param incarnation the incarnation of this controller; 0 until it has one, and nothing is
   *     dialled before
   */
  public PeerLinks(
      EventLoop loop, Settings settings, PeerTransport transport, LongSupplier incarnation) {
    this.loop = loop;
    this.settings = settings;
    this.transport = transport;
    this.incarnation = incarnation;
    for (Settings.Other other : settings.others()) {
      outbound.put(other.label(), new OutboundLink(other));
    }
  }

  /** Listens and dials; the handlers get all that arrives from now on. */
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
              .greeting()
              .forEach(message -> responseHandler.handleResponse(settings.label(), message));
        });
  }

  private boolean isSelf(String label) {
    return label.equals(settings.label());
  }

  /** Whether requests to the controller are sent; always so for this one. */
  public boolean isLive(String label) {
    if (isSelf(label)) {
      return true;
    }
    OutboundLink link = outbound.get(label);
    return link != null && link.state == OutboundState.LIVE;
  }

  /** The incarnation of the peer at the handshake of the last link to it, or an empty text. */
  public String incarnationIdOf(String label) {
    OutboundLink link = outbound.get(label);
    return link == null ? "" : link.incarnationId;
  }

  /** Whether any other controller can be reached. */
  public boolean anyLive() {
    return outbound.values().stream().anyMatch(link -> link.state == OutboundState.LIVE);
  }

  /** Sends a request, without any guarantee that it arrives; false when there is no live link. */
  public boolean request(String label, Object request) {
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

  /** Sends a request to all other controllers with a live link. */
  public void requestAll(Object request) {
    byte[] frame = codec.encode(request);
    outbound.values().stream()
        .filter(link -> link.state == OutboundState.LIVE)
        .forEach(link -> link.connection.send(frame));
  }

  /** Sends a message to all controllers with a link to this one, and to this one. */
  public void publish(Object message) {
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
        link.end("no message in time");
      }
    }
    for (InboundLink link : List.copyOf(inbound.values())) {
      if (nowMillis - link.lastReceivedAtMillis > PeerConstants.PEER_TIMEOUT_MS) {
        link.end("no message in time");
      }
    }
  }

  /** A link that this controller dialled. */
  private final class OutboundLink implements PeerTransport.Handler {
    private final Settings.Other peer;
    private OutboundState state = OutboundState.DISCONNECTED;
    private Connection connection;
    private long lastReceivedAtMillis;
    private String incarnationId = "";
    private int currentAttempt;

    OutboundLink(Settings.Other peer) {
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
      // Each attempt has a handler of its own, so a late event of an older one changes nothing.
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
            public void frame(Connection c, byte[] bytes) {
              if (ownAttempt == currentAttempt) {
                OutboundLink.this.frame(c, bytes);
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
    public void frame(Connection c, byte[] bytes) {
      Object message;
      try {
        message = codec.decode(bytes);
      } catch (IOException e) {
        end("it sent a broken frame: " + e.getMessage());
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

    void end(String reason) {
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
    private boolean ended;

    @Override
    public void opened(Connection c) {
      connection = c;
      lastReceivedAtMillis = loop.millis();
    }

    @Override
    public void frame(Connection c, byte[] bytes) {
      if (ended) {
        return;
      }
      Object message;
      try {
        message = codec.decode(bytes);
      } catch (IOException e) {
        end("it sent a broken frame: " + e.getMessage());
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
      if (!ended) {
        connection.send(codec.encode(message));
      }
    }

    private void handleHello(Object message) {
      if (!(message instanceof Hello received)
          || received.fingerprint != FrameCodec.PRODUCTION_SCHEMA_FINGERPRINT
          || !outbound.containsKey(received.label)) {
        end("it did not greet as a controller with the same schema");
        return;
      }
      Hello newest = newestHellos.get(received.label);
      if (newest != null
          && (received.incarnation < newest.incarnation
              || (received.incarnation == newest.incarnation
                  && received.session <= newest.session))) {
        end("a newer link of " + received.label + " is known");
        return;
      }
      newestHellos.put(received.label, received);
      InboundLink olderLink = inbound.get(received.label);
      if (olderLink != null) {
        olderLink.end("a newer link took its place");
      }
      hello = received;
      peerLabel = received.label;
      inbound.put(peerLabel, this);
      sendToPeer(new Welcome(settings.label(), incarnation.getAsLong()));
      requestHandler.greeting().forEach(this::sendToPeer);
    }

    @Override
    public void closed(Connection c) {
      if (!ended) {
        ended = true;
        inbound.remove(peerLabel, this);
      }
    }

    void end(String reason) {
      log.info(
          "inbound peer link closed peer={} reason=\"{}\"",
          peerLabel.isEmpty() ? "none" : peerLabel,
          reason);
      ended = true;
      inbound.remove(peerLabel, this);
      connection.close();
    }
  }

  /** A snapshot update without machines, which keeps a link from timing out. */
  public static SnapshotUpdate heartbeat(boolean sessionLeaseValid) {
    return new SnapshotUpdate(false, List.of(), List.of(), sessionLeaseValid);
  }
}

package org.sandford.scenario;

import java.util.Map;
import java.util.function.Supplier;
import org.sandford.runtime.PeerTransport;

/** Simulates the peer connections of one process. */
final class SimulatedPeerTransport implements PeerTransport {
  private final Simulation simulation;
  private final Simulation.ProcessLoop loop;
  private final String host;
  private final Map<String, SimulatedPeerTransport> all;
  private Supplier<Handler> listener;

  SimulatedPeerTransport(
      Simulation simulation,
      Simulation.ProcessLoop loop,
      String host,
      Map<String, SimulatedPeerTransport> all) {
    this.simulation = simulation;
    this.loop = loop;
    this.host = host;
    this.all = all;
    all.put(host, this);
  }

  @Override
  public void listen(Supplier<Handler> handlers) {
    listener = handlers;
  }

  @Override
  public void dial(String address, Handler handler) {
    String target = address.substring(0, address.indexOf(':'));
    SimulatedPeerTransport peer = all.get(target);
    if (peer == null
        || !peer.loop.alive
        || peer.listener == null
        || simulation.cutBetween(host, target) != null) {
      loop.after(2, () -> handler.closed(null));
      return;
    }
    ConnectionEnd near = new ConnectionEnd(this, target, handler);
    ConnectionEnd far = new ConnectionEnd(peer, host, peer.listener.get());
    near.other = far;
    far.other = near;
    simulation.deliver(
        host,
        target,
        () -> {
          if (!peer.loop.alive) {
            near.remoteClosed();
            return;
          }
          peer.loop.whenAwake(() -> far.handler.opened(far));
          simulation.deliver(
              target,
              host,
              () -> {
                loop.whenAwake(
                    () -> {
                      if (near.open) {
                        handler.opened(near);
                      }
                    });
              });
        });
  }

  /** One end of a connection. */
  private static final class ConnectionEnd implements Connection {
    private final SimulatedPeerTransport owner;
    private final String remote;
    private final Handler handler;
    private ConnectionEnd other;
    private boolean open = true;

    ConnectionEnd(SimulatedPeerTransport owner, String remote, Handler handler) {
      this.owner = owner;
      this.remote = remote;
      this.handler = handler;
    }

    @Override
    public void send(byte[] frame) {
      if (owner.simulation.breaksConnection.test(frame)) {
        close();
        return;
      }
      owner.simulation.deliver(
          owner.host,
          remote,
          () -> {
            if (!other.owner.loop.alive) {
              remoteClosed();
            } else {
              other.owner.loop.whenAwake(
                  () -> {
                    if (other.open) {
                      other.handler.frameReceived(other, frame);
                    }
                  });
            }
          });
    }

    @Override
    public void close() {
      if (open) {
        open = false;
        owner.loop.execute(() -> handler.closed(this));
        owner.simulation.deliver(owner.host, remote, other::remoteClosed);
      }
    }

    private void remoteClosed() {
      owner.loop.whenAwake(
          () -> {
            if (open) {
              open = false;
              handler.closed(this);
            }
          });
    }
  }
}

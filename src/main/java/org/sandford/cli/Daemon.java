package org.sandford.cli;

import org.sandford.Constants;
import org.sandford.core.Controller;
import org.sandford.net.NettyHttpClient;
import org.sandford.net.NettyHttpServer;
import org.sandford.net.NettyLoop;
import org.sandford.net.NettyPeers;
import org.sandford.settings.Settings;

/** Runs a controller on the real network and clocks. */
final class Daemon {
  /** Not an exit status: the controller runs on its own thread from here on. */
  static final int KEEP_RUNNING = -1;

  private Daemon() {}

  static int run(Settings settings) {
    NettyLoop loop = new NettyLoop();
    NettyPeers peers =
        new NettyPeers(loop, settings.peerListen().host(), settings.peerListen().port());
    Controller controller = new Controller(loop, settings, new NettyHttpClient(loop), peers);
    int most = Math.max(16, settings.facts().sockets() - Constants.SOCKETS_RESERVED);
    NettyHttpServer server = new NettyHttpServer(loop, most, controller.api()::take);
    try {
      server.listen(settings.listen().host(), settings.listen().port());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    } catch (Exception e) {
      System.err.println("sandford: cannot listen on " + settings.listen() + ": " + e.getMessage());
      loop.shutdown();
      return 1;
    }
    loop.execute(controller::start);
    return KEEP_RUNNING;
  }
}

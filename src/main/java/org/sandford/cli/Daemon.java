package org.sandford.cli;

import java.util.Set;
import org.sandford.constants.ApiConstants;
import org.sandford.controller.Controller;
import org.sandford.net.NettyHttpClient;
import org.sandford.net.NettyHttpServer;
import org.sandford.net.NettyLoop;
import org.sandford.net.NettyPeers;
import org.sandford.settings.Settings;

/** Runs a controller on the real network and clocks. */
final class Daemon {
  /** Returned instead of an exit status while the controller runs on the event loop's thread. */
  static final int KEEP_RUNNING = -1;

  private Daemon() {}

  static int run(Settings settings) {
    NettyLoop loop = new NettyLoop();
    NettyPeers peers =
        new NettyPeers(loop, settings.peerListen().host(), settings.peerListen().port());
    int sockets = settings.facts().sockets();
    int maxWorkerConnections = (int) (sockets * ApiConstants.WORKER_COMMAND_SOCKET_SHARE);
    NettyHttpClient http =
        new NettyHttpClient(
            loop,
            Set.of(settings.store().toString(), settings.cloud().toString()),
            maxWorkerConnections);
    Controller controller = new Controller(loop, settings, http, peers);
    int maxConnections =
        Math.max(16, sockets - maxWorkerConnections - ApiConstants.RESERVED_SOCKETS);
    NettyHttpServer server = new NettyHttpServer(loop, maxConnections, controller.api()::handle);
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

package org.sandford.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.sandford.controller.Controller;
import org.sandford.model.ApiResponse;
import org.sandford.net.NettyHttpClient;
import org.sandford.net.NettyHttpServer;
import org.sandford.net.NettyLoop;
import org.sandford.net.NettyPeers;
import org.sandford.peer.FrameCodec;
import org.sandford.peer.wire.MachineDiscovered;
import org.sandford.runtime.Json;
import org.sandford.settings.Settings;
import org.sandford.settings.SettingsException;
import org.sandford.settings.SettingsLoader;

/**
 * Loads the classes needed at startup, which the build records in the class-data archive. Briefly
 * runs a controller on the loopback interface, with itself as peer, store and cloud.
 */
final class ArchiveWarmUp {
  private static final String SETTINGS_TEMPLATE =
      """
      label = "warm-up"
      zone = "z"
      listen = "127.0.0.1:%1$d"
      peer_listen = "127.0.0.1:%2$d"

      [[others]]
      label = "itself"
      zone = "z"
      address = "127.0.0.1:%2$d"

      [services]
      cloud = "127.0.0.1:%1$d"
      state = "127.0.0.1:%1$d"

      [facts]
      zones = ["z"]

      [[facts.teams]]
      name = "t"
      cpus = 1.0
      cpus_max = 1.0

      [facts.workers]
      report_s = 1.0
      lease_s = 5.0
      cancel_s = 20.0

      [facts.state]
      rps = 50.0
      write_rps = 50.0
      value_kb = 8.0
      txn_ops = 8

      [facts.cloud]
      rps = 5.0

      [facts.machine_limits]
      sockets = 500
      """;

  private ArchiveWarmUp() {}

  static int run() {
    try {
      int port = freePort();
      Path settingsFile = Files.createTempFile("sandford", ".toml");
      Files.writeString(settingsFile, SETTINGS_TEMPLATE.formatted(port, freePort()));
      Settings settings = SettingsLoader.load(settingsFile, null);
      Files.delete(settingsFile);
      FrameCodec codec = new FrameCodec();
      codec.decode(codec.encode(new MachineDiscovered("m", "a", "k", "z", false)));
      runController(settings);
      return 0;
    } catch (IOException | SettingsException | InterruptedException e) {
      System.err.println("sandford: warm-up failed: " + e);
      return 1;
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static void runController(Settings settings) throws InterruptedException {
    NettyLoop loop = new NettyLoop();
    NettyPeers peers =
        new NettyPeers(loop, settings.peerListen().host(), settings.peerListen().port());
    NettyHttpClient http = new NettyHttpClient(loop, Set.of(), 100);
    Controller controller = new Controller(loop, settings, http, peers);
    NettyHttpServer server =
        new NettyHttpServer(
            loop,
            100,
            (method, path, body, answer) -> {
              ObjectNode response = serviceResponse(path);
              if (response != null) {
                answer.accept(ApiResponse.of(200, response));
              } else {
                controller.api().handle(method, path, body, answer);
              }
            });
    server.listen(settings.listen().host(), settings.listen().port());
    loop.execute(controller::start);
    CountDownLatch finished = new CountDownLatch(1);
    loop.execute(
        () ->
            http.send(
                settings.listen().toString(),
                "POST",
                "/work",
                new byte[] {'{', '}'},
                1_000,
                reply -> loop.after(1_500, finished::countDown)));
    finished.await(10, TimeUnit.SECONDS);
    loop.shutdown();
  }

  /** Returns a minimal response of the store or the cloud; null for any other path. */
  private static ObjectNode serviceResponse(String path) {
    ObjectNode response = Json.object().put("epoch", 1).put("permit", 1).put("more", false);
    if (path.startsWith("/store?")
        || path.equals("/txn")
        || path.startsWith("/holds")
        || path.startsWith("/machines")) {
      response.putArray("entries");
      return response;
    }
    if (path.equals("/flavors")) {
      response
          .putArray("machine_kinds")
          .addObject()
          .put("sku", "k")
          .put("vcpus", 1)
          .putArray("sites")
          .add("z");
      return response;
    }
    return null;
  }
}

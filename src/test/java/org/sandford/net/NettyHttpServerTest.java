package org.sandford.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sandford.model.ApiResponse;
import org.sandford.runtime.Json;

/** Tests that workers and users, who share a few connections, do not starve each other. */
class NettyHttpServerTest {
  private static final int MAX_CONNECTIONS = 8;
  private static final int READ_TIMEOUT_MS = 60_000;
  private final NettyLoop loop = new NettyLoop();
  private final List<Client> clients = new ArrayList<>();
  private int port;

  /** A connection that the client keeps open until the server closes it. */
  private static final class Client {
    private final Socket socket;
    private final BufferedReader in;

    Client(int port) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), port);
      socket.setSoTimeout(READ_TIMEOUT_MS);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** Sends a request and returns whether the server keeps the connection. */
    boolean request(String path) throws IOException {
      socket
          .getOutputStream()
          .write(
              ("GET " + path + " HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      assertEquals("HTTP/1.1 200 OK", in.readLine());
      boolean keepAlive = true;
      int length = 0;
      for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
        keepAlive &= !line.equals("connection: close");
        length =
            line.startsWith("content-length: ") ? Integer.parseInt(line.substring(16)) : length;
      }
      for (int i = 0; i < length; i++) {
        in.read();
      }
      return keepAlive;
    }

    boolean closedByServer() throws IOException {
      return in.read() < 0;
    }
  }

  @BeforeEach
  void startServer() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    new NettyHttpServer(
            loop,
            MAX_CONNECTIONS,
            (method, path, body, answer) -> answer.accept(ApiResponse.of(200, Json.object())))
        .listen("127.0.0.1", port);
  }

  @AfterEach
  void stop() throws IOException {
    for (Client client : clients) {
      client.socket.close();
    }
    loop.shutdown();
  }

  private Client connect() throws IOException {
    Client client = new Client(port);
    clients.add(client);
    return client;
  }

  @Test
  void workerConnectionsAboveTheirShareAreAnsweredThenClosed() throws IOException {
    for (int i = 0; i < 6; i++) {
      assertTrue(
          connect().request("/hello"), "worker connection " + i + " was closed below the limit");
    }
    assertFalse(connect().request("/hello"), "the seventh worker connection of eight was kept");
    assertTrue(connect().request("/up"), "a user connection was closed below the limit");
  }

  @Test
  void longestIdleWorkerConnectionIsClosedAtTheLimit() throws IOException {
    Client user = connect();
    assertTrue(user.request("/work/wk-1"));
    Client longestIdle = connect();
    assertTrue(longestIdle.request("/hello"));
    for (int i = 0; i < 5; i++) {
      assertTrue(connect().request("/hello"));
    }
    assertTrue(connect().request("/up"));
    assertFalse(connect().request("/work/wk-2"), "a connection above the limit was kept");
    assertTrue(
        longestIdle.closedByServer(), "the worker connection idle the longest was not closed");
    assertTrue(user.request("/work/wk-1"), "the user's connection was closed");
  }
}

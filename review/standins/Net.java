import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP and JSON helpers of the stand-ins, all on loopback. */
final class Net {
  static final ObjectMapper JSON = new ObjectMapper();

  /** A response; status 0 if there was none, -1 if no connection was made. */
  record Answer(int status, JsonNode body, int retryAfterS) {}

  interface Handler {
    /** Returns the answer, or null to close the connection without one. */
    Answer handle(String method, String path, Map<String, String> query, JsonNode body)
        throws Exception;
  }

  private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.idleInterval", "600");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
  }

  private Net() {}

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static Answer answer(int status, JsonNode body) {
    return new Answer(status, body, 0);
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  static int freePort() throws IOException {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      if (!USED_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // It is not free.
      }
    }
    throw new IOException("no free port");
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Handler handler) {
    try {
      byte[] bytes = exchange.getRequestBody().readAllBytes();
      JsonNode body = bytes.length == 0 ? object() : JSON.readTree(bytes);
      Answer answer =
          handler.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              query(exchange.getRequestURI().getRawQuery()),
              body);
      if (answer != null) {
        byte[] out = JSON.writeValueAsBytes(answer.body());
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), out.length);
        exchange.getResponseBody().write(out);
      }
    } catch (Exception e) {
      // The connection is closed below: the caller gets no answer.
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> parameters = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        String[] pair = part.split("=", 2);
        parameters.put(
            pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
      }
    }
    return parameters;
  }

  /** Sends one request on a connection of its own. */
  static Answer call(int port, String method, String path, JsonNode body, int timeoutMs) {
    Socket socket = new Socket();
    try {
      long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
      socket.setTcpNoDelay(true);
      try {
        socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMs, 500));
      } catch (IOException e) {
        return new Answer(-1, object(), 0);
      }
      byte[] content = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\nContent-Length: "
              + content.length
              + "\r\nConnection: close\r\n\r\n";
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.write(head.getBytes(StandardCharsets.US_ASCII));
      request.write(content);
      socket.getOutputStream().write(request.toByteArray());
      ByteArrayOutputStream response = new ByteArrayOutputStream();
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[8192];
      while (true) {
        long leftMs = (deadline - System.nanoTime()) / 1_000_000L;
        if (leftMs <= 0) {
          return new Answer(0, object(), 0);
        }
        socket.setSoTimeout((int) leftMs);
        int count = in.read(buffer);
        if (count < 0) {
          break;
        }
        response.write(buffer, 0, count);
      }
      String text = response.toString(StandardCharsets.UTF_8);
      int end = text.indexOf("\r\n\r\n");
      if (end < 0) {
        return new Answer(0, object(), 0);
      }
      int status = Integer.parseInt(text.substring(9, 12));
      int retryAfter = 0;
      for (String line : text.substring(0, end).split("\r\n")) {
        if (line.toLowerCase().startsWith("retry-after:")) {
          retryAfter = Integer.parseInt(line.substring(12).trim());
        }
      }
      String json = text.substring(end + 4);
      return new Answer(status, json.isBlank() ? object() : JSON.readTree(json), retryAfter);
    } catch (IOException | RuntimeException e) {
      return new Answer(0, object(), 0);
    } finally {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed.
      }
    }
  }
}

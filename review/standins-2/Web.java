package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback addresses; bodies carry their length. */
final class Web {
  private static final Random RANDOM = new Random();

  /** A loopback address of this run's own, so that runs side by side use no port twice. */
  static final String HOST =
      "127." + (10 + RANDOM.nextInt(200)) + "." + RANDOM.nextInt(250) + "." + (2 + RANDOM.nextInt(250));

  static final InetAddress LOOPBACK = address();

  private Web() {}

  private static InetAddress address() {
    try {
      return InetAddress.getByName(HOST);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A response; a null body is empty. */
  record Response(int status, byte[] body, Map<String, String> headers) {
    Response(int status, String body) {
      this(status, body.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Answers one request; null closes the connection without an answer. */
  interface Handler {
    Response handle(String method, String path, byte[] body) throws Exception;
  }

  /** The ports that were handed out; some of them are not bound yet. */
  private static final Set<Integer> PORTS = ConcurrentHashMap.newKeySet();

  /** Returns a port below the ephemeral range that is free now, a different one each time. */
  static synchronized int freePort() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = 12_000 + RANDOM.nextInt(18_000);
      if (!PORTS.add(port)) {
        continue;
      }
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(LOOPBACK, port));
        return port;
      } catch (IOException taken) {
        // Another port is tried.
      }
    }
    throw new IOException("no free port");
  }

  /** Serves each connection on a thread of its own. */
  static final class Server {
    final int port;
    private final ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final int maxBody;

    Server(Handler handler) throws IOException {
      this(handler, Integer.MAX_VALUE);
    }

    /** A request with a larger body gets 413, and its connection is closed. */
    Server(Handler handler, int maxBody) throws IOException {
      this.maxBody = maxBody;
      port = freePort();
      socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(LOOPBACK, port), 200);
      daemon(() -> accept(handler));
    }

    String address() {
      return HOST + ":" + port;
    }

    void close() {
      try {
        socket.close();
      } catch (IOException ignored) {
        // It is closed.
      }
      open.forEach(Web::closeQuietly);
    }

    private void accept(Handler handler) {
      while (!socket.isClosed()) {
        try {
          Socket accepted = socket.accept();
          open.add(accepted);
          daemon(() -> serve(accepted, handler));
        } catch (IOException closed) {
          return;
        }
      }
    }

    private void serve(Socket connection, Handler handler) {
      try (connection) {
        connection.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        while (true) {
          String requestLine = readLine(in);
          if (requestLine == null) {
            return;
          }
          Map<String, String> headers = readHeaders(in);
          long length = Long.parseLong(headers.getOrDefault("content-length", "0"));
          String[] parts = requestLine.split(" ");
          if (length > maxBody) {
            in.skipNBytes(length);
            write(out, new Response(413, "{\"error\":\"body too large\"}"), true);
            return;
          }
          byte[] body = in.readNBytes((int) length);
          Response response = handler.handle(parts[0], parts[1], body);
          if (response == null) {
            return;
          }
          write(out, response, false);
        }
      } catch (Exception gone) {
        // The peer is gone, or the handler wants the connection closed.
      } finally {
        open.remove(connection);
      }
    }

    private static void write(OutputStream out, Response response, boolean close)
        throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status + " -\r\n");
      head.append("content-type: application/json\r\ncontent-length: ");
      head.append(response.body.length).append("\r\n");
      response.headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
      if (close) {
        head.append("connection: close\r\n");
      }
      head.append("\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head.toString().getBytes(StandardCharsets.US_ASCII));
      all.write(response.body);
      out.write(all.toByteArray());
      out.flush();
    }
  }

  /** A client connection to one address, opened again when it was closed. */
  static final class Client {
    private final String host;
    private final int port;
    private Socket socket;
    private InputStream in;

    Client(String address) {
      int colon = address.lastIndexOf(':');
      host = address.substring(0, colon);
      port = Integer.parseInt(address.substring(colon + 1));
    }

    /** Sends one request; throws when there is no answer in time. */
    Response send(String method, String path, String body, int timeoutMs) throws IOException {
      try {
        if (socket == null || socket.isClosed()) {
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress(host, port), Math.min(500, timeoutMs));
          in = new BufferedInputStream(socket.getInputStream());
        }
        socket.setSoTimeout(timeoutMs);
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        String head =
            method
                + " "
                + path
                + " HTTP/1.1\r\nhost: "
                + host
                + ":"
                + port
                + "\r\ncontent-type: application/json\r\ncontent-length: "
                + bytes.length
                + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.US_ASCII));
        all.write(bytes);
        socket.getOutputStream().write(all.toByteArray());
        String statusLine = readLine(in);
        if (statusLine == null) {
          throw new EOFException("closed without an answer");
        }
        Map<String, String> headers = readHeaders(in);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] answer = in.readNBytes(length);
        if ("close".equalsIgnoreCase(headers.get("connection"))) {
          close();
        }
        return new Response(Integer.parseInt(statusLine.split(" ")[1]), answer, headers);
      } catch (IOException | RuntimeException e) {
        close();
        throw e instanceof IOException io ? io : new IOException(e);
      }
    }

    void close() {
      closeQuietly(socket);
      socket = null;
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.toString();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return null;
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return headers;
  }

  static void closeQuietly(Socket socket) {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException ignored) {
      // It is closed.
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "standin", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}

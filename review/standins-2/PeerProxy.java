package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes the connections of one controller to another on, unless they are refused or held. */
final class PeerProxy {
  private final ServerSocket socket;
  private final int targetPort;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean refused;

  /** While set, bytes wait here in both directions and are passed on in order afterwards. */
  volatile boolean held;

  PeerProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(Web.LOOPBACK, Web.freePort()), 50);
    Web.daemon(this::accept);
  }

  String address() {
    return Web.HOST + ":" + socket.getLocalPort();
  }

  void refuse(boolean refuse) {
    refused = refuse;
    if (refuse) {
      open.forEach(Web::closeQuietly);
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket from = socket.accept();
        if (refused) {
          from.close();
          continue;
        }
        Web.daemon(() -> connect(from));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void connect(Socket from) {
    try {
      Socket to = new Socket();
      to.connect(new InetSocketAddress(Web.LOOPBACK, targetPort), 500);
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
      open.add(from);
      open.add(to);
      Web.daemon(() -> copy(from, to));
      copy(to, from);
    } catch (IOException e) {
      Web.closeQuietly(from);
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[64 * 1024];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        while (held) {
          Web.sleep(10);
        }
        out.write(buffer, 0, n);
      }
    } catch (IOException gone) {
      // Both ends are closed below.
    }
    while (held) {
      Web.sleep(10);
    }
    Web.closeQuietly(from);
    Web.closeQuietly(to);
    open.remove(from);
    open.remove(to);
  }
}

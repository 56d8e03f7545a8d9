package org.sandford.net;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.sandford.constants.PeerConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP client with a connection pool per address; each connection carries one request at a time,
 * without pipelining. Workers may outnumber sockets, so the connections to workers are limited: at
 * the limit, the connection that was idle the longest is closed, and requests wait in order until
 * one may be opened. Connections to the store and the cloud do not count.
 *
 * <p>Each request gets exactly one reply: the response, {@link HttpTransport.Reply#NOT_SENT} if it
 * certainly was not sent, or {@link HttpTransport.Reply#UNKNOWN}. Runs on the event loop.
 */
public final class NettyHttpClient implements HttpTransport {
  private static final Logger log = LoggerFactory.getLogger(NettyHttpClient.class);
  private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
  private static final Reply UNKNOWN = new Reply(Reply.UNKNOWN, new byte[0]);
  private static final Reply NOT_SENT = new Reply(Reply.NOT_SENT, new byte[0]);

  private final NettyLoop loop;
  private final Bootstrap bootstrap;
  private final Map<String, ArrayDeque<Connection>> idleByAddress = new HashMap<>();
  private final Set<Connection> idleWorkerConnections = new LinkedHashSet<>();
  private final ArrayDeque<Runnable> waitingConnects = new ArrayDeque<>();
  private final Set<String> serviceAddresses;
  private final int maxWorkerConnections;
  private int workerConnections;

  /**
   * Creates a client without connections.
   *
   * @param serviceAddresses the addresses of the store and the cloud; all others count as workers
   * @param maxWorkerConnections the most connections to workers that are open at a time
   */
  public NettyHttpClient(NettyLoop loop, Set<String> serviceAddresses, int maxWorkerConnections) {
    this.loop = loop;
    this.serviceAddresses = Set.copyOf(serviceAddresses);
    this.maxWorkerConnections = maxWorkerConnections;
    this.bootstrap =
        new Bootstrap()
            .group(loop.group())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PeerConstants.CONNECT_TIMEOUT_MS);
  }

  @Override
  public void send(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Reply> onReply) {
    assert loop.isCurrentThread() : "called outside the event loop";
    byte[] content = body == null ? new byte[0] : body;
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            path,
            Unpooled.wrappedBuffer(content));
    request.headers().set(HttpHeaderNames.HOST, address);
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
    if (body != null) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    Call call = new Call(onReply);
    call.timer = loop.after(timeoutMs, call::timeout);
    ArrayDeque<Connection> idleConnections = idleByAddress.get(address);
    while (idleConnections != null && !idleConnections.isEmpty()) {
      Connection connection = idleConnections.pollLast();
      idleWorkerConnections.remove(connection);
      if (connection.channel.isActive()) {
        connection.sendRequest(call, request);
        return;
      }
    }
    if (serviceAddresses.contains(address)) {
      connect(address, call, request);
    } else {
      waitingConnects.addLast(() -> connect(address, call, request));
      connectWaiting();
    }
  }

  private void connectWaiting() {
    while (!waitingConnects.isEmpty() && workerConnections < maxWorkerConnections) {
      waitingConnects.pollFirst().run();
    }
    if (!waitingConnects.isEmpty() && !idleWorkerConnections.isEmpty()) {
      // When it has closed, the next request may connect.
      Connection longestIdle = idleWorkerConnections.iterator().next();
      idleWorkerConnections.remove(longestIdle);
      Channels.close(longestIdle.channel);
    }
  }

  private void connect(String address, Call call, FullHttpRequest request) {
    if (call.finished) {
      request.release();
      return;
    }
    HostAndPort target = HostAndPort.fromString(address);
    Connection connection = new Connection(address);
    boolean toWorker = !serviceAddresses.contains(address);
    workerConnections += toWorker ? 1 : 0;
    bootstrap
        .clone()
        .handler(pipelineOf(connection))
        .connect(new InetSocketAddress(target.getHost(), target.getPort()))
        .addListener(
            (ChannelFuture future) -> {
              if (toWorker) {
                future.channel().closeFuture().addListener(closed -> workerConnectionClosed());
              }
              connectCompleted(future, connection, call, request);
            });
  }

  private static ChannelInitializer<Channel> pipelineOf(Connection connection) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channel
            .pipeline()
            .addLast(
                new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), connection);
      }
    };
  }

  private void workerConnectionClosed() {
    workerConnections--;
    connectWaiting();
  }

  private static void connectCompleted(
      ChannelFuture future, Connection connection, Call call, FullHttpRequest request) {
    if (!future.isSuccess()) {
      Channels.close(future.channel());
      request.release();
      call.finish(NOT_SENT);
      return;
    }
    connection.channel = future.channel();
    if (call.finished) {
      // The caller got NOT_SENT at its timeout, so the request must not be sent any more.
      request.release();
      connection.returnToPool();
    } else {
      connection.sendRequest(call, request);
    }
  }

  /** A request; calls back exactly once. */
  private static final class Call {
    private final Consumer<Reply> onReply;
    private Connection connection;
    private EventLoop.Timer timer;
    private boolean finished;

    Call(Consumer<Reply> onReply) {
      this.onReply = onReply;
    }

    void timeout() {
      if (finished) {
        return;
      }
      if (connection == null) {
        finish(NOT_SENT);
      } else {
        Connection timedOutConnection = connection;
        finish(UNKNOWN);
        timedOutConnection.call = null;
        Channels.close(timedOutConnection.channel);
      }
    }

    void finish(Reply reply) {
      if (!finished) {
        finished = true;
        if (timer != null) {
          timer.cancel();
        }
        try {
          onReply.accept(reply);
        } catch (RuntimeException e) {
          // An exception of the callback must not be handled as a broken connection.
          log.error("response handling failed", e);
        }
      }
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final String address;
    private Channel channel;
    private Call call;

    Connection(String address) {
      this.address = address;
    }

    void sendRequest(Call newCall, FullHttpRequest request) {
      call = newCall;
      newCall.connection = this;
      Channels.send(channel, request);
    }

    void returnToPool() {
      idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(this);
      if (!serviceAddresses.contains(address)) {
        idleWorkerConnections.add(this);
        connectWaiting();
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      Call answeredCall = call;
      call = null;
      Reply reply = new Reply(response.status().code(), ByteBufUtil.getBytes(response.content()));
      if (HttpUtil.isKeepAlive(response) && answeredCall != null) {
        returnToPool();
      } else {
        Channels.close(ctx.channel());
      }
      if (answeredCall != null) {
        answeredCall.finish(reply);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      idleWorkerConnections.remove(this);
      ArrayDeque<Connection> idleConnections = idleByAddress.get(address);
      if (idleConnections != null) {
        idleConnections.remove(this);
        if (idleConnections.isEmpty()) {
          idleByAddress.remove(address);
        }
      }
      Call unansweredCall = call;
      call = null;
      if (unansweredCall != null) {
        unansweredCall.finish(UNKNOWN);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Channels.close(ctx.channel());
    }
  }
}

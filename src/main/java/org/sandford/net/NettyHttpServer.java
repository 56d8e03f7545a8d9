package org.sandford.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.sandford.constants.ApiConstants;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.runtime.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server for users, workers and health checks; one handler answers all requests, at once or
 * later.
 *
 * <p>Connections are limited, since the last remaining controller gets the heartbeats of all
 * workers. Workers may keep only a fraction of the connections; one above it is closed after its
 * response. At the limit, the connection that was idle the longest is closed, a worker's before a
 * user's.
 *
 * <p>Runs on the event loop.
 */
public final class NettyHttpServer {
  /** Answers requests through a callback. */
  public interface RequestHandler {
    /** Handles a request; {@code responder} must be called exactly once. */
    void handle(String method, String path, byte[] body, Consumer<ApiResponse> responder);
  }

  private static final Logger log = LoggerFactory.getLogger(NettyHttpServer.class);
  private final NettyLoop loop;
  private final RequestHandler requestHandler;
  private final int maxConnections;
  private final int maxWorkerConnections;
  private final Set<Connection> connections = new LinkedHashSet<>();

  /** Worker connections without a request in progress, the one idle the longest first. */
  private final Set<Connection> idleWorkerConnections = new LinkedHashSet<>();

  /** The same for user connections, and for new ones before their first request. */
  private final Set<Connection> idleUserConnections = new LinkedHashSet<>();

  private int workerConnections;

  /** Creates a server for at most {@code maxConnections}, which does not listen yet. */
  public NettyHttpServer(NettyLoop loop, int maxConnections, RequestHandler requestHandler) {
    this.loop = loop;
    this.maxConnections = maxConnections;
    this.maxWorkerConnections = (int) (maxConnections * ApiConstants.WORKER_CONNECTION_SHARE);
    this.requestHandler = requestHandler;
  }

  /**
   * Starts listening; blocks until the port is bound.
   *
   * @throws IllegalStateException if the port cannot be bound
   */
  public void listen(String host, int port) throws InterruptedException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop.group())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ApiConstants.ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    if (connections.size() >= maxConnections + ApiConstants.OVERFLOW_SOCKETS) {
                      Channels.close(channel);
                      return;
                    }
                    channel
                        .pipeline()
                        .addLast(new HttpServerCodec(), new BodyAggregator(), new Connection());
                  }
                })
            .bind(new InetSocketAddress(host, port))
            .sync();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + host + ":" + port, bound.cause());
    }
  }

  private static FullHttpResponse toHttpResponse(ApiResponse apiResponse) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(apiResponse.status()),
            Unpooled.wrappedBuffer(Json.bytes(apiResponse.body())));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    if (apiResponse.retryAfterS() > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, apiResponse.retryAfterS());
    }
    return response;
  }

  /**
   * Collects bodies; refuses one that is too large as a malformed request (400) and closes the
   * connection.
   */
  private static final class BodyAggregator extends HttpObjectAggregator {
    BodyAggregator() {
      super(ApiConstants.MAX_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      FullHttpResponse refusal =
          toHttpResponse(
              ApiResponse.refusal(
                  HttpStatus.BAD_REQUEST,
                  "the body is larger than " + ApiConstants.MAX_BODY_BYTES + " bytes"));
      refusal.headers().set(HttpHeaderNames.CONNECTION, "close");
      ctx.writeAndFlush(refusal).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void closeLongestIdle() {
    Set<Connection> candidates =
        idleWorkerConnections.isEmpty() ? idleUserConnections : idleWorkerConnections;
    if (!candidates.isEmpty()) {
      Connection longestIdle = candidates.iterator().next();
      candidates.remove(longestIdle);
      Channels.close(longestIdle.channel);
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private Channel channel;
    private boolean usedByWorker;
    private boolean closeAfterResponse;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      if (connections.size() >= maxConnections) {
        closeLongestIdle();
        // The new connection still gets one response, and is closed after it.
        closeAfterResponse = true;
      }
      connections.add(this);
      idleUserConnections.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(this);
      idleUserConnections.remove(this);
      idleWorkerConnections.remove(this);
      workerConnections -= usedByWorker ? 1 : 0;
    }

    private void requestStarted(boolean isHeartbeat) {
      idleUserConnections.remove(this);
      idleWorkerConnections.remove(this);
      if (isHeartbeat != usedByWorker) {
        usedByWorker = isHeartbeat;
        workerConnections += isHeartbeat ? 1 : -1;
      }
    }

    /** Marks the connection as idle and returns true, unless it must close after its response. */
    private boolean markIdleUnlessClosing() {
      if (closeAfterResponse || (usedByWorker && workerConnections > maxWorkerConnections)) {
        return false;
      }
      (usedByWorker ? idleWorkerConnections : idleUserConnections).add(this);
      return true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      if (request.decoderResult().isFailure()) {
        write(ctx, ApiResponse.refusal(HttpStatus.BAD_REQUEST, "the request is not HTTP"), false);
        return;
      }
      requestStarted(request.uri().startsWith(ApiConstants.HEARTBEAT_PATH));
      byte[] body = ByteBufUtil.getBytes(request.content());
      requestHandler.handle(
          request.method().name(),
          request.uri(),
          body,
          apiResponse -> write(ctx, apiResponse, keepAlive));
    }

    private void write(
        ChannelHandlerContext ctx, ApiResponse apiResponse, boolean keepAliveRequested) {
      if (!channel.isActive()) {
        return;
      }
      boolean keepAlive = keepAliveRequested && markIdleUnlessClosing();
      FullHttpResponse response = toHttpResponse(apiResponse);
      if (!keepAlive) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      ChannelFuture written = ctx.writeAndFlush(response);
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof IOException) {
        log.debug("connection failed cause=\"{}\"", cause.toString());
      } else {
        log.error("request handling failed", cause);
      }
      Channels.close(ctx.channel());
    }
  }
}

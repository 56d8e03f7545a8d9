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
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.sandford.Constants;
import org.sandford.core.Answer;
import org.sandford.core.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes users', workers' and health requests and hands each to one function that answers later. */
public final class NettyHttpServer {
  /** Answers a request by calling back once. */
  public interface Requests {
    void take(String method, String path, byte[] body, Consumer<Answer> answer);
  }

  private static final Logger log = LoggerFactory.getLogger(NettyHttpServer.class);
  private final NettyLoop loop;
  private final Requests requests;
  private final int most;
  private int open;

  public NettyHttpServer(NettyLoop loop, int most, Requests requests) {
    this.loop = loop;
    this.most = most;
    this.requests = requests;
  }

  public void listen(String host, int port) throws InterruptedException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop.group())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 256)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    if (open >= most) {
                      channel.close();
                      return;
                    }
                    channel.pipeline().addLast(new HttpServerCodec(), new Bodies(), new Connection());
                  }
                })
            .bind(new InetSocketAddress(host, port))
            .sync();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + host + ":" + port, bound.cause());
    }
  }

  private static FullHttpResponse response(Answer answer) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(Json.bytes(answer.body())));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    if (answer.retryAfterS() > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, answer.retryAfterS());
    }
    return response;
  }

  /** Collects bodies; one that is too large is a malformed request (400), and ends the connection. */
  private static final class Bodies extends HttpObjectAggregator {
    Bodies() {
      super(Constants.BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      FullHttpResponse refusal =
          response(Answer.refuse(400, "the body is larger than " + Constants.BODY_BYTES + " bytes"));
      refusal.headers().set(HttpHeaderNames.CONNECTION, "close");
      ctx.writeAndFlush(refusal).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      open++;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      open--;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      boolean keep = HttpUtil.isKeepAlive(request);
      if (request.decoderResult().isFailure()) {
        write(ctx, Answer.refuse(400, "the request is not HTTP"), false);
        return;
      }
      byte[] body = ByteBufUtil.getBytes(request.content());
      requests.take(
          request.method().name(), request.uri(), body, answer -> write(ctx, answer, keep));
    }

    private void write(ChannelHandlerContext ctx, Answer answer, boolean keep) {
      FullHttpResponse response = response(answer);
      if (!keep) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      ChannelFuture written = ctx.writeAndFlush(response);
      if (!keep) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof java.io.IOException) {
        log.debug("a connection failed: {}", cause.toString());
      } else {
        log.error("a request could not be taken", cause);
      }
      ctx.close();
    }
  }
}

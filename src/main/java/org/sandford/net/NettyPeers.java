package org.sandford.net;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.sandford.constants.PeerConstants;
import org.sandford.runtime.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections between controllers over TCP; each frame is preceded by its length in four bytes. A
 * connection whose peer does not read is closed. Runs on the event loop.
 */
public final class NettyPeers implements PeerTransport {
  private static final Logger log = LoggerFactory.getLogger(NettyPeers.class);
  private final NettyLoop loop;
  private final InetSocketAddress listenAddress;

  /** Creates a transport that listens on this address once {@link #listen} is called. */
  public NettyPeers(NettyLoop loop, String host, int port) {
    this.loop = loop;
    this.listenAddress = new InetSocketAddress(host, port);
  }

  @Override
  public void dial(String address, Handler handler) {
    assert loop.isCurrentThread() : "called outside the event loop";
    HostAndPort target = HostAndPort.fromString(address);
    new Bootstrap()
        .group(loop.group())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PeerConstants.CONNECT_TIMEOUT_MS)
        .handler(pipeline(() -> handler))
        .connect(new InetSocketAddress(target.getHost(), target.getPort()))
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                handler.closed(null);
              }
            });
  }

  @Override
  public void listen(Supplier<Handler> handlerFactory) {
    assert loop.isCurrentThread() : "called outside the event loop";
    new ServerBootstrap()
        .group(loop.group())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(pipeline(handlerFactory))
        .bind(listenAddress)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                log.error(
                    "peer listen failed address={} cause=\"{}\"",
                    listenAddress,
                    future.cause().toString());
              }
            });
  }

  private static ChannelInitializer<Channel> pipeline(Supplier<Handler> handlerFactory) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channel
            .pipeline()
            .addLast(
                // Frames that are written together leave as one packet, which wakes the peer once.
                new FlushConsolidationHandler(PeerConstants.PEER_MAX_FRAMES_PER_FLUSH, true),
                new LengthFieldBasedFrameDecoder(PeerConstants.PEER_MAX_FRAME_BYTES, 0, 4, 0, 4),
                new LengthFieldPrepender(4),
                new FrameHandler(handlerFactory.get()));
      }
    };
  }

  private static final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf>
      implements Connection {
    private final Handler handler;
    private Channel channel;

    FrameHandler(Handler handler) {
      this.handler = handler;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      handler.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      handler.frameReceived(this, ByteBufUtil.getBytes(frame));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      handler.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof IOException) {
        log.info("peer connection failed cause=\"{}\"", cause.toString());
      } else {
        log.error("peer frame handling failed", cause);
      }
      Channels.close(ctx.channel());
    }

    @Override
    public void send(byte[] frame) {
      if (channel.unsafe().outboundBuffer() != null
          && channel.unsafe().outboundBuffer().totalPendingWriteBytes()
              > PeerConstants.PEER_MAX_BACKLOG_BYTES) {
        log.info("peer connection closed reason=backlog");
        Channels.close(channel);
        return;
      }
      Channels.send(channel, Unpooled.wrappedBuffer(frame));
    }

    @Override
    public void close() {
      Channels.close(channel);
    }
  }
}

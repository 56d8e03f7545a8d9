package org.sandford.net;

import io.netty.channel.Channel;

/**
 * Calls on Netty channels whose results are ignored: a channel that fails is closed, and its
 * handlers are notified of that.
 */
final class Channels {
  private Channels() {}

  /** Closes the channel; its handlers are notified once it is closed. */
  @SuppressWarnings(
      "FutureReturnValueIgnored") // A channel that cannot be closed is closed already.
  static void close(Channel channel) {
    channel.close();
  }

  /** Writes and flushes the message. */
  @SuppressWarnings("FutureReturnValueIgnored") // A write that fails closes the channel.
  static void send(Channel channel, Object message) {
    channel.writeAndFlush(message);
  }
}

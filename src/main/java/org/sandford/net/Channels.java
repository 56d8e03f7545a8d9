package org.sandford.net;

import io.netty.channel.Channel;

/**
 * Calls on Netty's channels whose outcome nobody waits for: a channel that fails is closed, which
 * its handlers hear of.
 */
final class Channels {
  private Channels() {}

  /** Closes the channel; its handlers hear when it is closed. */
  @SuppressWarnings(
      "FutureReturnValueIgnored") // A channel that cannot be closed is closed already.
  static void close(Channel channel) {
    channel.close();
  }

  /** Sends the message at once. */
  @SuppressWarnings("FutureReturnValueIgnored") // A write that fails closes the channel.
  static void send(Channel channel, Object message) {
    channel.writeAndFlush(message);
  }
}

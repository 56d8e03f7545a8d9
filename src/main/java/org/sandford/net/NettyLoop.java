package org.sandford.net;

import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.IntSupplier;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.sandford.constants.TimeConstants;
import org.sandford.runtime.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The event loop of a running controller: one Netty thread for all work. */
public final class NettyLoop implements EventLoop {
  private static final Logger log = LoggerFactory.getLogger(NettyLoop.class);
  private final NioEventLoopGroup group =
      new NioEventLoopGroup(
          1,
          new DefaultThreadFactory("sandford", false),
          SelectorProvider.provider(),
          BatchingSelectStrategy::new);
  private final io.netty.channel.EventLoop loop = group.next();

  NioEventLoopGroup group() {
    return group;
  }

  io.netty.channel.EventLoop eventLoop() {
    return loop;
  }

  @Override
  public long nanos() {
    return System.nanoTime();
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public Timer after(long millis, Runnable task) {
    Future<?> timer = loop.schedule(loggingExceptions(task), millis, TimeUnit.MILLISECONDS);
    return () -> timer.cancel(false);
  }

  @Override
  public void execute(Runnable task) {
    loop.execute(loggingExceptions(task));
  }

  @Override
  public boolean isCurrentThread() {
    return loop.inEventLoop();
  }

  /** Stops the thread within a second; called when the process ends. */
  @SuppressWarnings("FutureReturnValueIgnored") // The process ends; nobody waits for its threads.
  public void shutdown() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Batches events under load: a wake-up costs far more than one more event in the same batch, and
   * the heartbeats of many workers arrive one by one. Under low load, events are handled at once.
   */
  private static final class BatchingSelectStrategy implements SelectStrategy {
    private long lastWaitAtNanos = System.nanoTime();

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
      if (hasTasks) {
        return selectNow.get();
      }
      long nanosSinceLastWait = System.nanoTime() - lastWaitAtNanos;
      if (nanosSinceLastWait
          < TimeConstants.BATCH_WINDOW_MS * TimeConstants.BATCH_IDLE_FACTOR * 1_000_000L) {
        Thread.sleep(TimeConstants.BATCH_WINDOW_MS);
        int readyCount = selectNow.get();
        lastWaitAtNanos = System.nanoTime();
        return readyCount > 0 ? readyCount : SelectStrategy.SELECT;
      }
      lastWaitAtNanos = System.nanoTime();
      return SelectStrategy.SELECT;
    }
  }

  /** Wraps a task so that an exception is logged and ends neither the loop nor a periodic task. */
  private static Runnable loggingExceptions(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        log.error("event failed", e);
      }
    };
  }
}

package org.sandford.store;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.function.Consumer;
import org.sandford.constants.ApiConstants;
import org.sandford.constants.StoreConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.HttpTransport;
import org.sandford.runtime.HttpTransport.Reply;
import org.sandford.runtime.TokenBucket;
import org.sandford.store.StoreClient.Priority;

/**
 * Sends requests to the store within this controller's share of the store's rate limits, in order
 * of priority. A request that the store rejects for its rate was not executed and is sent again.
 * Runs on the event loop.
 */
final class StoreRequestQueue {
  /**
   * One HTTP request.
   *
   * @param writeOps the number of changes in it, which count against the write rate
   * @param body the body, or null for none
   * @param timeoutMs milliseconds to wait for the answer
   */
  @SuppressWarnings("ArrayRecordComponent") // Requests are sent and never compared.
  record Request(
      Priority priority, int writeOps, String method, String path, byte[] body, int timeoutMs) {
    static Request get(Priority priority, String path, int timeoutMs) {
      return new Request(priority, 0, "GET", path, null, timeoutMs);
    }

    static Request post(Priority priority, int writeOps, String path, byte[] body, int timeoutMs) {
      return new Request(priority, writeOps, "POST", path, body, timeoutMs);
    }
  }

  private record QueuedRequest(int writeOps, Runnable send) {}

  private static final Reply NOT_SENT = new Reply(Reply.NOT_SENT, new byte[0]);

  private final EventLoop loop;
  private final HttpTransport http;
  private final String address;
  private final TokenBucket requestRate;
  private final TokenBucket writeRate;
  private final EnumMap<Priority, ArrayDeque<QueuedRequest>> queues = new EnumMap<>(Priority.class);
  private final int maxQueuedReads;
  private boolean sendScheduled;

  /**
   * Creates an empty queue.
   *
   * @param address host and port of the store
   * @param requestsPerSecond the store's limit on requests, of which one controller uses a share
   * @param writesPerSecond the store's limit on changes, of which one controller uses a share
   */
  StoreRequestQueue(
      EventLoop loop,
      HttpTransport http,
      String address,
      double requestsPerSecond,
      double writesPerSecond) {
    this.loop = loop;
    this.http = http;
    this.address = address;
    double ownRequestsPerSecond = requestsPerSecond * StoreConstants.STORE_RATE_SHARE;
    this.requestRate = new TokenBucket(loop, ownRequestsPerSecond);
    this.writeRate = new TokenBucket(loop, writesPerSecond * StoreConstants.STORE_RATE_SHARE);
    this.maxQueuedReads =
        Math.max(1, (int) (ownRequestsPerSecond * ApiConstants.MAX_QUEUED_READS_S));
    for (Priority priority : Priority.values()) {
      queues.put(priority, new ArrayDeque<>());
    }
  }

  /** Returns whether enough of the write rate is unused for writes that nobody waits for. */
  boolean hasSpareWriteRate() {
    return writeRate.hasAtLeast(writeRate.capacity() * StoreConstants.SPARE_WRITE_RATE_SHARE);
  }

  /** Queues the request; {@code onReply} runs exactly once, on the event loop. */
  void send(Request request, Consumer<Reply> onReply) {
    assert loop.isCurrentThread() : "called outside the event loop";
    send(request, onReply, StoreConstants.STORE_MAX_ATTEMPTS);
  }

  private void send(Request request, Consumer<Reply> onReply, int attemptsLeft) {
    ArrayDeque<QueuedRequest> queue = queues.get(request.priority);
    if (request.priority == Priority.READ && queue.size() >= maxQueuedReads) {
      // Its caller would give up before the read is sent, so the read fails at once.
      loop.execute(() -> onReply.accept(NOT_SENT));
      return;
    }
    queue.addLast(
        new QueuedRequest(request.writeOps, () -> transmit(request, onReply, attemptsLeft)));
    sendQueued();
  }

  private void transmit(Request request, Consumer<Reply> onReply, int attemptsLeft) {
    http.send(
        address,
        request.method,
        request.path,
        request.body,
        request.timeoutMs,
        reply -> {
          if (reply.status() == 429 && attemptsLeft > 1) {
            loop.after(
                StoreConstants.STORE_RETRY_MS, () -> send(request, onReply, attemptsLeft - 1));
          } else {
            onReply.accept(reply);
          }
        });
  }

  private void sendQueued() {
    long writeRateWaitMs = Long.MAX_VALUE;
    for (Priority priority : Priority.values()) {
      ArrayDeque<QueuedRequest> queue = queues.get(priority);
      while (!queue.isEmpty()) {
        QueuedRequest head = queue.peekFirst();
        // Renewals ignore the rate limits: a lost session lease causes a failover.
        if (priority != Priority.LIVENESS) {
          if (!requestRate.allows(1)) {
            sendQueuedAfter(requestRate.waitMillis(1));
            return;
          }
          if (head.writeOps > 0 && !writeRate.allows(head.writeOps)) {
            // Reads of lower priority need not wait for the write rate.
            writeRateWaitMs = Math.min(writeRateWaitMs, writeRate.waitMillis(head.writeOps));
            break;
          }
        }
        queue.pollFirst();
        requestRate.take(1);
        if (head.writeOps > 0) {
          writeRate.take(head.writeOps);
        }
        head.send.run();
      }
    }
    if (writeRateWaitMs < Long.MAX_VALUE) {
      sendQueuedAfter(writeRateWaitMs);
    }
  }

  private void sendQueuedAfter(long millis) {
    if (sendScheduled) {
      return;
    }
    sendScheduled = true;
    loop.after(
        Math.max(1, millis),
        () -> {
          sendScheduled = false;
          sendQueued();
        });
  }
}

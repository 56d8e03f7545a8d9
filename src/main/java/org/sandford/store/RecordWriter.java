package org.sandford.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.sandford.constants.StoreConstants;
import org.sandford.runtime.EventLoop;
import org.sandford.runtime.Json;
import org.sandford.store.StoreClient.Op;
import org.sandford.store.StoreClient.Outcome;
import org.sandford.store.StoreClient.Priority;
import org.sandford.store.StoreClient.TransactionResult;

/**
 * Group commit of job records: a transaction contains as many independent compare-and-swap writes
 * as the store's limits allow. If a condition fails, the store applies none of them. The write with
 * the failed condition then gets the conflict, and the others are sent again. Runs on the event
 * loop.
 */
public final class RecordWriter {
  /** The purpose of a write, in the order in which writes are sent. */
  public enum WriteKind {
    /** A job's terminal state; aborts are answered and exits acknowledged once it is stored. */
    TERMINAL_STATE,
    /** A new job, whose user waits for the answer. */
    NEW_JOB,
    /** Changes that nobody waits for, such as finished tasks of an open job. */
    PROGRESS
  }

  /**
   * One independent write.
   *
   * @param conditions the required revision of each key
   * @param ops the changes
   * @param kind its purpose
   * @param onSent runs whenever it is put into a transaction; from then on it may be applied
   * @param onResult receives the result of the transaction
   */
  public record Write(
      Map<String, Long> conditions,
      List<Op> ops,
      WriteKind kind,
      Runnable onSent,
      Consumer<TransactionResult> onResult) {
    /** Creates a write whose caller need not know when it is sent. */
    public Write(
        Map<String, Long> conditions,
        List<Op> ops,
        WriteKind kind,
        Consumer<TransactionResult> onResult) {
      this(conditions, ops, kind, () -> {}, onResult);
    }
  }

  private final EventLoop loop;
  private final StoreClient store;
  private final int maxOps;
  private final EnumMap<WriteKind, ArrayDeque<Write>> queues = new EnumMap<>(WriteKind.class);

  /** Unanswered transactions with terminal states and new jobs. */
  private int transactionsInFlight;

  /** The writes in these transactions. */
  private int unansweredWrites;

  /** Whether a progress write is in flight or waits for spare write rate. */
  private boolean progressWritePending;

  private boolean flushScheduled;

  /**
   * Creates a writer without pending writes.
   *
   * @param maxOps the maximum number of changes in one transaction
   */
  public RecordWriter(EventLoop loop, StoreClient store, int maxOps) {
    this.loop = loop;
    this.store = store;
    this.maxOps = maxOps;
    for (WriteKind kind : WriteKind.values()) {
      queues.put(kind, new ArrayDeque<>());
    }
  }

  /** Returns the number of terminal states and new jobs that are queued or unanswered. */
  public int backlog() {
    return unsentUrgentWrites() + unansweredWrites;
  }

  private int unsentUrgentWrites() {
    return queues.get(WriteKind.TERMINAL_STATE).size() + queues.get(WriteKind.NEW_JOB).size();
  }

  /** Queues the write for the next transactions; its result arrives exactly once. */
  public void write(Write write) {
    queues.get(write.kind).addLast(write);
    flushSoon();
  }

  /** Removes the write from its queue; returns false if it is in flight or answered. */
  public boolean withdraw(Write write) {
    return queues.get(write.kind).remove(write);
  }

  private void flushSoon() {
    if (!flushScheduled) {
      flushScheduled = true;
      loop.execute(
          () -> {
            flushScheduled = false;
            flush();
          });
    }
  }

  private void flush() {
    while (transactionsInFlight < StoreConstants.MAX_TXNS_IN_FLIGHT && unsentUrgentWrites() > 0) {
      sendUrgentWrites();
    }
    if (!progressWritePending && !queues.get(WriteKind.PROGRESS).isEmpty()) {
      sendProgressWrites();
    }
  }

  private void sendUrgentWrites() {
    boolean hasTerminalStates = !queues.get(WriteKind.TERMINAL_STATE).isEmpty();
    Batch batch = new Batch(maxOps);
    batch.takeFrom(queues.get(WriteKind.TERMINAL_STATE));
    batch.takeFrom(queues.get(WriteKind.NEW_JOB));
    int writeCount = batch.writes.size();
    transactionsInFlight++;
    unansweredWrites += writeCount;
    send(
        batch.writes,
        hasTerminalStates ? Priority.ASSIGNMENT_MAP : Priority.RECORD,
        () -> {
          transactionsInFlight--;
          unansweredWrites -= writeCount;
        });
  }

  /** Sends progress, one transaction at a time, while enough of the write rate is unused. */
  private void sendProgressWrites() {
    progressWritePending = true;
    if (store.hasSpareWriteRate()) {
      Batch batch = new Batch(maxOps);
      batch.takeFrom(queues.get(WriteKind.PROGRESS));
      send(batch.writes, Priority.RECORD, () -> progressWritePending = false);
      return;
    }
    loop.after(
        StoreConstants.STORE_RETRY_MS,
        () -> {
          progressWritePending = false;
          flush();
        });
  }

  /** Writes for one transaction, within the store's limits and with no key changed twice. */
  private static final class Batch {
    private final int maxOps;
    private final List<Write> writes = new ArrayList<>();
    private final Set<String> keys = new HashSet<>();
    private int opCount;
    private int totalBytes;

    Batch(int maxOps) {
      this.maxOps = maxOps;
    }

    /**
     * Moves writes from the queue into the batch, in order, until one exceeds the limits. Leaves
     * writes in the queue that change a key of the batch.
     */
    void takeFrom(ArrayDeque<Write> queue) {
      for (Iterator<Write> it = queue.iterator(); it.hasNext(); ) {
        Write write = it.next();
        int writeBytes = Json.bytes(StoreClient.txnBody(write.conditions, write.ops)).length;
        if (!writes.isEmpty() && exceedsLimits(write, writeBytes)) {
          return;
        }
        if (write.ops.stream().noneMatch(op -> keys.contains(op.key()))) {
          it.remove();
          add(write, writeBytes);
        }
      }
    }

    private boolean exceedsLimits(Write write, int writeBytes) {
      return opCount + write.ops.size() > maxOps
          || totalBytes + writeBytes > StoreConstants.STORE_TXN_MAX_BYTES;
    }

    private void add(Write write, int writeBytes) {
      writes.add(write);
      write.ops.forEach(op -> keys.add(op.key()));
      opCount += write.ops.size();
      totalBytes += writeBytes;
    }
  }

  /** Sends the writes with compatible conditions; requeues the others for the next transaction. */
  private void send(List<Write> batch, Priority priority, Runnable onAnswered) {
    Map<String, Long> conditions = new LinkedHashMap<>();
    List<Op> ops = new ArrayList<>();
    List<Write> sent = new ArrayList<>();
    List<Write> postponed = new ArrayList<>();
    for (Write write : batch) {
      if (isCompatible(conditions, write.conditions)) {
        conditions.putAll(write.conditions);
        ops.addAll(write.ops);
        sent.add(write);
      } else {
        postponed.add(write);
      }
    }
    postponed.forEach(write -> queues.get(write.kind).addFirst(write));
    sent.forEach(write -> write.onSent.run());
    store.transact(
        conditions,
        ops,
        priority,
        result -> {
          onAnswered.run();
          deliverResults(sent, result);
          flushSoon();
        });
  }

  /** Returns whether no key is required at two different revisions. */
  private static boolean isCompatible(Map<String, Long> conditions, Map<String, Long> added) {
    return added.entrySet().stream()
        .allMatch(
            condition ->
                conditions
                    .getOrDefault(condition.getKey(), condition.getValue())
                    .equals(condition.getValue()));
  }

  /** Delivers the result; after a conflict, requeues writes whose own conditions held. */
  private void deliverResults(List<Write> batch, TransactionResult result) {
    if (result.outcome() != Outcome.CONFLICT) {
      batch.forEach(write -> write.onResult.accept(result));
      return;
    }
    for (Write write : batch) {
      if (batch.size() == 1
          || result.failedKeys().stream().anyMatch(write.conditions::containsKey)) {
        write.onResult.accept(result);
      } else {
        queues.get(write.kind).addFirst(write);
      }
    }
  }
}

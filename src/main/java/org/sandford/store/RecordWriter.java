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
 * Group commit of job records: independent compare-and-swap writes share one transaction, as many
 * as the store's limits allow. A write whose condition fails is handed back; the others of its
 * transaction are sent again, since a transaction with a conflict was not applied. Runs on the
 * event loop.
 */
public final class RecordWriter {
  /** What a write is for; the earlier constant is written first. */
  public enum WriteKind {
    /** A terminal state: an abort is answered, and exits are acknowledged, only after it. */
    TERMINAL_STATE,
    /** A new job, whose user waits. */
    NEW_JOB,
    /** Finished tasks of an open job, which nobody waits for. */
    PROGRESS
  }

  /**
   * One independent write.
   *
   * @param conditions the revisions that its keys must have
   * @param ops what it changes
   * @param kind what it is for
   * @param onSent runs when it is put into a transaction: from then on it may be applied
   * @param onResult gets the result of the transaction
   */
  public record Write(
      Map<String, Long> conditions,
      List<Op> ops,
      WriteKind kind,
      Runnable onSent,
      Consumer<TransactionResult> onResult) {
    /** A write of which the caller need not know when it is sent. */
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

  /**
   * Transactions with terminal states and new jobs that are not answered, and the writes in them.
   */
  private int transactionsInFlight;

  private int unansweredWrites;

  /** Progress is under way, or waits for a spare write rate. */
  private boolean progressWritePending;

  private boolean flushScheduled;

  /**
   * Makes a writer with nothing to write.
   *
   * @param maxOps changes in one transaction at the most
   */
  public RecordWriter(EventLoop loop, StoreClient store, int maxOps) {
    this.loop = loop;
    this.store = store;
    this.maxOps = maxOps;
    for (WriteKind kind : WriteKind.values()) {
      queues.put(kind, new ArrayDeque<>());
    }
  }

  /** Writes that somebody waits for and that are not answered yet. */
  public int backlog() {
    return unsentUrgentWrites() + unansweredWrites;
  }

  private int unsentUrgentWrites() {
    return queues.get(WriteKind.TERMINAL_STATE).size() + queues.get(WriteKind.NEW_JOB).size();
  }

  /** Sends the write with the next transactions; its result arrives exactly once. */
  public void write(Write write) {
    queues.get(write.kind).addLast(write);
    flushSoon();
  }

  /** Withdraws a write that has not been sent; returns whether it will not be. */
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
        hasTerminalStates ? Priority.MAP : Priority.RECORD,
        () -> {
          transactionsInFlight--;
          unansweredWrites -= writeCount;
        });
  }

  /** Writes progress, one transaction at a time, where the write rate is far from used up. */
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

  /** Writes for one transaction, within the store's limits, that name no key twice. */
  private static final class Batch {
    private final int maxOps;
    private final List<Write> writes = new ArrayList<>();
    private final Set<String> keys = new HashSet<>();
    private int opCount;
    private int totalBytes;

    Batch(int maxOps) {
      this.maxOps = maxOps;
    }

    /** Moves writes from the queue into the batch, in order, until one exceeds the limits. */
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

  /** Sends the writes whose conditions agree; the others wait for the next transaction. */
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

  /** Whether no key has different revisions in both. */
  private static boolean isCompatible(Map<String, Long> conditions, Map<String, Long> added) {
    return added.entrySet().stream()
        .allMatch(
            condition ->
                conditions
                    .getOrDefault(condition.getKey(), condition.getValue())
                    .equals(condition.getValue()));
  }

  /** Hands back the results; of a conflict's writes only those whose own conditions failed. */
  private void deliverResults(List<Write> batch, TransactionResult result) {
    if (result.outcome() != Outcome.CONFLICT) {
      batch.forEach(write -> write.onResult.accept(result));
      return;
    }
    for (Write write : batch) {
      if (batch.size() == 1 || result.failed().stream().anyMatch(write.conditions::containsKey)) {
        write.onResult.accept(result);
      } else {
        queues.get(write.kind).addFirst(write);
      }
    }
  }
}

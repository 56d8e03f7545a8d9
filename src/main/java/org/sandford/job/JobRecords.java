package org.sandford.job;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.RangeSet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.sandford.audit.AuditLog;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ApiConstants;
import org.sandford.constants.JobConstants;
import org.sandford.constants.StoreConstants;
import org.sandford.model.ApiResponse;
import org.sandford.model.HttpStatus;
import org.sandford.runtime.EventLoop;
import org.sandford.settings.Settings;
import org.sandford.store.RecordWriter;
import org.sandford.store.StoreClient.Outcome;
import org.sandford.store.StoreClient.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the stored records of owned jobs up to date: the finished tasks of an open job, and its
 * terminal record. A job has one write pending at a time. After a write with an unknown outcome,
 * the record is read before the next write.
 *
 * <p>Runs on the event loop.
 */
final class JobRecords {
  private static final Logger log = LoggerFactory.getLogger(JobRecords.class);

  /** Listener for job records that were stored. */
  interface Listener {
    /** Handles a stored terminal state, which users may now be told. */
    void terminalStateStored(Job job, TerminalState state);

    /** Handles a stored finished task, whose exit may now be acknowledged to its worker. */
    void finishedTaskStored(Job job, Job.UnacknowledgedExit exit);
  }

  private final EventLoop loop;
  private final OwnedJobs owned;
  private final JobReader jobReader;
  private final AuditLog audit;
  private final JobRecordStore recordStore;
  private final Listener listener;

  JobRecords(
      EventLoop loop,
      Settings settings,
      Cluster cluster,
      OwnedJobs owned,
      RecordWriter writer,
      JobReader jobReader,
      AuditLog audit,
      Listener listener) {
    this.loop = loop;
    this.owned = owned;
    this.jobReader = jobReader;
    this.audit = audit;
    this.recordStore = new JobRecordStore(settings, cluster, writer);
    this.listener = listener;
  }

  /** Writes what the job's record lacks, unless a write is pending. */
  void flush(Job job) {
    if (isEnding(job)) {
      withdrawProgressWrite(job);
    }
    if (!mayWrite(job)) {
      return;
    }
    if (job.phase() == Job.Phase.CANCELLING) {
      writeTerminalRecord(job, TerminalState.CANCELLED);
    } else if (job.allDone()) {
      writeTerminalRecord(job, TerminalState.DONE);
    } else if (job.dirty && !job.progressWriteScheduled) {
      scheduleProgressWrite(job);
    }
  }

  private static boolean isEnding(Job job) {
    return job.phase() == Job.Phase.CANCELLING || job.allDone();
  }

  /** Withdraws a progress write that the terminal record replaces and must not wait for. */
  private void withdrawProgressWrite(Job job) {
    if (job.progressWrite != null && recordStore.withdraw(job.progressWrite)) {
      job.progressWrite = null;
      job.recordWritePending = false;
    }
  }

  private boolean mayWrite(Job job) {
    return !job.recordWritePending
        && !job.phase().isTerminal()
        && job.phase() != Job.Phase.STORING
        && owned.isCurrent(job);
  }

  private void scheduleProgressWrite(Job job) {
    job.progressWriteScheduled = true;
    loop.after(
        JobConstants.PROGRESS_WRITE_DELAY_MS,
        () -> {
          job.progressWriteScheduled = false;
          boolean stillNeeded =
              job.dirty
                  && !job.recordWritePending
                  && job.phase() == Job.Phase.OPEN
                  && !job.allDone();
          if (stillNeeded && owned.isCurrent(job)) {
            writeProgress(job);
          }
        });
  }

  private void writeTerminalRecord(Job job, TerminalState state) {
    job.recordWritePending = true;
    recordStore.replaceWithTerminalRecord(
        job,
        state,
        teamsRevision -> terminalWriteSent(job, state, teamsRevision),
        result -> terminalRecordWritten(job, state, result));
  }

  private void terminalWriteSent(Job job, TerminalState state, long teamsRevision) {
    job.terminalWriteSent();
    audit.terminalStateSent(job.spec.id(), state.wireName(), job.revision, teamsRevision);
  }

  private void terminalRecordWritten(Job job, TerminalState state, TransactionResult result) {
    job.recordWritePending = false;
    if (!owned.isCurrent(job)) {
      return;
    }
    switch (result.outcome()) {
      case APPLIED -> listener.terminalStateStored(job, state);
      case UNKNOWN -> {
        job.terminalWriteUnconfirmed();
        answerCancellations(job, unavailable("it is not known whether the change was stored"));
        handleFailedWrite(job, result);
      }
      case CONFLICT, REFUSED -> {
        job.terminalWriteRejected();
        handleFailedWrite(job, result);
      }
    }
  }

  private void writeProgress(Job job) {
    job.recordWritePending = true;
    job.dirty = false;
    List<Job.UnacknowledgedExit> exits = new ArrayList<>(job.exitsToAcknowledge);
    ObjectNode record = recordStore.openRecord(job);
    job.progressWrite =
        recordStore.progressWrite(
            job, record, result -> progressWritten(job, record, exits, result));
    recordStore.enqueue(job.progressWrite);
  }

  private void progressWritten(
      Job job, ObjectNode record, List<Job.UnacknowledgedExit> exits, TransactionResult result) {
    job.recordWritePending = false;
    job.progressWrite = null;
    if (!owned.isCurrent(job)) {
      return;
    }
    if (result.outcome() != Outcome.APPLIED) {
      job.dirty = true;
      handleFailedWrite(job, result);
      return;
    }
    job.revision = result.revision();
    RangeSet<Integer> stored = JobRecordCodec.finishedTasks(record);
    for (Job.UnacknowledgedExit exit : exits) {
      if (stored.contains(exit.task())) {
        job.exitsToAcknowledge.remove(exit);
        listener.finishedTaskStored(job, exit);
      }
    }
    flush(job);
  }

  /**
   * Retries a write that was certainly not applied. After a conflict on the record, or without an
   * answer, it reads the record first, since only that tells what the store holds.
   */
  private void handleFailedWrite(Job job, TransactionResult result) {
    if (result.outcome() == Outcome.REFUSED) {
      answerCancellations(job, unavailable("the store does not take the change"));
      loop.after(StoreConstants.STORE_RETRY_MS, () -> flush(job));
    } else if (result.outcome() == Outcome.CONFLICT
        && result.failedKeys().contains(Cluster.TEAMS_KEY)) {
      loop.after(StoreConstants.STORE_RETRY_MS, () -> flush(job));
    } else {
      job.recordWritePending = true;
      loop.after(StoreConstants.STORE_RETRY_MS, () -> readBack(job, result));
    }
  }

  private void readBack(Job job, TransactionResult failedWrite) {
    jobReader.read(job.spec.id(), result -> applyStoredState(job, result, failedWrite));
  }

  /** Applies the stored state of the job, which overrides the state in memory. */
  private void applyStoredState(Job job, JobReadResult result, TransactionResult failedWrite) {
    job.recordWritePending = false;
    if (!owned.isCurrent(job)) {
      return;
    }
    if (result instanceof JobReadResult.Terminal terminal) {
      listener.terminalStateStored(job, terminal.state());
    } else if (result instanceof JobReadResult.Open open) {
      job.revision = open.revision();
      TaskRanges.first(open.finishedTasks(), Integer.MAX_VALUE).forEach(job::markDone);
      flush(job);
    } else if (result instanceof JobReadResult.Absent) {
      log.error("job record missing from store job={}", job.spec.id());
    } else {
      handleFailedWrite(job, failedWrite);
    }
  }

  private static ApiResponse unavailable(String reason) {
    return ApiResponse.retryLater(
        HttpStatus.SERVICE_UNAVAILABLE, reason, ApiConstants.RETRY_AFTER_UNAVAILABLE_S);
  }

  /** Answers all users who wait for the job's cancellation. */
  static void answerCancellations(Job job, ApiResponse answer) {
    List<Consumer<ApiResponse>> waiting = new ArrayList<>(job.cancellationCallbacks);
    job.cancellationCallbacks.clear();
    waiting.forEach(callback -> callback.accept(answer));
  }
}

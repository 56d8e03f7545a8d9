package org.sandford.job;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.sandford.cluster.Cluster;
import org.sandford.constants.ApiConstants;
import org.sandford.constants.StoreConstants;
import org.sandford.model.JobSpec;
import org.sandford.settings.Settings;
import org.sandford.store.OpenJobReader;
import org.sandford.store.RecordWriter;
import org.sandford.store.StoreClient.Op;
import org.sandford.store.StoreClient.TransactionResult;

/**
 * Writes job records, each by compare-and-swap. A new job's record is written only if its id was
 * never used, so that a repeated submission creates nothing. The owner's writes also require the
 * teams' assignment that is known here, so that a former owner's late write fails.
 *
 * <p>Has no state of its own; runs on the event loop.
 */
final class JobRecordStore {
  private static final long KEY_ABSENT = 0;

  private final Settings settings;
  private final Cluster cluster;
  private final RecordWriter writer;

  JobRecordStore(Settings settings, Cluster cluster, RecordWriter writer) {
    this.settings = settings;
    this.cluster = cluster;
    this.writer = writer;
  }

  /** Returns whether a new record would wait too long for the store. */
  boolean isOverloaded() {
    double perSecond = settings.facts().storeWriteRps() * StoreConstants.STORE_RATE_SHARE;
    return writer.backlog() >= perSecond * ApiConstants.MAX_QUEUED_RECORDS_S;
  }

  /** Creates the record of a new job of a team that this controller owns. */
  void create(Job job, Consumer<TransactionResult> onResult) {
    String id = job.spec.id();
    ObjectNode record = openRecord(job);
    Map<String, Long> conditions = idNeverUsed(id);
    conditions.put(Cluster.TEAMS_KEY, cluster.teams().revision());
    writer.write(
        new RecordWriter.Write(
            conditions,
            List.of(Op.put(OpenJobReader.OPEN_PREFIX + id, record)),
            RecordWriter.WriteKind.NEW_JOB,
            onResult));
  }

  /**
   * Creates the record of a new job of another controller's team, with a key that announces it to
   * the owner.
   *
   * @param acceptedAt the wall-clock time of its submission, in milliseconds
   */
  void createForOwner(JobSpec spec, long acceptedAt, Consumer<TransactionResult> onResult) {
    ObjectNode record =
        JobRecordCodec.openRecord(
            spec, acceptedAt, TaskRanges.empty(), settings.facts().storeValueBytes());
    writer.write(
        new RecordWriter.Write(
            idNeverUsed(spec.id()),
            List.of(
                Op.put(OpenJobReader.OPEN_PREFIX + spec.id(), record),
                Op.put(Cluster.newJobKey(spec.id()), JobRecordCodec.newJobKeyValue(spec.team()))),
            RecordWriter.WriteKind.NEW_JOB,
            onResult));
  }

  /** Returns the job's current record, with as many finished tasks as fit. */
  ObjectNode openRecord(Job job) {
    return JobRecordCodec.openRecord(
        job.spec, job.acceptedAt, job.tasks.done(), settings.facts().storeValueBytes());
  }

  /** Returns a write, not yet queued, that replaces the record of an open job. */
  RecordWriter.Write progressWrite(
      Job job, ObjectNode record, Consumer<TransactionResult> onResult) {
    return new RecordWriter.Write(
        recordUnchanged(job),
        List.of(Op.put(OpenJobReader.OPEN_PREFIX + job.spec.id(), record)),
        RecordWriter.WriteKind.PROGRESS,
        onResult);
  }

  /**
   * Replaces the record of an open job by its terminal record.
   *
   * @param onSent gets the revision of the teams' assignment that the write requires, when the
   *     write is put into a transaction and may be applied from then on
   */
  void replaceWithTerminalRecord(
      Job job, TerminalState state, LongConsumer onSent, Consumer<TransactionResult> onResult) {
    String id = job.spec.id();
    long teamsRevision = cluster.teams().revision();
    writer.write(
        new RecordWriter.Write(
            recordUnchanged(job),
            List.of(
                Op.remove(OpenJobReader.OPEN_PREFIX + id),
                Op.put(
                    OpenJobReader.TERMINAL_PREFIX + id,
                    JobRecordCodec.terminalRecord(job.spec, state))),
            RecordWriter.WriteKind.TERMINAL_STATE,
            () -> onSent.accept(teamsRevision),
            onResult));
  }

  /** Queues a write, which may be withdrawn until it is sent. */
  void enqueue(RecordWriter.Write write) {
    writer.write(write);
  }

  /** Withdraws a queued write; returns false if it was already sent. */
  boolean withdraw(RecordWriter.Write write) {
    return writer.withdraw(write);
  }

  /**
   * Removes the key that announced a job if its revision is unchanged: a late removal finds another
   * revision or no key, and does nothing.
   */
  void removeNewJobKey(String id, long revision) {
    String key = Cluster.newJobKey(id);
    writer.write(
        new RecordWriter.Write(
            Map.of(key, revision),
            List.of(Op.remove(key)),
            RecordWriter.WriteKind.PROGRESS,
            result -> {}));
  }

  /** Returns the conditions that neither an open nor an ended job has the id. */
  private static Map<String, Long> idNeverUsed(String id) {
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(OpenJobReader.OPEN_PREFIX + id, KEY_ABSENT);
    conditions.put(OpenJobReader.TERMINAL_PREFIX + id, KEY_ABSENT);
    return conditions;
  }

  /** Returns the conditions that the job's record and the teams' assignment are as known here. */
  private Map<String, Long> recordUnchanged(Job job) {
    Map<String, Long> conditions = new LinkedHashMap<>();
    conditions.put(OpenJobReader.OPEN_PREFIX + job.spec.id(), job.revision);
    conditions.put(Cluster.TEAMS_KEY, cluster.teams().revision());
    return conditions;
  }
}

package org.sandford.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.RangeSet;
import org.sandford.model.JobSpec;
import org.sandford.runtime.Json;
import org.sandford.store.StoreClient.Entry;

/**
 * Converts a job's records in the store to and from JSON. Field names are short because store
 * values and transactions are limited in bytes. Controllers of the production version read the same
 * records, so neither the names nor their order may change.
 */
final class JobRecordCodec {
  private static final String OPEN_ACCEPTED_AT = "a";
  private static final String OPEN_SPEC = "s";
  private static final String OPEN_FINISHED_TASKS = "d";
  private static final String TERMINAL_STATE = "s";
  private static final String TERMINAL_TEAM = "t";
  private static final String TERMINAL_TASKS = "n";
  private static final String NEW_JOB_TEAM = "t";

  /** The most bytes that the name of the finished tasks' field and its punctuation take. */
  private static final int FINISHED_TASKS_OVERHEAD_BYTES = 16;

  private JobRecordCodec() {}

  /**
   * Returns the record of an open job.
   *
   * @param acceptedAt the wall-clock time of its submission, in milliseconds
   * @param maxBytes the size limit of a store value; finished tasks that do not fit are left out
   */
  static ObjectNode openRecord(
      JobSpec spec, long acceptedAt, RangeSet<Integer> finishedTasks, int maxBytes) {
    ObjectNode record = Json.object().put(OPEN_ACCEPTED_AT, acceptedAt);
    record.set(OPEN_SPEC, spec.toJson());
    int usedBytes = Json.bytes(record).length + FINISHED_TASKS_OVERHEAD_BYTES;
    record.set(OPEN_FINISHED_TASKS, TaskRanges.write(finishedTasks, maxBytes - usedBytes));
    return record;
  }

  /** Returns the open job of a record whose spec was already read. */
  static JobReadResult.Open openJob(JobSpec spec, Entry entry) {
    return new JobReadResult.Open(
        spec, acceptedAt(entry.value()), finishedTasks(entry.value()), entry.revision());
  }

  /** Returns the team of an ended job; empty if the record lacks it. */
  static String terminalTeam(JsonNode terminalRecord) {
    return terminalRecord.path(TERMINAL_TEAM).asText();
  }

  /** Returns the number of all tasks of an ended job; 0 if the record lacks it. */
  static int terminalTasks(JsonNode terminalRecord) {
    return terminalRecord.path(TERMINAL_TASKS).asInt();
  }

  /** Returns the wall-clock time at which an open job was submitted, in milliseconds. */
  private static long acceptedAt(JsonNode openRecord) {
    return openRecord.path(OPEN_ACCEPTED_AT).asLong();
  }

  /** Returns the finished tasks in an open job's record. */
  static RangeSet<Integer> finishedTasks(JsonNode openRecord) {
    return TaskRanges.read(openRecord.path(OPEN_FINISHED_TASKS));
  }

  /** Returns the record that replaces an open job's record when the job ends. */
  static ObjectNode terminalRecord(JobSpec spec, TerminalState state) {
    return Json.object()
        .put(TERMINAL_STATE, state.wireName())
        .put(TERMINAL_TEAM, spec.team())
        .put(TERMINAL_TASKS, spec.tasks());
  }

  /** Returns how a job ended according to its terminal record. */
  static TerminalState terminalState(JsonNode terminalRecord) {
    return TerminalState.of(terminalRecord.path(TERMINAL_STATE).asText());
  }

  /** Returns the terminal record of a job of which only the state is known. */
  static ObjectNode stateOnlyTerminalRecord(TerminalState state) {
    return Json.object().put(TERMINAL_STATE, state.wireName());
  }

  /**
   * Returns the value of the key that announces a job to the team's owner on whose behalf it was
   * stored.
   */
  static ObjectNode newJobKeyValue(String team) {
    return Json.object().put(NEW_JOB_TEAM, team);
  }
}

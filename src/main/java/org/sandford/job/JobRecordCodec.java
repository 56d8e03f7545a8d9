package org.sandford.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.RangeSet;
import org.sandford.model.JobSpec;
import org.sandford.runtime.Json;
import org.sandford.store.StoreClient.Entry;

/**
 * The JSON form of a job's records in the store. Field names are short because a store value and a
 * transaction are limited in bytes; controllers of the production version read the same records, so
 * neither names nor their order may change.
 */
final class JobRecordCodec {
  private static final String OPEN_ACCEPTED_AT = "a";
  private static final String OPEN_SPEC = "s";
  private static final String OPEN_FINISHED_TASKS = "d";
  private static final String TERMINAL_STATE = "s";
  private static final String TERMINAL_TEAM = "t";
  private static final String TERMINAL_TASKS = "n";
  private static final String NEW_JOB_TEAM = "t";

  /** Bytes that the finished tasks' field name and the punctuation around it take at most. */
  private static final int FINISHED_TASKS_OVERHEAD_BYTES = 16;

  private JobRecordCodec() {}

  /**
   * The record of an open job.
   *
   * @param acceptedAt the time of day at which it was submitted, in milliseconds
   * @param maxBytes the most bytes of a store value; finished tasks that do not fit are left out
   */
  static ObjectNode openRecord(
      JobSpec spec, long acceptedAt, RangeSet<Integer> finishedTasks, int maxBytes) {
    ObjectNode record = Json.object().put(OPEN_ACCEPTED_AT, acceptedAt);
    record.set(OPEN_SPEC, spec.json());
    int usedBytes = Json.bytes(record).length + FINISHED_TASKS_OVERHEAD_BYTES;
    record.set(OPEN_FINISHED_TASKS, TaskRanges.write(finishedTasks, maxBytes - usedBytes));
    return record;
  }

  /** An open job from its record, whose spec was read already. */
  static JobReadResult.Open openJob(JobSpec spec, Entry entry) {
    return new JobReadResult.Open(
        spec, acceptedAt(entry.value()), finishedTasks(entry.value()), entry.revision());
  }

  /** The team of a job that ended; empty where the record does not tell. */
  static String terminalTeam(JsonNode terminalRecord) {
    return terminalRecord.path(TERMINAL_TEAM).asText();
  }

  /** The number of all tasks of a job that ended; 0 where the record does not tell. */
  static int terminalTasks(JsonNode terminalRecord) {
    return terminalRecord.path(TERMINAL_TASKS).asInt();
  }

  /** The time of day at which an open job was submitted, in milliseconds. */
  private static long acceptedAt(JsonNode openRecord) {
    return openRecord.path(OPEN_ACCEPTED_AT).asLong();
  }

  /** The finished tasks in an open job's record. */
  static RangeSet<Integer> finishedTasks(JsonNode openRecord) {
    return TaskRanges.read(openRecord.path(OPEN_FINISHED_TASKS));
  }

  /** The record that replaces an open job's record when the job ends. */
  static ObjectNode terminalRecord(JobSpec spec, TerminalState state) {
    return Json.object()
        .put(TERMINAL_STATE, state.wireName())
        .put(TERMINAL_TEAM, spec.team())
        .put(TERMINAL_TASKS, spec.tasks());
  }

  /** How a job ended, from its terminal record. */
  static TerminalState terminalState(JsonNode terminalRecord) {
    return TerminalState.of(terminalRecord.path(TERMINAL_STATE).asText());
  }

  /** A terminal record of a job of which only the state is known. */
  static ObjectNode terminalStateOnly(TerminalState state) {
    return Json.object().put(TERMINAL_STATE, state.wireName());
  }

  /** The value of the key that tells a team's owner of a job stored on its behalf. */
  static ObjectNode newJobKeyValue(String team) {
    return Json.object().put(NEW_JOB_TEAM, team);
  }
}

package org.sandford.model;

/**
 * The id of a task, ordered by job and then by number.
 *
 * @param job the id of its job
 * @param task its number within the job, from 0
 */
public record TaskId(String job, int task) implements Comparable<TaskId> {
  private static final char SEPARATOR = '/';

  /** Parses the protocol form {@code job/number}; returns null for any other text. */
  public static TaskId parse(String text) {
    int separator = text.lastIndexOf(SEPARATOR);
    if (separator <= 0) {
      return null;
    }
    try {
      int task = Integer.parseInt(text.substring(separator + 1));
      return new TaskId(text.substring(0, separator), task);
    } catch (NumberFormatException malformed) {
      return null;
    }
  }

  @Override
  public int compareTo(TaskId other) {
    int byJob = job.compareTo(other.job);
    return byJob != 0 ? byJob : Integer.compare(task, other.task);
  }

  /** Returns the protocol form {@code job/number}. */
  @Override
  public String toString() {
    return job + SEPARATOR + task;
  }
}

package org.sandford.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.collect.DiscreteDomain;
import com.google.common.collect.Range;
import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.sandford.runtime.Json;

/**
 * Operations on sets of task numbers, held and stored as ranges: the finished tasks of a job array
 * are mostly one range or a few.
 */
final class TaskRanges {
  /** Bytes of {@code []}. */
  private static final int ARRAY_BRACKETS_BYTES = 2;

  /** Bytes of {@code [,],}. */
  private static final int PAIR_PUNCTUATION_BYTES = 4;

  private TaskRanges() {}

  /** Returns a new empty set. */
  static RangeSet<Integer> empty() {
    return TreeRangeSet.create();
  }

  /** Returns the range of one task. */
  static Range<Integer> ofTask(int task) {
    return Range.closedOpen(task, task + 1);
  }

  /** Returns the range of the first {@code count} tasks, from 0 on. */
  static Range<Integer> firstTasks(int count) {
    return Range.closedOpen(0, count);
  }

  /** Returns the number of tasks in the set. */
  static int count(RangeSet<Integer> set) {
    int count = 0;
    for (Range<Integer> range : set.asRanges()) {
      count += size(range);
    }
    return count;
  }

  private static int size(Range<Integer> range) {
    Range<Integer> tasks = closedOpen(range);
    return tasks.upperEndpoint() - tasks.lowerEndpoint();
  }

  private static Range<Integer> closedOpen(Range<Integer> range) {
    return range.canonical(DiscreteDomain.integers());
  }

  /** Returns the first tasks of the set in ascending order, at most {@code limit}. */
  static List<Integer> first(RangeSet<Integer> set, int limit) {
    List<Integer> first = new ArrayList<>();
    for (Range<Integer> range : set.asRanges()) {
      Range<Integer> tasks = closedOpen(range);
      for (int task = tasks.lowerEndpoint();
          task < tasks.upperEndpoint() && first.size() < limit;
          task++) {
        first.add(task);
      }
      if (first.size() >= limit) {
        break;
      }
    }
    return first;
  }

  /**
   * Returns the ranges as pairs of first and last task, within {@code maxBytes} of JSON. What does
   * not fit is left out, the shortest ranges first. A finished task that is not in the record is
   * merely run again, since workers keep its result, which is not cleared from them.
   */
  static ArrayNode write(RangeSet<Integer> set, int maxBytes) {
    List<Range<Integer>> ranges = new ArrayList<>();
    int bytes = ARRAY_BRACKETS_BYTES;
    for (Range<Integer> range : set.asRanges()) {
      Range<Integer> tasks = closedOpen(range);
      ranges.add(tasks);
      bytes += maxPairBytes(tasks);
    }
    if (bytes > maxBytes) {
      ranges = longestWithin(maxBytes, ranges);
    }
    ArrayNode pairs = Json.array();
    for (Range<Integer> tasks : ranges) {
      pairs.addArray().add(tasks.lowerEndpoint()).add(tasks.upperEndpoint() - 1);
    }
    return pairs;
  }

  /** Returns the longest ranges that fit into {@code maxBytes}, in ascending order. */
  private static List<Range<Integer>> longestWithin(int maxBytes, List<Range<Integer>> ranges) {
    List<Range<Integer>> byLength = new ArrayList<>(ranges);
    byLength.sort(Comparator.comparingInt(TaskRanges::size).reversed());
    List<Range<Integer>> fitting = new ArrayList<>();
    int bytes = ARRAY_BRACKETS_BYTES;
    for (Range<Integer> tasks : byLength) {
      bytes += maxPairBytes(tasks);
      if (bytes > maxBytes) {
        break;
      }
      fitting.add(tasks);
    }
    fitting.sort(Comparator.comparing(Range::lowerEndpoint));
    return fitting;
  }

  /** Returns the most bytes that the range's pair takes, with its brackets and commas. */
  private static int maxPairBytes(Range<Integer> tasks) {
    return PAIR_PUNCTUATION_BYTES
        + String.valueOf(tasks.lowerEndpoint()).length()
        + String.valueOf(tasks.upperEndpoint() - 1).length();
  }

  /** Reads the ranges that {@link #write} wrote. */
  static RangeSet<Integer> read(JsonNode pairs) {
    RangeSet<Integer> set = empty();
    for (JsonNode pair : pairs) {
      set.add(Range.closedOpen(pair.path(0).asInt(), pair.path(1).asInt() + 1));
    }
    return set;
  }
}

package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * All answers that users got about each job, at all controllers. A job's life only goes forward:
 * unknown, accepted, ended. The answers are linearizable in that order when no question that began
 * after some answer had arrived gets an older one. Questions that overlap may be answered in either
 * order.
 */
final class AnswerHistory {
  /** How far a job had come, as its user was told. */
  enum Stage {
    UNKNOWN,
    ACCEPTED,
    ENDED;

    static Stage of(String status) {
      return switch (status) {
        case "" -> UNKNOWN;
        case "done", "aborted" -> ENDED;
        default -> ACCEPTED;
      };
    }
  }

  /**
   * One answer.
   *
   * @param controller the controller that was asked
   * @param askedAt simulated nanoseconds at which the question left
   * @param answeredAt simulated nanoseconds at which the answer arrived
   * @param status the status in the answer; empty for a 404
   */
  record RecordedAnswer(String controller, long askedAt, long answeredAt, String status) {
    Stage stage() {
      return Stage.of(status);
    }

    private String describe() {
      return String.format(
          Locale.ROOT,
          "%s at %s (asked %.3f ms before)",
          status.isEmpty() ? "unknown" : status,
          controller,
          (answeredAt - askedAt) / 1e6);
    }
  }

  private final Map<String, List<RecordedAnswer>> answers = new HashMap<>();
  private final Set<String> jobsWithContradiction = new HashSet<>();

  /**
   * Adds an answer; answers come in the order of their arrival, so each is compared with all that
   * arrived before its question left. Of a job only the first contradiction is told.
   *
   * @return what the answer contradicts, or an empty text
   */
  String add(String job, RecordedAnswer answer) {
    List<RecordedAnswer> earlierAnswers = answers.computeIfAbsent(job, j -> new ArrayList<>());
    String contradiction = "";
    for (RecordedAnswer earlier : earlierAnswers) {
      if (earlier.answeredAt < answer.askedAt && earlier.stage().compareTo(answer.stage()) > 0) {
        contradiction = job + " was " + earlier.describe() + ", then " + answer.describe();
        break;
      }
    }
    // One answer of each stage, the first to arrive, decides all later comparisons.
    if (earlierAnswers.stream().noneMatch(earlier -> earlier.stage() == answer.stage())) {
      earlierAnswers.add(answer);
    }
    return !contradiction.isEmpty() && jobsWithContradiction.add(job) ? contradiction : "";
  }
}

package org.sandford.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Records all answers that users received about each job from all controllers. A job only moves
 * forward: unknown, accepted, ended. The answers are linearizable in that order if no request sent
 * after an answer had arrived gets an earlier stage. Overlapping requests may be answered in either
 * order.
 */
final class AnswerHistory {
  /** The stage of a job that an answer reports. */
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
   * Records one answer.
   *
   * @param controller the controller that was asked
   * @param askedAt simulated nanoseconds at which the request was sent
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
          "%s at %s (requested %.3f ms before)",
          status.isEmpty() ? "unknown" : status,
          controller,
          (answeredAt - askedAt) / 1e6);
    }
  }

  private final Map<String, List<RecordedAnswer>> answers = new HashMap<>();
  private final Set<String> jobsWithContradiction = new HashSet<>();

  /**
   * Adds an answer. Answers are added in the order of arrival; each is compared with all that
   * arrived before its request was sent. Only the first contradiction of a job is returned.
   *
   * @return a description of the contradiction, or an empty string
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
    // The first answer of each stage to arrive is enough for all later comparisons.
    if (earlierAnswers.stream().noneMatch(earlier -> earlier.stage() == answer.stage())) {
      earlierAnswers.add(answer);
    }
    return !contradiction.isEmpty() && jobsWithContradiction.add(job) ? contradiction : "";
  }
}

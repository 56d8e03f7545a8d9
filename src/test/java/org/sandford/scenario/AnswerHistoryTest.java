package org.sandford.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sandford.scenario.AnswerHistory.RecordedAnswer;

/** Tests the order of answers over all controllers. */
class AnswerHistoryTest {
  private final AnswerHistory history = new AnswerHistory();

  private String add(String controller, long askedAt, long answeredAt, String status) {
    return history.add("wk-1", new RecordedAnswer(controller, askedAt, answeredAt, status));
  }

  @Test
  void forwardTransitionsAreInOrder() {
    assertEquals("", add("c0", 1, 2, ""));
    assertEquals("", add("c1", 3, 4, "queued"));
    assertEquals("", add("c2", 5, 6, "running"));
    assertEquals(
        "", add("c0", 7, 8, "queued"), "a running job is queued again when its task is stopped");
    assertEquals("", add("c1", 9, 10, "done"));
    assertEquals("", add("c2", 11, 12, "done"));
  }

  @Test
  void overlappingRequestsMayBeAnsweredInEitherOrder() {
    assertEquals("", add("c0", 1, 5, "done"));
    assertEquals("", add("c1", 4, 9, "running"));
  }

  @Test
  void anEarlierStageFromAnotherControllerIsFound() {
    assertEquals("", add("c0", 1, 5, "done"));
    String found = add("c1", 6, 7, "queued");
    assertTrue(found.contains("done at c0") && found.contains("queued at c1"), found);
  }

  @Test
  void aJobThatWasAcceptedIsNotUnknownAgain() {
    assertEquals("", add("c0", 1, 5, "queued"));
    assertTrue(add("c1", 6, 7, "").contains("unknown at c1"));
  }

  @Test
  void theFirstAnswerOfAStageIsCompared() {
    assertEquals("", add("c0", 1, 5, "aborted"));
    assertEquals("", add("c1", 90, 95, "aborted"));
    assertTrue(add("c2", 6, 97, "running").contains("aborted at c0"));
  }

  @Test
  void answersOfOtherJobsAreNotCompared() {
    assertEquals("", add("c0", 1, 5, "done"));
    assertEquals("", history.add("wk-2", new RecordedAnswer("c0", 6, 7, "queued")));
  }
}

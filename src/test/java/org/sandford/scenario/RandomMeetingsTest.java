package org.sandford.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Plays meetings of troubles drawn by the seeds below under the same rules as the scenarios. More
 * of them by hand: {@code mvn test -Dtest=RandomMeetingsTest -Dsandford.seeds=1000-1999}, and with
 * {@code -Dsandford.close-looks-seeds=1000-1999} more of those in which users look closely.
 */
class RandomMeetingsTest {
  private static final String SEEDS = System.getProperty("sandford.seeds", "1-40");

  private static final String CLOSE_LOOKS_SEEDS =
      System.getProperty("sandford.close-looks-seeds", "1-20");

  private static final String LIMIT_SEEDS = System.getProperty("sandford.limit-seeds", "1-40");

  @TestFactory
  Stream<DynamicTest> meetings() {
    return seeds(SEEDS)
        .mapToObj(seed -> dynamicTest("seed " + seed, () -> play(seed, RandomMeetings.draw(seed))));
  }

  @TestFactory
  Stream<DynamicTest> meetingsWithCloseLooks() {
    return seeds(CLOSE_LOOKS_SEEDS)
        .mapToObj(
            seed ->
                dynamicTest(
                    "close looks, seed " + seed,
                    () -> play(seed, RandomMeetings.drawWithCloseLooks(seed))));
  }

  @TestFactory
  Stream<DynamicTest> meetingsAtTheLimit() {
    return seeds(LIMIT_SEEDS)
        .mapToObj(
            seed ->
                dynamicTest(
                    "at the limit, seed " + seed,
                    () -> play(seed, RandomMeetings.drawAtTheLimit(seed))));
  }

  private static LongStream seeds(String range) {
    String[] ends = range.split("-", -1);
    return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
  }

  private static void play(long seed, List<String> lines) {
    Scenario scenario = new Scenario("seed " + seed, lines);
    List<String> wrong = scenario.play();
    assertEquals(List.of(), wrong, () -> String.join("\n", lines));
    assertTrue(scenario.rules.started > 0, "no task was started");
  }
}

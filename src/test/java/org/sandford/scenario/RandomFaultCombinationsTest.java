package org.sandford.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Plays random combinations of faults, generated from the seeds below, under the same rules as the
 * scenarios. To play other seeds: {@code mvn test -Dtest=RandomFaultCombinationsTest
 * -Dsandford.seeds=1000-1999}; {@code -Dsandford.close-looks-seeds} sets those with frequent polls,
 * {@code -Dsandford.limit-seeds} those with teams at their limit, {@code
 * -Dsandford.lost-message-seeds} those in which messages between controllers are lost.
 */
class RandomFaultCombinationsTest {
  private static final String SEEDS = System.getProperty("sandford.seeds", "1-40");

  private static final String FREQUENT_POLLS_SEEDS =
      System.getProperty("sandford.close-looks-seeds", "1-20");

  private static final String LIMIT_SEEDS = System.getProperty("sandford.limit-seeds", "1-40");

  private static final String LOST_MESSAGE_SEEDS =
      System.getProperty("sandford.lost-message-seeds", "1-20");

  @TestFactory
  Stream<DynamicTest> combinations() {
    return tests("seed ", SEEDS, RandomFaultCombinations::generate);
  }

  @TestFactory
  Stream<DynamicTest> combinationsWithFrequentPolls() {
    return tests(
        "frequent polls, seed ",
        FREQUENT_POLLS_SEEDS,
        RandomFaultCombinations::generateWithFrequentPolls);
  }

  @TestFactory
  Stream<DynamicTest> combinationsAtTheTeamLimit() {
    return tests("at the limit, seed ", LIMIT_SEEDS, RandomFaultCombinations::generateAtTeamLimit);
  }

  @TestFactory
  Stream<DynamicTest> combinationsWithLostMessages() {
    return tests(
        "lost messages, seed ",
        LOST_MESSAGE_SEEDS,
        RandomFaultCombinations::generateWithLostMessages);
  }

  private static Stream<DynamicTest> tests(
      String name, String range, LongFunction<List<String>> generator) {
    return seeds(range)
        .mapToObj(seed -> dynamicTest(name + seed, () -> play(seed, generator.apply(seed))));
  }

  private static LongStream seeds(String range) {
    String[] ends = range.split("-", -1);
    return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
  }

  private static void play(long seed, List<String> lines) {
    Scenario scenario = new Scenario("seed " + seed, lines);
    List<String> failures = scenario.play();
    assertEquals(List.of(), failures, () -> String.join("\n", lines));
    assertTrue(scenario.rules.startCount > 0, "no task was started");
  }
}

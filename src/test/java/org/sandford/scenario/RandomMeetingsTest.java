package org.sandford.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Plays meetings of troubles drawn by the seeds below under the same rules as the scenarios. More
 * of them by hand: {@code mvn test -Dtest=RandomMeetingsTest -Dsandford.seeds=1000-1999}.
 */
class RandomMeetingsTest {
  private static final String SEEDS = System.getProperty("sandford.seeds", "1-40");

  @TestFactory
  Stream<DynamicTest> meetings() {
    String[] ends = SEEDS.split("-", -1);
    return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]))
        .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> play(seed)));
  }

  private static void play(long seed) {
    List<String> lines = RandomMeetings.draw(seed);
    Scenario scenario = new Scenario("seed " + seed, lines);
    List<String> wrong = scenario.play();
    assertEquals(List.of(), wrong, () -> String.join("\n", lines));
    assertTrue(scenario.rules.started > 0, "no task was started");
  }
}

package org.sandford.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays every scenario file; each must violate no rule and meet its expectations. */
class ScenarioTest {
  private static final Path FILES = Path.of("src/test/resources/scenarios");

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(FILES)) {
      files = all.filter(f -> f.toString().endsWith(".txt")).sorted().toList();
    }
    assertTrue(files.size() >= 10, "the scenario files are missing");
    return files.stream().flatMap(ScenarioTest::plays);
  }

  /** Returns one test for each {@code worker_periods} line of the file. */
  private static Stream<DynamicTest> plays(Path file) {
    try {
      String name = file.getFileName().toString();
      List<String> lines = Files.readAllLines(file);
      return ScenarioScript.workerPeriods(lines).stream()
          .map(
              periods ->
                  DynamicTest.dynamicTest(
                      name + " " + Arrays.toString(periods),
                      () -> {
                        Scenario scenario = new Scenario(name, lines, periods);
                        assertEquals(List.of(), scenario.play());
                        assertTrue(scenario.rules.startCount > 0, "no task was started");
                      }));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

package org.sandford.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays every scenario file; each must break no rule and meet its expectations. */
class ScenarioTest {
  private static final Path FILES = Path.of("src/test/resources/scenarios");

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(FILES)) {
      files = all.filter(f -> f.toString().endsWith(".txt")).sorted().toList();
    }
    assertTrue(files.size() >= 10, "the scenario files are missing");
    return files.stream()
        .map(
            file ->
                DynamicTest.dynamicTest(
                    file.getFileName().toString(),
                    () -> {
                      Scenario scenario = new Scenario(file.getFileName().toString(), Files.readAllLines(file));
                      assertEquals(List.of(), scenario.play());
                      assertTrue(scenario.rules.started > 0, "no task was started");
                    }));
  }
}

package org.sandford.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectClass;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import org.junit.platform.testkit.engine.EngineTestKit;
import org.junit.platform.testkit.engine.Events;

/** Checks that only listed tests may fail, and that a listed test that passes fails the build. */
class KnownRedTest {
  @TempDir Path tempDir;

  /** Has tests that pass or fail on purpose; only the tests below run it. */
  @ExtendWith(KnownRedExtension.class)
  static class Sample {
    @Test
    void fails() {
      assertEquals(1, 2);
    }

    @Test
    void passes() {
      assertEquals(1, 1);
    }

    @TestFactory
    Stream<DynamicTest> dynamicTests() {
      return Stream.of(dynamicTest("a dynamic test", () -> assertEquals(1, 2)));
    }
  }

  private Events run(String... lines) throws IOException {
    Path file = tempDir.resolve("list.txt");
    Files.write(file, List.of(lines));
    return EngineTestKit.engine("junit-jupiter")
        .selectors(selectClass(Sample.class))
        .configurationParameter(KnownRedExtension.FILE_PARAMETER, file.toString())
        .configurationParameter("junit.jupiter.extensions.autodetection.enabled", "false")
        .execute()
        .testEvents();
  }

  @Test
  void aTestThatIsNotListedFails() throws IOException {
    Events events = run("# nothing is listed");
    assertEquals(2, events.failed().count());
    assertEquals(1, events.succeeded().count());
  }

  @Test
  void listedTestsMayFail() throws IOException {
    Events events =
        run("Sample fails() | a fault | issue 1", "Sample a dynamic test | a fault | issue 1");
    assertEquals(0, events.failed().count());
    assertEquals(2, events.aborted().count());
    assertEquals(1, events.succeeded().count());
  }

  @Test
  void oneListedTestExcusesNoOther() throws IOException {
    Events events = run("Sample fails() | a fault | issue 1");
    assertEquals(1, events.failed().count());
    assertEquals(1, events.aborted().count());
  }

  @Test
  void aListedTestThatPassesFails() throws IOException {
    Events events =
        run(
            "Sample passes() | a fault | issue 1",
            "Sample fails() | a fault | issue 1",
            "Sample a dynamic test | a fault | issue 1");
    assertEquals(1, events.failed().count());
    assertEquals(2, events.aborted().count());
  }

  @Test
  void aListHasAtMostThreeEntriesWithTestCauseAndIssue() {
    String line = " | a fault | issue 1";
    assertThrows(
        IllegalArgumentException.class,
        () -> KnownRedList.parse(List.of("A" + line, "B" + line, "C" + line, "D" + line)));
    assertThrows(
        IllegalArgumentException.class, () -> KnownRedList.parse(List.of("A" + line, "A" + line)));
    assertThrows(IllegalArgumentException.class, () -> KnownRedList.parse(List.of("A | a fault")));
    assertTrue(KnownRedList.parse(List.of("A" + line)).find("A").isPresent());
  }

  @Test
  void theProjectsOwnListIsReadable() {
    KnownRedList.read(Path.of("KNOWN-RED.txt"));
  }
}

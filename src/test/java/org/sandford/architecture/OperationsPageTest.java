package org.sandford.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks that each log line and audit event on docs/operations.md exists in the code. */
class OperationsPageTest {
  private static final Path PAGE = Path.of("docs/operations.md");
  private static final Path SOURCES = Path.of("src/main/java");

  /** Stands for any value in a log line on the page. */
  private static final String ANY_VALUE = "…";

  private static final Pattern IN_BACKTICKS = Pattern.compile("`([^`]+)`");
  private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\\\n]|\\\\.)*)\"");
  private static final Pattern JOINED_LITERALS = Pattern.compile("\"\\s*\\+\\s*\"");

  private static List<String> literals;

  @BeforeAll
  static void readStringLiterals() throws IOException {
    literals = new ArrayList<>();
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        String source = JOINED_LITERALS.matcher(Files.readString(file)).replaceAll("");
        LITERAL
            .matcher(source)
            .results()
            .forEach(found -> literals.add(found.group(1).replace("\\\"", "\"")));
      }
    }
  }

  @Test
  void aLineIsFoundOnlyByAllItsFixedParts() {
    List<String> sampleLiterals = List.of("the link to {} is up", "the link to {} is down");
    assertTrue(matchesAnyLiteral("the link to … is up", sampleLiterals));
    assertFalse(matchesAnyLiteral("the link to … is", sampleLiterals));
    assertFalse(matchesAnyLiteral("link to … is up", sampleLiterals));
    assertFalse(matchesAnyLiteral("the link to worker-0 is up", sampleLiterals));
  }

  @Test
  void everyLogLineOfThePageIsInTheCode() throws IOException {
    List<String> lines = textsInBackticks("| line |", 1);
    assertFalse(lines.isEmpty(), "the page has no table of log lines");
    assertEquals(
        List.of(), lines.stream().filter(line -> !matchesAnyLiteral(line, literals)).toList());
  }

  @Test
  void everyNewTextOfARenamedLineIsInTheCode() throws IOException {
    List<String> lines = textsInBackticks("| old |", 2);
    assertFalse(lines.isEmpty(), "the page has no table of renamed lines");
    assertEquals(
        List.of(), lines.stream().filter(line -> !matchesAnyLiteral(line, literals)).toList());
  }

  @Test
  void everyAuditEventOfThePageIsInTheCode() throws IOException {
    List<String> events = textsInBackticks("| event |", 1);
    assertFalse(events.isEmpty(), "the page has no table of audit events");
    assertEquals(List.of(), events.stream().filter(event -> !beginsAnyLiteral(event)).toList());
  }

  /**
   * Returns the texts in backticks in a column of the table that begins with this heading.
   *
   * @param column the number of the column, from 1
   */
  private static List<String> textsInBackticks(String heading, int column) throws IOException {
    List<String> texts = new ArrayList<>();
    boolean inTable = false;
    for (String row : Files.readAllLines(PAGE)) {
      inTable = row.startsWith(heading) || (inTable && row.startsWith("|"));
      if (inTable) {
        Matcher quoted = IN_BACKTICKS.matcher(row.split("\\|", -1)[column]);
        while (quoted.find()) {
          texts.add(quoted.group(1));
        }
      }
    }
    return texts;
  }

  /**
   * Returns whether a literal has all fixed parts of the line, in order, and begins and ends as the
   * line does, unless the line begins or ends with a value.
   */
  private static boolean matchesAnyLiteral(String line, List<String> literals) {
    String fixedParts =
        Stream.of(line.split(ANY_VALUE, -1)).map(Pattern::quote).collect(Collectors.joining(".*"));
    Pattern pattern = Pattern.compile(fixedParts);
    return literals.stream().anyMatch(literal -> pattern.matcher(literal).matches());
  }

  private static boolean beginsAnyLiteral(String event) {
    return literals.stream()
        .anyMatch(literal -> literal.equals(event) || literal.startsWith(event + " "));
  }
}

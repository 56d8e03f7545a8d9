package org.sandford.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Lists the tests that are known to fail because of a fault that is not fixed yet. Each line of the
 * file has the test, the cause and the issue, separated by {@code |}; lines that begin with {@code
 * #} are comments. A test is named by its simple class name and its display name, separated by a
 * space.
 */
final class KnownRedList {
  /** The most entries; a longer list is rejected, as known failures have to stay exceptions. */
  static final int MAX_ENTRIES = 3;

  private static final int FIELDS_PER_LINE = 3;

  /** One listed test. */
  record Entry(String test, String cause, String issue) {}

  private final Map<String, Entry> entries = new LinkedHashMap<>();

  private KnownRedList() {}

  /** Reads the file; a missing file is an empty list. */
  static KnownRedList read(Path file) {
    try {
      return Files.exists(file) ? parse(Files.readAllLines(file)) : new KnownRedList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads the lines of a list.
   *
   * @throws IllegalArgumentException when a line lacks a field, a test is listed twice, or more
   *     than {@link #MAX_ENTRIES} are listed
   */
  static KnownRedList parse(List<String> lines) {
    KnownRedList list = new KnownRedList();
    for (String line : lines) {
      if (!line.isBlank() && !line.startsWith("#")) {
        list.add(line);
      }
    }
    if (list.entries.size() > MAX_ENTRIES) {
      throw new IllegalArgumentException(
          list.entries.size()
              + " tests are listed as known to fail; at most "
              + MAX_ENTRIES
              + " are allowed");
    }
    return list;
  }

  private void add(String line) {
    List<String> fields = List.of(line.split("\\|", -1)).stream().map(String::trim).toList();
    if (fields.size() != FIELDS_PER_LINE || fields.contains("")) {
      throw new IllegalArgumentException("expected 'test | cause | issue', got: " + line);
    }
    Entry entry = new Entry(fields.get(0), fields.get(1), fields.get(2));
    if (entries.put(entry.test(), entry) != null) {
      throw new IllegalArgumentException("test is listed twice: " + entry.test());
    }
  }

  Optional<Entry> find(String test) {
    return Optional.ofNullable(entries.get(test));
  }
}

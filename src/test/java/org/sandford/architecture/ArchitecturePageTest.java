package org.sandford.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that each class named in `backticks` on the architecture, design and entry pages exists.
 */
class ArchitecturePageTest {
  /** Matches a type name in upper camel case, with or without its packages and members. */
  private static final Pattern TYPE_NAME =
      Pattern.compile("`(?:[a-z]+\\.)*([A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*)(?:\\.\\w+)*`");

  private static final Set<String> TYPE_NAMES = namesOfAllTypes();

  @ParameterizedTest
  @ValueSource(strings = {"docs/architecture.md", "docs/design.md", "README.md"})
  void everyClassThatThePageNamesExists(String page) throws IOException {
    Set<String> named = new TreeSet<>();
    Matcher matcher = TYPE_NAME.matcher(Files.readString(Path.of(page)));
    while (matcher.find()) {
      named.add(matcher.group(1));
    }
    assertFalse(named.isEmpty(), page + " names no class");
    named.removeAll(TYPE_NAMES);
    assertEquals(Set.of(), named, page + " names classes that do not exist");
  }

  @Test
  void aNestedTypeIsFoundByItsOwnName() {
    assertTrue(TYPE_NAMES.contains("Listener"));
  }

  private static Set<String> namesOfAllTypes() {
    Set<String> names = new TreeSet<>();
    for (JavaClass type : new ClassFileImporter().importPackages("org.sandford")) {
      names.add(type.getSimpleName());
    }
    return names;
  }
}

package org.sandford.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Checks the layers of the packages: a package depends only on packages of lower layers, and
 * packages of one layer do not depend on each other.
 *
 * <p>The rules read class files, in which the compiler has replaced constants by their values, so a
 * dependency on nothing but a constant is not detected.
 */
class PackageDependencyTest {
  private static final String ROOT = "org.sandford.";

  /** The layers from top to bottom. Sub-packages belong to the layer of their parent. */
  private static final List<List<String>> LAYERS =
      List.of(
          List.of("cli"),
          List.of("controller"),
          List.of("api"),
          List.of("job", "scaling"),
          List.of("machine"),
          List.of("cluster"),
          List.of("cancel"),
          List.of("cloud", "net", "peer", "placement", "store"),
          List.of("model"),
          List.of("audit", "runtime", "settings"),
          List.of("constants"));

  private static JavaClasses productionClasses;

  @BeforeAll
  static void importProductionClasses() {
    productionClasses =
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_JARS)
            .importPackages("org.sandford");
  }

  @Test
  void everyPackageHasALayer() {
    Set<String> expected = new TreeSet<>();
    LAYERS.forEach(expected::addAll);
    Set<String> found = new TreeSet<>();
    for (JavaClass type : productionClasses) {
      found.add(type.getPackageName().substring(ROOT.length()).split("\\.", -1)[0]);
    }
    assertEquals(expected, found);
  }

  @Test
  void packagesDependOnlyOnLowerLayers() {
    for (int layer = 0; layer < LAYERS.size(); layer++) {
      for (String name : LAYERS.get(layer)) {
        String[] forbidden = packagesNotBelow(layer, name);
        if (forbidden.length > 0) {
          noClasses()
              .that()
              .resideInAPackage(ROOT + name + "..")
              .should()
              .dependOnClassesThat()
              .resideInAnyPackage(forbidden)
              .check(productionClasses);
        }
      }
    }
  }

  @Test
  void packagesAreFreeOfCycles() {
    slices().matching(ROOT + "(*)..").should().beFreeOfCycles().check(productionClasses);
  }

  private static String[] packagesNotBelow(int layer, String name) {
    return LAYERS.subList(0, layer + 1).stream()
        .flatMap(List::stream)
        .filter(other -> !other.equals(name))
        .map(other -> ROOT + other + "..")
        .toArray(String[]::new);
  }
}

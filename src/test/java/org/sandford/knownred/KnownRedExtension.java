package org.sandford.knownred;

import java.lang.reflect.Method;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.extension.DynamicTestInvocationContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.AssertionFailedError;
import org.opentest4j.TestAbortedException;

/**
 * Lets the build pass over the tests that {@code KNOWN-RED.txt} lists, and prints each. Any other
 * test that fails still fails the build, and so does a listed one that passes: it has to be taken
 * off the list.
 */
public final class KnownRedExtension implements InvocationInterceptor {
  /** Configuration parameter that names another list; for tests of this class. */
  static final String FILE_PARAMETER = "sandford.known-red";

  private static final String FILE = "KNOWN-RED.txt";

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> method,
      ExtensionContext context)
      throws Throwable {
    intercept(invocation, context);
  }

  @Override
  public void interceptDynamicTest(
      Invocation<Void> invocation, DynamicTestInvocationContext test, ExtensionContext context)
      throws Throwable {
    intercept(invocation, context);
  }

  private static void intercept(Invocation<Void> invocation, ExtensionContext context)
      throws Throwable {
    String file = context.getConfigurationParameter(FILE_PARAMETER).orElse(FILE);
    String test = testClass(context).getSimpleName() + " " + context.getDisplayName();
    Optional<KnownRedList.Entry> listed = KnownRedList.read(Path.of(file)).find(test);
    if (listed.isEmpty()) {
      invocation.proceed();
      return;
    }
    if (passes(invocation)) {
      throw new AssertionFailedError(test + " passes and must be taken off " + file);
    }
    String known = "KNOWN RED: " + test + " | " + listed.get().cause();
    System.out.println(known + " | " + listed.get().issue());
    throw new TestAbortedException(known);
  }

  /** The class of a test; a dynamic test has none itself, but its factory has. */
  private static Class<?> testClass(ExtensionContext context) {
    return context.getTestClass().orElseGet(() -> testClass(context.getParent().orElseThrow()));
  }

  private static boolean passes(Invocation<Void> invocation) throws Throwable {
    try {
      invocation.proceed();
      return true;
    } catch (AssertionError failure) {
      return false;
    }
  }
}

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
 * Aborts each failing test that {@code KNOWN-RED.txt} lists, so that it does not fail the build,
 * and prints it. Any other failing test still fails the build. So does a listed test that passes,
 * because it has to be removed from the list.
 */
public final class KnownRedExtension implements InvocationInterceptor {
  /** Configuration parameter with the path of another list, for the tests of this class. */
  static final String FILE_PARAMETER = "sandford.known-red";

  private static final String DEFAULT_FILE = "KNOWN-RED.txt";

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
    String file = context.getConfigurationParameter(FILE_PARAMETER).orElse(DEFAULT_FILE);
    String test = testClass(context).getSimpleName() + " " + context.getDisplayName();
    Optional<KnownRedList.Entry> entry = KnownRedList.read(Path.of(file)).find(test);
    if (entry.isEmpty()) {
      invocation.proceed();
      return;
    }
    if (passes(invocation)) {
      throw new AssertionFailedError(test + " passes and must be removed from " + file);
    }
    String message = "KNOWN RED: " + test + " | " + entry.get().cause();
    System.out.println(message + " | " + entry.get().issue());
    throw new TestAbortedException(message);
  }

  /** Returns the class of a test; a dynamic test has none itself, but its factory has. */
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

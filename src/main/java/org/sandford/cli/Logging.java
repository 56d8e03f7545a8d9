package org.sandford.cli;

/** Configures logging to standard error; an unknown or missing level means info. */
final class Logging {
  private Logging() {}

  static void configure(String level) {
    String effectiveLevel =
        switch (level == null ? "" : level) {
          case "debug" -> "debug";
          case "error" -> "error";
          default -> "info";
        };
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", effectiveLevel);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }
}

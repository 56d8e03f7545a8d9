package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start. */
final class Recorder {
  private static final long START = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Returns the milliseconds since the start, never 0. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000 + 1;
  }

  synchronized void write(String line) {
    out.println(String.format(Locale.ROOT, "%8.3f %s", now() / 1000.0, line));
  }

  /** Writes a line to the record and to standard output. */
  void say(String line) {
    write(line);
    System.out.println(line);
  }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void line(String text) {
    out.printf("%8.3f %s%n", seconds(), text);
  }
}

package stand;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the milliseconds since the start. */
public final class Record implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter out;

  public Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Milliseconds since the start, with three decimals. */
  public double ms() {
    return (System.nanoTime() - start) / 1000 / 1000.0;
  }

  public double line(String text) {
    return line(ms(), text);
  }

  public synchronized double line(double at, String text) {
    out.printf("%10.3f %s%n", at, text);
    out.flush();
    return at;
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}

package stand;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** One run of a case: its folders, its record, and its exit code. */
public final class Case {
  /** Whether the rule held; or an exception, if the case could not run. */
  public interface Body {
    boolean holds(Case run) throws Exception;
  }

  private static final int HELD = 10;
  private static final int BROKEN = 11;
  private static final int NO_RESULT = 12;

  public final Path root;
  public final Path folder;
  public final Record record;

  /** Whether the disruption takes place. */
  public final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

  private Case(Path root, Path folder, Record record) {
    this.root = root;
    this.folder = folder;
    this.record = record;
  }

  /**
   * Runs a case and ends this process: with {@link #HELD}, {@link #BROKEN} or {@link #NO_RESULT}.
   * These differ from the codes with which a virtual machine ends by itself; run-case.sh maps them.
   *
   * @param args the repository's root and the file of the record
   */
  public static void run(String[] args, Body body) {
    int code = NO_RESULT;
    try (Record record = new Record(Path.of(args[1]))) {
      Path folder = Files.createTempDirectory("review");
      try {
        Case run = new Case(Path.of(args[0]), folder, record);
        record.line("disruption: " + (run.hasTrouble ? "yes" : "no"));
        boolean holds = body.holds(run);
        code = holds ? HELD : BROKEN;
      } catch (Exception e) {
        record.line("the case could not run: " + e);
      } finally {
        delete(folder);
      }
      String result = code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "no result";
      record.line(result);
      System.out.println(result);
    } catch (IOException | RuntimeException e) {
      System.err.println(e);
      code = NO_RESULT;
    }
    System.exit(code);
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(
          file -> {
            try {
              Files.delete(file);
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
          });
    }
  }

  /** Ends the case with the code for one that could not run, unless the condition holds. */
  public static void require(boolean condition, String what) {
    if (!condition) {
      throw new IllegalStateException(what);
    }
  }
}

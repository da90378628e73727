package cobaltseam.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.BigIntVector;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.Float8Vector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowFileReader;
import org.apache.arrow.vector.ipc.ArrowFileWriter;

/** The results of runs as a columnar file in Apache Arrow's file format, with one row per run. */
final class ResultsFile {
  /**
   * The parameters and the results of one run. Latencies are in milliseconds and cover all answers.
   *
   * @param figure the parameter that the experiment varies
   * @param value the value of that parameter
   * @param realS the real time that the run took, in seconds
   * @param hash the hash of all decisions
   */
  record RunResult(
      @JsonProperty("world") String site,
      @JsonProperty("policy") String policy,
      @JsonProperty("figure") String figure,
      @JsonProperty("value") double value,
      @JsonProperty("seed") long seed,
      @JsonProperty("goodput") double goodput,
      @JsonProperty("offered") long offered,
      @JsonProperty("inTarget") long withinObjective,
      @JsonProperty("late") long late,
      @JsonProperty("shed") long shed,
      @JsonProperty("failed") long failed,
      @JsonProperty("unheard") long unanswered,
      @JsonProperty("medianMs") double medianMs,
      @JsonProperty("p99Ms") double p99Ms,
      @JsonProperty("brokenRules") long brokenRules,
      @JsonProperty("taken") long admitted,
      @JsonProperty("sends") long attempts,
      @JsonProperty("further") long retries,
      @JsonProperty("realS") double realS,
      @JsonProperty("hash") long hash) {
    /** The identity of the run within an experiment. */
    String key() {
      return site + " " + policy + " " + figure + " " + value + " " + seed;
    }
  }

  private static final List<String> TEXT_COLUMNS = List.of("world", "policy", "figure");
  private static final List<Function<RunResult, String>> TEXT_GETTERS =
      List.of(RunResult::site, RunResult::policy, RunResult::figure);
  private static final List<String> DOUBLE_COLUMNS =
      List.of("value", "goodput", "median_ms", "p99_ms", "real_s");
  private static final List<ToDoubleFunction<RunResult>> DOUBLE_GETTERS =
      List.of(
          RunResult::value,
          RunResult::goodput,
          RunResult::medianMs,
          RunResult::p99Ms,
          RunResult::realS);
  private static final List<String> LONG_COLUMNS =
      List.of(
          "seed",
          "offered",
          "in_target",
          "late",
          "shed",
          "failed",
          "unheard",
          "broken_rules",
          "taken",
          "sends",
          "further",
          "decisions");
  private static final List<ToLongFunction<RunResult>> LONG_GETTERS =
      List.of(
          RunResult::seed,
          RunResult::offered,
          RunResult::withinObjective,
          RunResult::late,
          RunResult::shed,
          RunResult::failed,
          RunResult::unanswered,
          RunResult::brokenRules,
          RunResult::admitted,
          RunResult::attempts,
          RunResult::retries,
          RunResult::hash);

  /** Kept in a field, since a logger without a strong reference loses its level. */
  private static final java.util.logging.Logger ARROW_LOGGER =
      java.util.logging.Logger.getLogger("org.apache.arrow");

  static {
    ARROW_LOGGER.setLevel(java.util.logging.Level.WARNING);
  }

  private ResultsFile() {}

  /** Writes rows to a file, through a temporary file, so that the file is never incomplete. */
  static void write(Path file, List<RunResult> rows) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".part");
    try (BufferAllocator memory = new RootAllocator()) {
      List<FieldVector> columns = new ArrayList<>();
      for (int c = 0; c < TEXT_COLUMNS.size(); c++) {
        VarCharVector vector = new VarCharVector(TEXT_COLUMNS.get(c), memory);
        Function<RunResult, String> getter = TEXT_GETTERS.get(c);
        fill(
            vector,
            rows,
            (i, row) -> vector.setSafe(i, getter.apply(row).getBytes(StandardCharsets.UTF_8)));
        columns.add(vector);
      }
      for (int c = 0; c < DOUBLE_COLUMNS.size(); c++) {
        Float8Vector vector = new Float8Vector(DOUBLE_COLUMNS.get(c), memory);
        ToDoubleFunction<RunResult> getter = DOUBLE_GETTERS.get(c);
        fill(vector, rows, (i, row) -> vector.setSafe(i, getter.applyAsDouble(row)));
        columns.add(vector);
      }
      for (int c = 0; c < LONG_COLUMNS.size(); c++) {
        BigIntVector vector = new BigIntVector(LONG_COLUMNS.get(c), memory);
        ToLongFunction<RunResult> getter = LONG_GETTERS.get(c);
        fill(vector, rows, (i, row) -> vector.setSafe(i, getter.applyAsLong(row)));
        columns.add(vector);
      }
      try (VectorSchemaRoot root = new VectorSchemaRoot(columns);
          FileChannel out =
              FileChannel.open(
                  temporary,
                  StandardOpenOption.CREATE,
                  StandardOpenOption.TRUNCATE_EXISTING,
                  StandardOpenOption.WRITE);
          ArrowFileWriter writer = new ArrowFileWriter(root, null, out)) {
        root.setRowCount(rows.size());
        writer.start();
        writer.writeBatch();
        writer.end();
      }
    }
    Files.move(temporary, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  private static void fill(
      FieldVector vector, List<RunResult> rows, BiConsumer<Integer, RunResult> set) {
    vector.allocateNew();
    for (int i = 0; i < rows.size(); i++) {
      set.accept(i, rows.get(i));
    }
    vector.setValueCount(rows.size());
  }

  /** Reads the rows of a file that {@link #write} wrote. */
  static List<RunResult> read(Path file) throws IOException {
    List<RunResult> rows = new ArrayList<>();
    try (BufferAllocator memory = new RootAllocator();
        FileChannel in = FileChannel.open(file, StandardOpenOption.READ);
        ArrowFileReader reader = new ArrowFileReader(in, memory)) {
      while (reader.loadNextBatch()) {
        VectorSchemaRoot root = reader.getVectorSchemaRoot();
        for (int i = 0; i < root.getRowCount(); i++) {
          rows.add(
              new RunResult(
                  text(root, "world", i),
                  text(root, "policy", i),
                  text(root, "figure", i),
                  doubleValue(root, "value", i),
                  longValue(root, "seed", i),
                  doubleValue(root, "goodput", i),
                  longValue(root, "offered", i),
                  longValue(root, "in_target", i),
                  longValue(root, "late", i),
                  longValue(root, "shed", i),
                  longValue(root, "failed", i),
                  longValue(root, "unheard", i),
                  doubleValue(root, "median_ms", i),
                  doubleValue(root, "p99_ms", i),
                  longValue(root, "broken_rules", i),
                  longValue(root, "taken", i),
                  longValue(root, "sends", i),
                  longValue(root, "further", i),
                  doubleValue(root, "real_s", i),
                  longValue(root, "decisions", i)));
        }
      }
    }
    return rows;
  }

  private static String text(VectorSchemaRoot root, String name, int index) {
    return new String(((VarCharVector) root.getVector(name)).get(index), StandardCharsets.UTF_8);
  }

  private static double doubleValue(VectorSchemaRoot root, String name, int index) {
    return ((Float8Vector) root.getVector(name)).get(index);
  }

  private static long longValue(VectorSchemaRoot root, String name, int index) {
    return ((BigIntVector) root.getVector(name)).get(index);
  }
}

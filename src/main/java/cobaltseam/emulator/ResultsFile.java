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

/** The outcomes of runs as a columnar file (Apache Arrow's file format), one row a run. */
final class ResultsFile {
  /** One run: what was played, and what came of it. Latencies in milliseconds, of all answers. */
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
    String key() {
      return site + " " + policy + " " + figure + " " + value + " " + seed;
    }
  }

  private static final List<String> TEXTS = List.of("world", "policy", "figure");
  private static final List<Function<RunResult, String>> TEXT =
      List.of(RunResult::site, RunResult::policy, RunResult::figure);
  private static final List<String> NUMBERS =
      List.of("value", "goodput", "median_ms", "p99_ms", "real_s");
  private static final List<ToDoubleFunction<RunResult>> NUMBER =
      List.of(
          RunResult::value,
          RunResult::goodput,
          RunResult::medianMs,
          RunResult::p99Ms,
          RunResult::realS);
  private static final List<String> WHOLES =
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
  private static final List<ToLongFunction<RunResult>> WHOLE =
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

  /** Held for good, or its level would be forgotten with it. */
  private static final java.util.logging.Logger QUIET =
      java.util.logging.Logger.getLogger("org.apache.arrow");

  static {
    QUIET.setLevel(java.util.logging.Level.WARNING);
  }

  private ResultsFile() {}

  /** Writes rows to a file, aside first, so that there is never half of one. */
  static void write(Path file, List<RunResult> rows) throws IOException {
    Path aside = file.resolveSibling(file.getFileName() + ".part");
    try (BufferAllocator memory = new RootAllocator()) {
      List<FieldVector> columns = new ArrayList<>();
      for (int c = 0; c < TEXTS.size(); c++) {
        VarCharVector vector = new VarCharVector(TEXTS.get(c), memory);
        Function<RunResult, String> of = TEXT.get(c);
        fill(
            vector,
            rows,
            (i, row) -> vector.setSafe(i, of.apply(row).getBytes(StandardCharsets.UTF_8)));
        columns.add(vector);
      }
      for (int c = 0; c < NUMBERS.size(); c++) {
        Float8Vector vector = new Float8Vector(NUMBERS.get(c), memory);
        ToDoubleFunction<RunResult> of = NUMBER.get(c);
        fill(vector, rows, (i, row) -> vector.setSafe(i, of.applyAsDouble(row)));
        columns.add(vector);
      }
      for (int c = 0; c < WHOLES.size(); c++) {
        BigIntVector vector = new BigIntVector(WHOLES.get(c), memory);
        ToLongFunction<RunResult> of = WHOLE.get(c);
        fill(vector, rows, (i, row) -> vector.setSafe(i, of.applyAsLong(row)));
        columns.add(vector);
      }
      try (VectorSchemaRoot root = new VectorSchemaRoot(columns);
          FileChannel out =
              FileChannel.open(
                  aside,
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
    Files.move(aside, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  private static void fill(
      FieldVector vector, List<RunResult> rows, BiConsumer<Integer, RunResult> set) {
    vector.allocateNew();
    for (int i = 0; i < rows.size(); i++) {
      set.accept(i, rows.get(i));
    }
    vector.setValueCount(rows.size());
  }

  /** Reads them back. */
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
                  number(root, "value", i),
                  whole(root, "seed", i),
                  number(root, "goodput", i),
                  whole(root, "offered", i),
                  whole(root, "in_target", i),
                  whole(root, "late", i),
                  whole(root, "shed", i),
                  whole(root, "failed", i),
                  whole(root, "unheard", i),
                  number(root, "median_ms", i),
                  number(root, "p99_ms", i),
                  whole(root, "broken_rules", i),
                  whole(root, "taken", i),
                  whole(root, "sends", i),
                  whole(root, "further", i),
                  number(root, "real_s", i),
                  whole(root, "decisions", i)));
        }
      }
    }
    return rows;
  }

  private static String text(VectorSchemaRoot root, String name, int index) {
    return new String(((VarCharVector) root.getVector(name)).get(index), StandardCharsets.UTF_8);
  }

  private static double number(VectorSchemaRoot root, String name, int index) {
    return ((Float8Vector) root.getVector(name)).get(index);
  }

  private static long whole(VectorSchemaRoot root, String name, int index) {
    return ((BigIntVector) root.getVector(name)).get(index);
  }
}

package cobaltseam.emulator;

import cobaltseam.deployment.InvalidInputException;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * A plan of runs (worlds, policies, seeds and one figure that is swept), played over all cores.
 * Each run that is done is kept at once, so a plan that was killed goes on where it stopped; the
 * results are an Arrow file, a table and charts.
 */
final class Experiment {
  /**
   * What to play; seeds from the first to the last. {@code figure}: load, engines, dispatchers,
   * faults, or none.
   */
  record Plan(
      @JsonProperty("name") String name,
      @JsonProperty("worlds") List<String> worlds,
      @JsonProperty("policies") List<String> policies,
      @JsonProperty("firstSeed") long firstSeed,
      @JsonProperty("lastSeed") long lastSeed,
      @JsonProperty("seconds") double seconds,
      @JsonProperty("faults") int faults,
      @JsonProperty("figure") String figure,
      @JsonProperty("values") List<Double> values) {}

  private record Run(Plan plan, String world, String policy, double value, long seed) {}

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final List<String> FIGURES =
      List.of("load", "engines", "dispatchers", "faults", "none");
  private static final String KEPT = "runs.jsonl";

  private final Plan plan;
  private final Path folder;
  private final PrintWriter out;

  private Experiment(Plan plan, Path folder, PrintWriter out) {
    this.plan = plan;
    this.folder = folder;
    this.out = out;
  }

  /**
   * @throws InvalidInputException if the plan can't be used
   */
  static Plan read(Path file) {
    Plan plan;
    try {
      plan =
          new TomlMapper()
              .enable(
                  DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
                  DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
              .readValue(Files.readString(file), Plan.class);
    } catch (JacksonException e) {
      throw new InvalidInputException(file + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidInputException(file + " can't be read: " + e.getMessage());
    }
    if (plan.worlds() == null
        || plan.policies() == null
        || plan.values() == null
        || plan.worlds().isEmpty()
        || plan.policies().isEmpty()
        || plan.values().isEmpty()
        || !FIGURES.contains(plan.figure())
        || plan.lastSeed() < plan.firstSeed()
        || !(plan.seconds() > 0)) {
      throw new InvalidInputException(
          file
              + ": worlds, policies and values must not be empty, figure must be one of "
              + FIGURES
              + ", seeds must go up and seconds be above 0");
    }
    plan.policies().forEach(PolicyCatalog::named);
    plan.worlds().forEach(EmulatedSites::named);
    return plan;
  }

  /** Plays what is not kept yet, and writes the results. */
  static void run(Plan plan, Path folder, PrintWriter out) throws IOException {
    Files.createDirectories(folder);
    new Experiment(plan, folder, out).run();
  }

  private void run() throws IOException {
    Map<String, ResultsFile.RunResult> kept = kept();
    List<Run> due = new ArrayList<>();
    for (String world : plan.worlds()) {
      for (String policy : plan.policies()) {
        for (double value : plan.values()) {
          for (long seed = plan.firstSeed(); seed <= plan.lastSeed(); seed++) {
            Run run = new Run(plan, world, policy, value, seed);
            if (!kept.containsKey(key(run))) {
              due.add(run);
            }
          }
        }
      }
    }
    out.printf("%d runs are kept, %d are due%n", kept.size(), due.size());
    out.flush();
    int[] done = {0};
    due.parallelStream()
        .forEach(
            run -> {
              ResultsFile.RunResult row = play(run);
              synchronized (done) {
                keep(row);
                kept.put(row.key(), row);
                done[0]++;
                if (done[0] * 10 / due.size() != (done[0] - 1) * 10 / due.size()) {
                  out.printf(
                      "%3d%% [%-20s]%n",
                      done[0] * 100 / due.size(), "#".repeat(done[0] * 20 / due.size()));
                  out.flush();
                }
              }
            });
    List<ResultsFile.RunResult> rows = new ArrayList<>(new TreeMap<>(kept).values());
    ResultsFile.write(folder.resolve("results.arrow"), rows);
    Files.writeString(folder.resolve("results.md"), table(rows));
    if (!plan.figure().equals("none")) {
      Charts.sweep(
          folder.resolve("goodput.svg"),
          plan.name() + ": emulated goodput",
          plan.figure(),
          "benefit got of offered",
          rows,
          ResultsFile.RunResult::goodput);
      Charts.sweep(
          folder.resolve("p99.svg"),
          plan.name() + ": 99th percentile of answers, ms",
          plan.figure(),
          "ms",
          rows,
          ResultsFile.RunResult::p99Ms);
    }
    out.print(table(rows));
    out.flush();
  }

  private String key(Run run) {
    return run.world + " " + run.policy + " " + plan.figure() + " " + run.value + " " + run.seed;
  }

  /**
   * Lines that are whole; the last one of a run that was killed may not be, and is played again.
   */
  private Map<String, ResultsFile.RunResult> kept() throws IOException {
    Map<String, ResultsFile.RunResult> kept = new HashMap<>();
    Path file = folder.resolve(KEPT);
    if (Files.exists(file)) {
      for (String line : Files.readAllLines(file)) {
        try {
          ResultsFile.RunResult row = JSON.readValue(line, ResultsFile.RunResult.class);
          kept.put(row.key(), row);
        } catch (JacksonException e) {
          out.println("a line of " + file + " is not whole, its run is played again");
        }
      }
    }
    return kept;
  }

  private void keep(ResultsFile.RunResult row) {
    try {
      Files.writeString(
          folder.resolve(KEPT),
          "\n" + JSON.writeValueAsString(row) + "\n",
          StandardCharsets.UTF_8,
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static ResultsFile.RunResult play(Run run) {
    EmulateOptions of = new EmulateOptions();
    of.world = run.world;
    of.seconds = run.plan.seconds();
    of.faults = run.plan.faults();
    switch (run.plan.figure()) {
      case "load" -> of.load = run.value;
      case "engines" -> of.engines = (int) run.value;
      case "dispatchers" -> of.dispatchers = (int) run.value;
      case "faults" -> of.faults = (int) run.value;
      default -> {}
    }
    EmulatedSite world = of.world();
    Simulation.Result result =
        new Simulation(
                world,
                PolicyCatalog.named(run.policy),
                of.faultsFor(world, run.seed),
                run.plan.seconds(),
                run.seed)
            .run();
    List<OutcomeCounts.ClassOutcome> rows = result.counts().rows();
    org.HdrHistogram.Histogram all = new org.HdrHistogram.Histogram(3_600_000_000L, 2);
    rows.forEach(row -> all.add(row.latency));
    return new ResultsFile.RunResult(
        run.world,
        run.policy,
        run.plan.figure(),
        run.value,
        run.seed,
        result.counts().goodput(),
        result.counts().offered(),
        sum(rows, x -> x.withinObjective),
        sum(rows, x -> x.late),
        sum(rows, x -> x.shed),
        sum(rows, x -> x.failed),
        sum(rows, x -> x.unanswered),
        all.getValueAtPercentile(50) / 1000.0,
        all.getValueAtPercentile(99) / 1000.0,
        result.violationCount(),
        result.counts().admitted(),
        result.counts().attempts(),
        result.counts().retries(),
        result.realS(),
        result.hash());
  }

  private static long sum(
      List<OutcomeCounts.ClassOutcome> rows,
      java.util.function.ToLongFunction<OutcomeCounts.ClassOutcome> of) {
    return rows.stream().mapToLong(of).sum();
  }

  private String table(List<ResultsFile.RunResult> rows) {
    StringBuilder text =
        new StringBuilder(
            "| world | "
                + plan.figure()
                + " | policy | runs | emulated goodput | least | 99th, ms | rules broken |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    rows.stream()
        .collect(
            Collectors.groupingBy(
                result ->
                    String.format(
                        Locale.ROOT,
                        "%s | %s | %s",
                        result.site(),
                        result.value(),
                        result.policy()),
                TreeMap::new,
                Collectors.toList()))
        .forEach(
            (key, of) ->
                text.append(
                    String.format(
                        Locale.ROOT,
                        "| %s | %d | %.4f | %.4f | %.0f | %d |%n",
                        key,
                        of.size(),
                        of.stream().mapToDouble(ResultsFile.RunResult::goodput).average().orElse(0),
                        of.stream().mapToDouble(ResultsFile.RunResult::goodput).min().orElse(0),
                        of.stream().mapToDouble(ResultsFile.RunResult::p99Ms).average().orElse(0),
                        of.stream().mapToLong(ResultsFile.RunResult::brokenRules).sum())));
    return text.toString();
  }

  /**
   * Two result sets, pair by pair: the same world, policy, figure, value and seed; or one policy
   * against another within one set.
   */
  static String compared(
      List<ResultsFile.RunResult> first,
      List<ResultsFile.RunResult> second,
      String policyA,
      String policyB) {
    Map<String, ResultsFile.RunResult> other = new HashMap<>();
    second.stream()
        .filter(result -> policyB == null || result.policy().equals(policyB))
        .forEach(result -> other.put(pair(result, policyB != null), result));
    Map<String, List<Double>> differences = new TreeMap<>();
    for (ResultsFile.RunResult result : first) {
      ResultsFile.RunResult with =
          policyA == null || result.policy().equals(policyA)
              ? other.get(pair(result, policyA != null))
              : null;
      if (with != null) {
        differences
            .computeIfAbsent(
                result.site()
                    + " | "
                    + (policyA == null ? result.policy() : policyA + " against " + policyB)
                    + " | "
                    + result.value(),
                k -> new ArrayList<>())
            .add(result.goodput() - with.goodput());
      }
    }
    StringBuilder text =
        new StringBuilder(
            "| world | policy | value | pairs | difference of emulated goodput | 95% interval | |\n"
                + "| --- | --- | --- | --- | --- | --- | --- |\n");
    differences.forEach(
        (key, of) -> {
          Paired paired = Paired.of(of);
          text.append(
              String.format(
                  Locale.ROOT,
                  "| %s | %d | %+.4f | %+.4f to %+.4f | %s |%n",
                  key,
                  paired.pairs(),
                  paired.mean(),
                  paired.low(),
                  paired.high(),
                  paired.words()));
        });
    return text.toString();
  }

  private static String pair(ResultsFile.RunResult result, boolean anyPolicy) {
    return result.site()
        + " "
        + (anyPolicy ? "" : result.policy())
        + " "
        + result.figure()
        + " "
        + result.value()
        + " "
        + result.seed();
  }
}

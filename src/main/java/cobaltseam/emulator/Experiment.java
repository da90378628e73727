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
 * An experiment: a plan of runs over sites, policies, seeds and the values of one parameter, which
 * runs on all cores. Each result is recorded as soon as its run is over, so an experiment that was
 * killed resumes where it stopped. The results are an Arrow file, a table and charts.
 */
final class Experiment {
  /**
   * The plan of an experiment.
   *
   * @param firstSeed the first seed; all seeds up to the last are run
   * @param seconds the virtual duration of each run
   * @param faults the number of random faults in each run
   * @param figure the parameter that varies: load, engines, dispatchers, faults, or none
   * @param values the values of that parameter
   */
  record Plan(
      @JsonProperty("name") String name,
      @JsonProperty("worlds") List<String> sites,
      @JsonProperty("policies") List<String> policies,
      @JsonProperty("firstSeed") long firstSeed,
      @JsonProperty("lastSeed") long lastSeed,
      @JsonProperty("seconds") double seconds,
      @JsonProperty("faults") int faults,
      @JsonProperty("figure") String figure,
      @JsonProperty("values") List<Double> values) {}

  private record Run(Plan plan, String site, String policy, double value, long seed) {}

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final List<String> FIGURES =
      List.of("load", "engines", "dispatchers", "faults", "none");
  private static final String RUNS_FILE = "runs.jsonl";

  private final Plan plan;
  private final Path folder;
  private final PrintWriter out;

  private Experiment(Plan plan, Path folder, PrintWriter out) {
    this.plan = plan;
    this.folder = folder;
    this.out = out;
  }

  /**
   * Reads a plan.
   *
   * @throws InvalidInputException if the file cannot be read, or is not a valid plan
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
      throw new InvalidInputException(file + " cannot be read: " + e.getMessage());
    }
    if (plan.sites() == null
        || plan.policies() == null
        || plan.values() == null
        || plan.sites().isEmpty()
        || plan.policies().isEmpty()
        || plan.values().isEmpty()
        || !FIGURES.contains(plan.figure())
        || plan.lastSeed() < plan.firstSeed()
        || !(plan.seconds() > 0)) {
      throw new InvalidInputException(
          file
              + ": worlds, policies and values must not be empty, figure must be one of "
              + FIGURES
              + ", lastSeed must not be below firstSeed, and seconds must be above 0");
    }
    plan.policies().forEach(PolicyCatalog::named);
    plan.sites().forEach(EmulatedSites::named);
    return plan;
  }

  /** Runs what is not recorded in the folder yet, and writes the results there. */
  static void run(Plan plan, Path folder, PrintWriter out) throws IOException {
    Files.createDirectories(folder);
    new Experiment(plan, folder, out).run();
  }

  private void run() throws IOException {
    Map<String, ResultsFile.RunResult> recorded = readRecordedRuns();
    List<Run> remaining = new ArrayList<>();
    for (String site : plan.sites()) {
      for (String policy : plan.policies()) {
        for (double value : plan.values()) {
          for (long seed = plan.firstSeed(); seed <= plan.lastSeed(); seed++) {
            Run run = new Run(plan, site, policy, value, seed);
            if (!recorded.containsKey(key(run))) {
              remaining.add(run);
            }
          }
        }
      }
    }
    out.printf("%d runs are recorded, %d remain%n", recorded.size(), remaining.size());
    out.flush();
    int[] completed = {0};
    remaining.parallelStream()
        .forEach(
            run -> {
              ResultsFile.RunResult row = simulate(run);
              synchronized (completed) {
                record(row);
                recorded.put(row.key(), row);
                completed[0]++;
                if (completed[0] * 10 / remaining.size()
                    != (completed[0] - 1) * 10 / remaining.size()) {
                  out.printf(
                      "%3d%% [%-20s]%n",
                      completed[0] * 100 / remaining.size(),
                      "#".repeat(completed[0] * 20 / remaining.size()));
                  out.flush();
                }
              }
            });
    List<ResultsFile.RunResult> rows = new ArrayList<>(new TreeMap<>(recorded).values());
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
    return run.site + " " + run.policy + " " + plan.figure() + " " + run.value + " " + run.seed;
  }

  /**
   * Reads the recorded runs. Lines that are incomplete, as the last line of a process that was
   * killed can be, are skipped, so that their runs are repeated.
   */
  private Map<String, ResultsFile.RunResult> readRecordedRuns() throws IOException {
    Map<String, ResultsFile.RunResult> recorded = new HashMap<>();
    Path file = folder.resolve(RUNS_FILE);
    if (Files.exists(file)) {
      for (String line : Files.readAllLines(file)) {
        try {
          ResultsFile.RunResult row = JSON.readValue(line, ResultsFile.RunResult.class);
          recorded.put(row.key(), row);
        } catch (JacksonException e) {
          out.println("skipped an incomplete line of " + file + "; its run is repeated");
        }
      }
    }
    return recorded;
  }

  private void record(ResultsFile.RunResult row) {
    try {
      Files.writeString(
          folder.resolve(RUNS_FILE),
          "\n" + JSON.writeValueAsString(row) + "\n",
          StandardCharsets.UTF_8,
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static ResultsFile.RunResult simulate(Run run) {
    EmulateOptions options = new EmulateOptions();
    options.siteName = run.site;
    options.seconds = run.plan.seconds();
    options.faults = run.plan.faults();
    switch (run.plan.figure()) {
      case "load" -> options.load = run.value;
      case "engines" -> options.engines = (int) run.value;
      case "dispatchers" -> options.dispatchers = (int) run.value;
      case "faults" -> options.faults = (int) run.value;
      default -> {}
    }
    EmulatedSite site = options.site();
    Simulation.Result result =
        new Simulation(
                site,
                PolicyCatalog.named(run.policy),
                options.faultsFor(site, run.seed),
                run.plan.seconds(),
                run.seed)
            .run();
    List<OutcomeCounts.ClassOutcome> rows = result.counts().rows();
    org.HdrHistogram.Histogram latency = new org.HdrHistogram.Histogram(3_600_000_000L, 2);
    rows.forEach(row -> latency.add(row.latency));
    return new ResultsFile.RunResult(
        run.site,
        run.policy,
        run.plan.figure(),
        run.value,
        run.seed,
        result.counts().goodput(),
        result.counts().offered(),
        sum(rows, row -> row.withinObjective),
        sum(rows, row -> row.late),
        sum(rows, row -> row.shed),
        sum(rows, row -> row.failed),
        sum(rows, row -> row.unanswered),
        latency.getValueAtPercentile(50) / 1000.0,
        latency.getValueAtPercentile(99) / 1000.0,
        result.violationCount(),
        result.counts().admitted(),
        result.counts().attempts(),
        result.counts().retries(),
        result.realS(),
        result.hash());
  }

  private static long sum(
      List<OutcomeCounts.ClassOutcome> rows,
      java.util.function.ToLongFunction<OutcomeCounts.ClassOutcome> count) {
    return rows.stream().mapToLong(count).sum();
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
            (key, group) ->
                text.append(
                    String.format(
                        Locale.ROOT,
                        "| %s | %d | %.4f | %.4f | %.0f | %d |%n",
                        key,
                        group.size(),
                        group.stream()
                            .mapToDouble(ResultsFile.RunResult::goodput)
                            .average()
                            .orElse(0),
                        group.stream().mapToDouble(ResultsFile.RunResult::goodput).min().orElse(0),
                        group.stream()
                            .mapToDouble(ResultsFile.RunResult::p99Ms)
                            .average()
                            .orElse(0),
                        group.stream().mapToLong(ResultsFile.RunResult::brokenRules).sum())));
    return text.toString();
  }

  /**
   * Compares two sets of results as a table, by pairs of runs with the same site, policy,
   * parameter, value and seed.
   *
   * @param policyA compares this policy of the first set with policy B of the second; null to
   *     compare each policy with itself
   * @param policyB null if and only if policy A is
   */
  static String compare(
      List<ResultsFile.RunResult> first,
      List<ResultsFile.RunResult> second,
      String policyA,
      String policyB) {
    Map<String, ResultsFile.RunResult> secondByKey = new HashMap<>();
    second.stream()
        .filter(result -> policyB == null || result.policy().equals(policyB))
        .forEach(result -> secondByKey.put(pairKey(result, policyB != null), result));
    Map<String, List<Double>> differences = new TreeMap<>();
    for (ResultsFile.RunResult result : first) {
      ResultsFile.RunResult counterpart =
          policyA == null || result.policy().equals(policyA)
              ? secondByKey.get(pairKey(result, policyA != null))
              : null;
      if (counterpart != null) {
        differences
            .computeIfAbsent(
                result.site()
                    + " | "
                    + (policyA == null ? result.policy() : policyA + " against " + policyB)
                    + " | "
                    + result.value(),
                k -> new ArrayList<>())
            .add(result.goodput() - counterpart.goodput());
      }
    }
    StringBuilder text =
        new StringBuilder(
            "| world | policy | value | pairs | difference of emulated goodput | 95% interval | |\n"
                + "| --- | --- | --- | --- | --- | --- | --- |\n");
    differences.forEach(
        (key, group) -> {
          Paired paired = Paired.of(group);
          text.append(
              String.format(
                  Locale.ROOT,
                  "| %s | %d | %+.4f | %+.4f to %+.4f | %s |%n",
                  key,
                  paired.pairs(),
                  paired.mean(),
                  paired.low(),
                  paired.high(),
                  paired.verdict()));
        });
    return text.toString();
  }

  private static String pairKey(ResultsFile.RunResult result, boolean anyPolicy) {
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

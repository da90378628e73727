package cobaltseam.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.InvalidInputException;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests experiments: plans, recorded runs, comparisons, and the minimisation of fault scripts. */
class ExperimentTest {
  private static final String PLAN =
      """
            name = "small"
            worlds = ["hall"]
            policies = ["module", "random"]
            firstSeed = 1
            lastSeed = 3
            seconds = 3
            faults = 2
            figure = "load"
            values = [0.3, 0.6]
            """;

  @TempDir Path folder;

  private String run(Experiment.Plan plan) throws IOException {
    StringWriter output = new StringWriter();
    Experiment.run(plan, folder.resolve("out"), new PrintWriter(output));
    return output.toString();
  }

  @Test
  void killedExperimentResumesWithoutRepeatingRecordedRuns() throws IOException {
    Experiment.Plan plan = Experiment.read(Files.writeString(folder.resolve("plan.toml"), PLAN));
    String first = run(plan);
    assertTrue(first.contains("0 runs are recorded, 12 remain"), first);
    List<ResultsFile.RunResult> expected = ResultsFile.read(folder.resolve("out/results.arrow"));
    assertEquals(12, expected.size());
    // A process that is killed while it writes a line leaves it incomplete. Only that run is
    // repeated, and the results are the same.
    Path runs = folder.resolve("out/runs.jsonl");
    String text = Files.readString(runs);
    Files.writeString(runs, text.substring(0, text.length() - 40));
    String second = run(plan);
    assertTrue(second.contains("11 runs are recorded, 1 remain"), second);
    List<ResultsFile.RunResult> resumed = ResultsFile.read(folder.resolve("out/results.arrow"));
    assertEquals(
        expected.stream().map(ResultsFile.RunResult::hash).toList(),
        resumed.stream().map(ResultsFile.RunResult::hash).toList());
    assertTrue(Files.readString(folder.resolve("out/goodput.svg")).contains("<svg"));
    assertTrue(
        Files.readString(folder.resolve("out/results.md")).contains("| hall | 0.6 | random | 3 |"));
    // A set of results does not differ from itself. Three pairs are too few for a difference
    // between two policies.
    assertTrue(Experiment.compare(resumed, resumed, null, null).contains("no difference shown"));
    assertTrue(Experiment.compare(resumed, resumed, "module", "random").contains("| 3 |"));
  }

  @Test
  void invalidPlansAreRejected() throws IOException {
    for (String invalid :
        List.of(
            PLAN.replace("\"random\"", "\"best\""),
            PLAN.replace("hall", "nowhere"),
            PLAN.replace("\"load\"", "\"luck\""),
            PLAN.replace("lastSeed = 3", "lastSeed = 0"),
            PLAN + "more = 1\n",
            "name =")) {
      Path file = Files.writeString(folder.resolve("bad.toml"), invalid);
      assertThrows(InvalidInputException.class, () -> Experiment.read(file), invalid);
    }
  }

  @Test
  void bootstrapIntervalsDetectRealDifferencesOnly() {
    SplittableRandom random = new SplittableRandom(4);
    int falsePositives = 0;
    for (int i = 0; i < 200; i++) {
      List<Double> withoutDifference = new ArrayList<>();
      List<Double> withDifference = new ArrayList<>();
      for (int j = 0; j < 20; j++) {
        double noise = random.nextGaussian();
        withoutDifference.add(noise);
        withDifference.add(noise + 2);
      }
      falsePositives += Paired.of(withoutDifference).isSignificant() ? 1 : 0;
      assertEquals("better", Paired.of(withDifference).verdict());
    }
    assertTrue(
        falsePositives <= 24,
        falsePositives + " of 200 comparisons show a difference where there is none");
    assertFalse(
        Paired.of(List.of(1.0, 1.0, 1.0)).isSignificant(),
        "three pairs are too few to show a difference");
  }

  @Test
  void shrinkReducesScriptToTheFailingFault() {
    EmulatedSite site = EmulatedSites.named("hall");
    List<Fault> faults = new ArrayList<>(Fault.random(site, 60, 15, 3));
    faults.add(7, new Fault(Fault.Kind.PARTITION, 10, 16, List.of(1, 4, 6, 8), 1, 2));
    // The script fails if dispatcher 2 cannot reach engine 6 for at least three seconds.
    Shrink<Fault> shrink =
        new Shrink<>(
            candidate ->
                candidate.stream()
                    .anyMatch(
                        fault ->
                            fault.kind() == Fault.Kind.PARTITION
                                && fault.target() == 2
                                && fault.engines().contains(6)
                                && fault.lengthS() >= 3),
            Fault::simplerVariants);
    List<Fault> minimal = shrink.shrink(faults);
    assertEquals(1, minimal.size(), minimal.toString());
    assertEquals(List.of(6), minimal.get(0).engines());
    assertTrue(minimal.get(0).lengthS() < 6 && minimal.get(0).lengthS() >= 3, minimal.toString());
  }

  @Test
  void writtenFaultScriptsReadBackAndUnknownEnginesAreRejected() throws IOException {
    EmulatedSite site = EmulatedSites.named("hall");
    List<Fault> faults = Fault.random(site, 60, 20, 9);
    Path file = Files.writeString(folder.resolve("faults.toml"), FaultScript.write(faults));
    assertEquals(faults, FaultScript.read(file, site));
    Files.writeString(
        file,
        "[[faults]]\nkind = \"slow\"\natS = 1\nlengthS = 1\nengines = [99]\nsize = 2\nwho = 0\n");
    assertThrows(InvalidInputException.class, () -> FaultScript.read(file, site));
  }
}

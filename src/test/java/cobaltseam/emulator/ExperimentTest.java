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

/** Plans, what they leave behind, and what is made of it. */
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

  private String play(Experiment.Plan plan) throws IOException {
    StringWriter said = new StringWriter();
    Experiment.run(plan, folder.resolve("out"), new PrintWriter(said));
    return said.toString();
  }

  @Test
  void aPlanThatWasKilledGoesOnWhereItStopped() throws IOException {
    Experiment.Plan plan = Experiment.read(Files.writeString(folder.resolve("plan.toml"), PLAN));
    String first = play(plan);
    assertTrue(first.contains("0 runs are kept, 12 are due"), first);
    List<ResultsFile.RunResult> whole = ResultsFile.read(folder.resolve("out/results.arrow"));
    assertEquals(12, whole.size());
    // Killed within a line: that run is played again, the others are not, and all comes out the
    // same.
    Path kept = folder.resolve("out/runs.jsonl");
    String text = Files.readString(kept);
    Files.writeString(kept, text.substring(0, text.length() - 40));
    String again = play(plan);
    assertTrue(again.contains("11 runs are kept, 1 are due"), again);
    List<ResultsFile.RunResult> anew = ResultsFile.read(folder.resolve("out/results.arrow"));
    assertEquals(
        whole.stream().map(ResultsFile.RunResult::hash).toList(),
        anew.stream().map(ResultsFile.RunResult::hash).toList());
    assertTrue(Files.readString(folder.resolve("out/goodput.svg")).contains("<svg"));
    assertTrue(
        Files.readString(folder.resolve("out/results.md")).contains("| hall | 0.6 | random | 3 |"));
    // Against itself no difference is shown; the module against random choice needs more than three
    // seeds.
    assertTrue(Experiment.compared(anew, anew, null, null).contains("no difference shown"));
    assertTrue(Experiment.compared(anew, anew, "module", "random").contains("| 3 |"));
  }

  @Test
  void plansThatCantBePlayedAreRefused() throws IOException {
    for (String bad :
        List.of(
            PLAN.replace("\"random\"", "\"best\""),
            PLAN.replace("hall", "nowhere"),
            PLAN.replace("\"load\"", "\"luck\""),
            PLAN.replace("lastSeed = 3", "lastSeed = 0"),
            PLAN + "more = 1\n",
            "name =")) {
      Path file = Files.writeString(folder.resolve("bad.toml"), bad);
      assertThrows(InvalidInputException.class, () -> Experiment.read(file), bad);
    }
  }

  @Test
  void intervalsOverPairsFindWhatIsThereAndNothingElse() {
    SplittableRandom chance = new SplittableRandom(4);
    int shown = 0;
    for (int i = 0; i < 200; i++) {
      List<Double> nothing = new ArrayList<>();
      List<Double> something = new ArrayList<>();
      for (int j = 0; j < 20; j++) {
        double noise = chance.nextGaussian();
        nothing.add(noise);
        something.add(noise + 2);
      }
      shown += Paired.of(nothing).shown() ? 1 : 0;
      assertEquals("better", Paired.of(something).words());
    }
    assertTrue(
        shown <= 24, "a difference was shown " + shown + " times of 200 where there is none");
    assertFalse(Paired.of(List.of(1.0, 1.0, 1.0)).shown(), "too few to show anything");
  }

  @Test
  void aScriptShrinksToWhatMatters() {
    EmulatedSite world = EmulatedSites.named("hall");
    List<Fault> faults = new ArrayList<>(Fault.random(world, 60, 15, 3));
    faults.add(7, new Fault(Fault.Kind.PARTITION, 10, 16, List.of(1, 4, 6, 8), 1, 2));
    // It fails where engine 6 is cut off from dispatcher 2 for at least three seconds.
    Shrink<Fault> shrink =
        new Shrink<>(
            fs ->
                fs.stream()
                    .anyMatch(
                        f ->
                            f.kind() == Fault.Kind.PARTITION
                                && f.target() == 2
                                && f.engines().contains(6)
                                && f.lengthS() >= 3),
            Fault::simpler);
    List<Fault> least = shrink.of(faults);
    assertEquals(1, least.size(), least.toString());
    assertEquals(List.of(6), least.get(0).engines());
    assertTrue(least.get(0).lengthS() < 6 && least.get(0).lengthS() >= 3, least.toString());
  }

  @Test
  void scriptsAreReadAsTheyAreWritten() throws IOException {
    EmulatedSite world = EmulatedSites.named("hall");
    List<Fault> faults = Fault.random(world, 60, 20, 9);
    Path file = Files.writeString(folder.resolve("faults.toml"), FaultScript.write(faults));
    assertEquals(faults, FaultScript.read(file, world));
    Files.writeString(
        file,
        "[[faults]]\nkind = \"slow\"\natS = 1\nlengthS = 1\nengines = [99]\nsize = 2\nwho = 0\n");
    assertThrows(InvalidInputException.class, () -> FaultScript.read(file, world));
  }
}

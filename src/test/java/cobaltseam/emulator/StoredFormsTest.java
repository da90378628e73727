package cobaltseam.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files of the emulator that people keep, as commit f2adcf2 wrote or read them. */
class StoredFormsTest {
  @TempDir Path folder;

  @Test
  void aRecordedScriptOfFaultsIsReadAndWrittenTheSame() throws IOException {
    List<Fault> faults =
        FaultScript.read(file("emulator-faults.toml"), EmulatedSites.named("hall"));
    assertEquals(
        Arrays.asList(Fault.Kind.values()),
        faults.stream().map(Fault::kind).toList(),
        "one of each");
    assertEquals(recorded("emulator-faults.toml"), FaultScript.write(faults));
  }

  @Test
  void aRecordedRunIsReadAndWrittenTheSame() throws IOException {
    ObjectMapper json = new ObjectMapper();
    String line = recorded("runs.jsonl").strip();
    ResultsFile.RunResult run = json.readValue(line, ResultsFile.RunResult.class);
    assertEquals("hall dispatcher load 1.5 7", run.key());
    assertEquals(line, json.writeValueAsString(run));
  }

  @Test
  void aRecordedPlanIsRead() throws IOException {
    Experiment.Plan plan = Experiment.read(file("plan.toml"));
    assertEquals(
        new Experiment.Plan(
            "recorded",
            List.of("hall"),
            List.of("module", "random"),
            1,
            2,
            4,
            3,
            "load",
            List.of(0.5, 1.0)),
        plan);
  }

  @Test
  void aRecordedSiteIsRead() throws IOException {
    assertEquals(
        EmulatedSites.named("hall"),
        EmulatedSites.read("hall", recorded("site.toml")),
        "the site that comes along still has the recorded form");
  }

  private Path file(String name) throws IOException {
    return Files.writeString(folder.resolve(name), recorded(name));
  }

  private static String recorded(String name) throws IOException {
    try (InputStream in = StoredFormsTest.class.getResourceAsStream("/cobaltseam/lab/" + name)) {
      assertNotNull(in, name);
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}

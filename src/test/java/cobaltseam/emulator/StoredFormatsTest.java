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

/**
 * Guards against incompatible changes of the file formats of the emulator: recorded files have to
 * stay readable, and to be written in the same form.
 */
class StoredFormatsTest {
  @TempDir Path folder;

  @Test
  void recordedFaultScriptIsReadAndWrittenUnchanged() throws IOException {
    List<Fault> faults =
        FaultScript.read(file("emulator-faults.toml"), EmulatedSites.named("hall"));
    assertEquals(
        Arrays.asList(Fault.Kind.values()),
        faults.stream().map(Fault::kind).toList(),
        "the recorded script has one fault of each kind");
    assertEquals(recorded("emulator-faults.toml"), FaultScript.write(faults));
  }

  @Test
  void recordedRunIsReadAndWrittenUnchanged() throws IOException {
    ObjectMapper json = new ObjectMapper();
    String line = recorded("runs.jsonl").strip();
    ResultsFile.RunResult run = json.readValue(line, ResultsFile.RunResult.class);
    assertEquals("hall dispatcher load 1.5 7", run.key());
    assertEquals(line, json.writeValueAsString(run));
  }

  @Test
  void recordedPlanIsRead() throws IOException {
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
  void recordedSiteEqualsTheIncludedSite() throws IOException {
    assertEquals(
        EmulatedSites.named("hall"),
        EmulatedSites.read("hall", recorded("site.toml")),
        "the included site still has the recorded form");
  }

  private Path file(String name) throws IOException {
    return Files.writeString(folder.resolve(name), recorded(name));
  }

  private static String recorded(String name) throws IOException {
    try (InputStream in = StoredFormatsTest.class.getResourceAsStream("/cobaltseam/lab/" + name)) {
      assertNotNull(in, name);
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}

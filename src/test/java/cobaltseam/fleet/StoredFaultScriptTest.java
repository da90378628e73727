package cobaltseam.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Stored fault scripts of fleets stay readable and are written in the same form. */
class StoredFaultScriptTest {
  private static final int PROCESSES = 5;

  @Test
  void storedScriptIsReadAndWrittenUnchanged(@TempDir Path folder) throws IOException {
    String stored;
    try (InputStream in = getClass().getResourceAsStream("/cobaltseam/lab/fleet-faults.toml")) {
      assertNotNull(in);
      stored = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
    Path file = Files.writeString(folder.resolve("faults.toml"), stored);
    List<Fault> faults = FaultScript.read(file, PROCESSES);
    assertEquals(
        Arrays.asList(Fault.Kind.values()),
        faults.stream().map(Fault::kind).toList(),
        "one fault of each kind");
    assertEquals(stored, FaultScript.write(faults));
  }
}

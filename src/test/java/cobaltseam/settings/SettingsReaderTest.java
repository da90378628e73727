package cobaltseam.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.mastership.HealthScore.HealthSignal;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Our own file: what it sets, and everything that can be wrong with it. */
class SettingsReaderTest {
  private static final String WHOLE =
      """
            [logging]
            form = "json"
            [mastership]
            listen = "127.0.0.11:1112"
            peers = ["127.0.0.12:1112"]
            ipv4_checksum = "pseudo_header"
            [[mastership.router]]
            id = 51
            priority = 150
            interval_ms = 250
            addresses = ["192.0.2.10"]
            serve = "127.0.0.21:5050"
            [mastership.seal]
            keys = "keys"
            write_key = 2
            [mastership.fitness]
            late = {bad_from = 0.5, well_below = 0.2, steps = 40}
            memory = {steps = 0}
            """;

  @TempDir Path folder;

  private Path write(String text) throws IOException {
    Files.writeString(folder.resolve("keys"), "2 00112233445566778899aabbccddeeff\n");
    return Files.writeString(folder.resolve("cobaltseam.toml"), text);
  }

  private String wrong(String text) throws IOException {
    Path file = write(text);
    String why =
        assertThrows(InvalidInputException.class, () -> SettingsReader.read(file)).getMessage();
    for (String line : why.split("\n")) {
      assertTrue(line.startsWith(file.toString()), line);
    }
    return why;
  }

  private static final String MEMBER =
      """
            [membership]
            fleet = "north"
            listen = "127.0.0.1:7946"
            """;

  @Test
  void whatHangsOnMembershipNeedsItAndHasDefaults() throws IOException {
    Settings setup =
        SettingsReader.read(write(MEMBER + "[agreement]\n[spread]\nwindow_ms = 500\n"));
    assertEquals(new TimeSpan(2_000_000), setup.agreed().contradiction());
    assertEquals(
        new Settings.CapacitySettings(
            false,
            0.1,
            0.25,
            new TimeSpan(2_000_000),
            new TimeSpan(500_000),
            new TimeSpan(1_000_000),
            new TimeSpan(10_000_000),
            new TimeSpan(100_000),
            false),
        setup.spread());
    assertEquals(
        new Settings.RetryBudgetSettings(0.3, 1, new TimeSpan(10_000_000), new TimeSpan(100_000)),
        SettingsReader.read(write(MEMBER + "[repeats]\nratio = 0.3\n")).repeats());
    assertTrue(wrong("[repeats]\n").contains("it needs [membership]"));
    assertTrue(
        wrong(MEMBER + "[repeats]\nround_ms = 600\nwindow_ms = 500\n")
            .contains("shorter than repeats.window_ms"));
    assertTrue(wrong("[spread]\n").contains("it needs [membership]"));
    assertTrue(wrong("[agreement]\n").contains("it needs [membership]"));
    assertTrue(
        wrong(MEMBER + "[agreement]\ncontradiction_ms = 500\n[spread]\nlease_ms = 500\n")
            .contains("one of the two"));
    assertTrue(
        wrong(MEMBER + "[spread]\nround_ms = 5000\nunknown_after_ms = 5000\n")
            .contains("longer than spread.round_ms"));
    assertTrue(wrong(MEMBER + "[spread]\nalone = 1.5\n").contains("spread.alone"));
  }

  @Test
  void nothingIsOnInAnEmptyFile() throws IOException {
    assertEquals(Settings.OFF, SettingsReader.read(write("")));
  }

  @Test
  void aWholeFileIsRead() throws IOException {
    Settings setup = SettingsReader.read(write(WHOLE));
    assertTrue(setup.jsonLog());
    assertEquals(ChecksumCoverage.PSEUDO_HEADER, setup.hall().coverage());
    assertEquals(150, setup.hall().routerOptions().get(0).priority());
    assertEquals(
        new TimeSpan(250_000), setup.hall().routerOptions().get(0).advertisementInterval());
    assertTrue(setup.hall().routerOptions().get(0).preempts());
    assertEquals(2, setup.hall().authentication().writeKey());
    assertEquals(-1, setup.hall().dispatchersElsewhere());
    assertEquals(40, setup.hall().healthScore().bounds().get(HealthSignal.LATE).prioritySteps());
    assertNull(setup.hall().healthScore().bounds().get(HealthSignal.MEMORY));
    assertEquals(
        100, setup.hall().healthScore().bounds().get(HealthSignal.NO_ENGINE).prioritySteps());
  }

  @Test
  void allThatIsWrongIsToldAtOnce() throws IOException {
    String why =
        wrong(
            WHOLE
                .replace("priority = 150", "priority = 300")
                .replace("interval_ms = 250", "interval_ms = 255")
                .replace("\"json\"", "\"xml\"")
                .replace("[mastership.seal]", "[mastership.seals]")
                .replace("serve = \"127.0.0.21:5050\"", ""));
    assertTrue(
        why.contains(
            "mastership.router[0].priority: 300 stands there; a whole number, from 1 to 255, default 100"),
        why);
    assertTrue(why.contains("mastership.router[0].interval_ms: 255 stands there"), why);
    assertTrue(why.contains("a multiple of 10"), why);
    assertTrue(why.contains("logging.form: \"xml\" stands there; one of [\"text\",\"json\"]"), why);
    assertTrue(why.contains("mastership.seals: {"), why);
    assertTrue(why.contains("mastership.router[0].serve: nothing stands there"), why);
    assertEquals(5, why.split("\n").length, why);
  }

  @Test
  void keysAreCheckedAgainstEachOther() throws IOException {
    String twice =
        WHOLE.replace(
            "[mastership.seal]",
            """
                [[mastership.router]]
                id = 51
                addresses = ["2001:db8::1"]
                serve = "127.0.0.21:5050"
                [mastership.seal]""");
    String why =
        wrong(
            twice
                .replace(
                    "\"127.0.0.12:1112\"", "\"127.0.0.11:1\", \"127.0.0.9:1\", \"127.0.0.9:2\"")
                .replace("write_key = 2", "write_key = 3")
                .replace("well_below = 0.2", "well_below = 0.9"));
    assertTrue(why.contains("mastership.peers[0]"), why);
    assertTrue(why.contains("mastership.peers[2]"), why);
    assertTrue(why.contains("mastership.router[1].id: 51"), why);
    assertTrue(why.contains("mastership.router[1].addresses[0]"), why);
    assertTrue(why.contains("mastership.router[1].serve"), why);
    assertTrue(why.contains("mastership.seal.write_key: 3"), why);
    assertTrue(why.contains("mastership.fitness.late.well_below: 0.9"), why);
    assertEquals(7, why.split("\n").length, why);
  }

  @Test
  void filesThatCantBeReadAreTold() throws IOException {
    assertTrue(wrong("[mastership\n").contains("it is not TOML"));
    assertTrue(wrong(WHOLE.replace("\"keys\"", "\"none\"")).contains("mastership.seal.keys"));
    assertTrue(
        wrong(WHOLE.replace("127.0.0.21:5050", "0.0.0.0:5050"))
            .contains("mastership.router[0].serve"));
    assertTrue(
        wrong(WHOLE.replace("127.0.0.21:5050", "localhost:5050"))
            .contains("mastership.router[0].serve"));
    Path gone = folder.resolve("gone.toml");
    assertTrue(
        assertThrows(InvalidInputException.class, () -> SettingsReader.read(gone))
            .getMessage()
            .contains("can't be read"));
  }
}

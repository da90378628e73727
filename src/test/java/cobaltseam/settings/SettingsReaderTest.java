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

/** Tests the reading of the dispatcher's own settings file and the errors that it reports. */
class SettingsReaderTest {
  private static final String COMPLETE =
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

  private String errorsIn(String text) throws IOException {
    Path file = write(text);
    String errors =
        assertThrows(InvalidInputException.class, () -> SettingsReader.read(file)).getMessage();
    for (String line : errors.split("\n")) {
      assertTrue(line.startsWith(file.toString()), line);
    }
    return errors;
  }

  private static final String MEMBERSHIP =
      """
            [membership]
            fleet = "north"
            listen = "127.0.0.1:7946"
            """;

  @Test
  void fleetSectionsRequireMembershipAndHaveDefaults() throws IOException {
    Settings settings =
        SettingsReader.read(write(MEMBERSHIP + "[agreement]\n[spread]\nwindow_ms = 500\n"));
    assertEquals(new TimeSpan(2_000_000), settings.agreement().maxContradiction());
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
        settings.capacity());
    assertEquals(
        new Settings.RetryBudgetSettings(0.3, 1, new TimeSpan(10_000_000), new TimeSpan(100_000)),
        SettingsReader.read(write(MEMBERSHIP + "[repeats]\nratio = 0.3\n")).retryBudget());
    assertTrue(errorsIn("[repeats]\n").contains("requires [membership]"));
    assertTrue(
        errorsIn(MEMBERSHIP + "[repeats]\nround_ms = 600\nwindow_ms = 500\n")
            .contains("shorter than repeats.window_ms"));
    assertTrue(errorsIn("[spread]\n").contains("requires [membership]"));
    assertTrue(errorsIn("[agreement]\n").contains("requires [membership]"));
    assertTrue(
        errorsIn(MEMBERSHIP + "[agreement]\ncontradiction_ms = 500\n[spread]\nlease_ms = 500\n")
            .contains("only one of the two"));
    assertTrue(
        errorsIn(MEMBERSHIP + "[spread]\nround_ms = 5000\nunknown_after_ms = 5000\n")
            .contains("longer than spread.round_ms"));
    assertTrue(errorsIn(MEMBERSHIP + "[spread]\nalone = 1.5\n").contains("spread.alone"));
  }

  @Test
  void emptyFileEqualsSettingsOff() throws IOException {
    assertEquals(Settings.OFF, SettingsReader.read(write("")));
  }

  @Test
  void completeFileIsRead() throws IOException {
    Settings settings = SettingsReader.read(write(COMPLETE));
    assertTrue(settings.logsJson());
    assertEquals(ChecksumCoverage.PSEUDO_HEADER, settings.virtualAddresses().coverage());
    assertEquals(150, settings.virtualAddresses().routerOptions().get(0).priority());
    assertEquals(
        new TimeSpan(250_000),
        settings.virtualAddresses().routerOptions().get(0).advertisementInterval());
    assertTrue(settings.virtualAddresses().routerOptions().get(0).preempts());
    assertEquals(2, settings.virtualAddresses().authentication().writeKey());
    assertEquals(-1, settings.virtualAddresses().dispatchersElsewhere());
    assertEquals(
        40,
        settings
            .virtualAddresses()
            .healthScore()
            .bounds()
            .get(HealthSignal.LATE)
            .priorityDecrement());
    assertNull(settings.virtualAddresses().healthScore().bounds().get(HealthSignal.MEMORY));
    assertEquals(
        100,
        settings
            .virtualAddresses()
            .healthScore()
            .bounds()
            .get(HealthSignal.NO_ENGINE)
            .priorityDecrement());
  }

  @Test
  void allSchemaViolationsAreReportedAtOnce() throws IOException {
    String errors =
        errorsIn(
            COMPLETE
                .replace("priority = 150", "priority = 300")
                .replace("interval_ms = 250", "interval_ms = 255")
                .replace("\"json\"", "\"xml\"")
                .replace("[mastership.seal]", "[mastership.seals]")
                .replace("serve = \"127.0.0.21:5050\"", ""));
    assertTrue(
        errors.contains(
            "mastership.router[0].priority: found 300; expected an integer, from 1 to 255, default 100"),
        errors);
    assertTrue(errors.contains("mastership.router[0].interval_ms: found 255;"), errors);
    assertTrue(errors.contains("a multiple of 10"), errors);
    assertTrue(
        errors.contains("logging.form: found \"xml\"; expected one of [\"text\",\"json\"]"),
        errors);
    assertTrue(errors.contains("mastership.seals: found {"), errors);
    assertTrue(errors.contains("mastership.router[0].serve: found nothing;"), errors);
    assertEquals(5, errors.split("\n").length, errors);
  }

  @Test
  void conflictingSettingsAreReported() throws IOException {
    String duplicateRouter =
        COMPLETE.replace(
            "[mastership.seal]",
            """
                [[mastership.router]]
                id = 51
                addresses = ["2001:db8::1"]
                serve = "127.0.0.21:5050"
                [mastership.seal]""");
    String errors =
        errorsIn(
            duplicateRouter
                .replace(
                    "\"127.0.0.12:1112\"", "\"127.0.0.11:1\", \"127.0.0.9:1\", \"127.0.0.9:2\"")
                .replace("write_key = 2", "write_key = 3")
                .replace("well_below = 0.2", "well_below = 0.9"));
    assertTrue(errors.contains("mastership.peers[0]"), errors);
    assertTrue(errors.contains("mastership.peers[2]"), errors);
    assertTrue(errors.contains("mastership.router[1].id: found 51;"), errors);
    assertTrue(errors.contains("mastership.router[1].addresses[0]"), errors);
    assertTrue(errors.contains("mastership.router[1].serve"), errors);
    assertTrue(errors.contains("mastership.seal.write_key: found 3;"), errors);
    assertTrue(errors.contains("mastership.fitness.late.well_below: found 0.9;"), errors);
    assertEquals(7, errors.split("\n").length, errors);
  }

  @Test
  void unreadableFilesAndUnusableAddressesAreReported() throws IOException {
    assertTrue(errorsIn("[mastership\n").contains("the file is not valid TOML"));
    assertTrue(errorsIn(COMPLETE.replace("\"keys\"", "\"none\"")).contains("mastership.seal.keys"));
    assertTrue(
        errorsIn(COMPLETE.replace("127.0.0.21:5050", "0.0.0.0:5050"))
            .contains("mastership.router[0].serve"));
    assertTrue(
        errorsIn(COMPLETE.replace("127.0.0.21:5050", "localhost:5050"))
            .contains("mastership.router[0].serve"));
    Path missing = folder.resolve("missing.toml");
    assertTrue(
        assertThrows(InvalidInputException.class, () -> SettingsReader.read(missing))
            .getMessage()
            .contains("the file can't be read"));
  }
}

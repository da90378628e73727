package cobaltseam.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the output, error output and exit codes of the command line. */
class CobaltseamCommandTest {
  private static final String HEX = "3133640100640 5ccc000020a".replace(" ", "");

  private record CommandResult(int code, String out, String err) {}

  private static CommandResult run(String... args) {
    return run(new ByteArrayOutputStream(), args);
  }

  /** Runs a command; another thread may read {@code out} meanwhile. */
  private static CommandResult run(ByteArrayOutputStream out, String... args) {
    PrintStream originalOut = System.out;
    PrintStream originalErr = System.err;
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    try {
      return new CommandResult(
          CobaltseamCommand.run(args),
          out.toString(StandardCharsets.UTF_8).strip(),
          err.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(originalOut);
      System.setErr(originalErr);
    }
  }

  private static CommandResult vrrp(String subcommand, String... furtherArgs) {
    List<String> args =
        new ArrayList<>(
            List.of("vrrp", subcommand, "--source", "192.0.2.1", "--destination", "224.0.0.18"));
    args.addAll(List.of(furtherArgs));
    return run(args.toArray(String[]::new));
  }

  @Test
  void encodeIsTheInverseOfDecode() throws IOException {
    CommandResult decoded = vrrp("decode", HEX);
    assertEquals(0, decoded.code, decoded.err);
    JsonNode json = new ObjectMapper().readTree(decoded.out);
    assertEquals(51, json.path("virtualRouterId").asInt());
    assertEquals(100, json.path("priority").asInt());
    assertEquals(100, json.path("maxAdvertiseIntervalCentiseconds").asInt());
    assertEquals("[\"192.0.2.10\"]", json.path("addresses").toString());
    assertEquals(HEX, vrrp("encode", decoded.out).out);
    assertEquals(
        "3133640100 64a85cc000020a".replace(" ", ""),
        vrrp(
                "encode",
                "--virtual-router-id",
                "51",
                "--priority",
                "100",
                "--interval",
                "100",
                "--address",
                "192.0.2.10")
            .out);
  }

  @Test
  void invalidInputExitsWithCode1AndReportsReason() {
    CommandResult invalid = vrrp("decode", HEX.replace("05cc", "05cd"));
    assertEquals(1, invalid.code);
    assertEquals("", invalid.out);
    assertTrue(invalid.err.contains("checksum"), invalid.err);
    assertEquals(1, vrrp("decode", "31x").code);
    assertEquals(
        1, run("vrrp", "decode", HEX, "--source", "here", "--destination", "224.0.0.18").code);
    assertEquals(1, vrrp("encode", "{\"virtualRouterId\":51}").code);
    assertEquals(
        1,
        vrrp(
                "encode",
                "--virtual-router-id",
                "300",
                "--priority",
                "1",
                "--interval",
                "1",
                "--address",
                "192.0.2.1")
            .code);
    assertEquals(1, run("vrrp", "watch").code);
  }

  @Test
  void incorrectUsageExitsWithCode2AndHelpWithCode0() {
    assertEquals(2, run().code);
    assertEquals(2, run("nonsense").code);
    assertEquals(2, run("vrrp").code);
    assertEquals(2, run("vrrp", "decode").code);
    assertEquals(2, run("serve", "--config").code);
    for (String[] command :
        new String[][] {
          {},
          {"serve"},
          {"rehearse"},
          {"adapter"},
          {"check"},
          {"vrrp"},
          {"vrrp", "decode"},
          {"vrrp", "encode"},
          {"vrrp", "watch"}
        }) {
      for (String option : List.of("--help", "--version")) {
        List<String> args = new ArrayList<>(List.of(command));
        args.add(option);
        CommandResult result = run(args.toArray(String[]::new));
        assertEquals(0, result.code, args + result.err);
        assertTrue(result.out.contains("cobaltseam"), args + result.out);
      }
    }
  }

  private static int freeUdpPort() throws IOException {
    try (DatagramSocket probe = new DatagramSocket(new InetSocketAddress("127.0.79.1", 0))) {
      return probe.getLocalPort();
    }
  }

  /**
   * Sends advertisements of one router until the command has reported it, then of two routers, and
   * then of the first one again. The second router must not start earlier: a command that is slow
   * to start would miss it.
   */
  private static void sendAdvertisements(int port, ByteArrayOutputStream output) {
    Advertisement advert =
        new Advertisement(7, 100, 2, List.of(Addresses.parse("192.0.2.10").orElseThrow()));
    try (DatagramSocket firstRouter = new DatagramSocket(new InetSocketAddress("127.0.79.2", 0));
        DatagramSocket secondRouter = new DatagramSocket(new InetSocketAddress("127.0.79.3", 0))) {
      InetAddress watchAddress = InetAddress.getByName("127.0.79.1");
      boolean isFirstReported = false;
      for (int i = 0; i < 200; i += isFirstReported ? 1 : 0) {
        for (DatagramSocket router :
            !isFirstReported || i >= 100
                ? List.of(firstRouter)
                : List.of(firstRouter, secondRouter)) {
          byte[] bytes =
              AdvertisementCodec.encode(
                  advert, router.getLocalAddress(), watchAddress, ChecksumCoverage.MESSAGE);
          router.send(new DatagramPacket(bytes, bytes.length, watchAddress, port));
        }
        isFirstReported =
            isFirstReported || output.toString(StandardCharsets.UTF_8).contains("active");
        Thread.sleep(5);
      }
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void watchReportsActiveRoutersAndTheirAbsence(@TempDir Path folder) throws Exception {
    int port = freeUdpPort();
    Path file =
        Files.writeString(
            folder.resolve("cobaltseam.toml"),
            """
                [mastership]
                listen = "127.0.79.1:%d"
                peers = ["127.0.79.2:1", "127.0.79.3:1"]
                router = [{id = 7, interval_ms = 20, addresses = ["192.0.2.10"], serve = "192.0.2.10:5050"}]
                """
                .formatted(port));
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    Thread sender = new Thread(() -> sendAdvertisements(port, output));
    sender.start();
    CommandResult result =
        run(output, "vrrp", "watch", "--config", file.toString(), "--seconds", "3");
    sender.interrupt();
    sender.join();
    assertEquals(0, result.code, result.err);
    List<String> states = new ArrayList<>();
    for (String line : result.out.split("\n")) {
      JsonNode json = new ObjectMapper().readTree(line);
      assertEquals(7, json.path("virtualRouterId").asInt());
      states.add(json.path("state").asText());
    }
    assertEquals("active", states.get(0));
    assertTrue(states.contains("split"), states.toString());
    assertEquals("none", states.get(states.size() - 1));
  }

  @Test
  void checkPrintsWhatSettingsEnable(@TempDir Path folder) throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("cobaltseam.toml"),
            """
                [mastership]
                listen = "127.0.0.11:1112"
                peers = []
                router = [{id = 7, addresses = ["192.0.2.10"], serve = "192.0.2.10:5050"}]
                """);
    CommandResult valid = run("check", "--config", file.toString());
    assertEquals(0, valid.code, valid.err);
    assertTrue(
        valid.out.contains("virtual router 7/ipv4: priority 100, interval 1000 ms"), valid.out);
    assertTrue(run("check").out.contains("mastership: off"));
    Files.writeString(file, "mastership = 1\n");
    CommandResult invalid = run("check", "--config", file.toString());
    assertEquals(1, invalid.code);
    assertTrue(invalid.err.contains("mastership: found 1;"), invalid.err);
  }
}

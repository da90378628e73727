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

/** The command line: what it prints where, and its exit codes. */
class CobaltseamCommandTest {
  private static final String HEX = "3133640100640 5ccc000020a".replace(" ", "");

  private record CommandResult(int code, String out, String err) {}

  private static CommandResult run(String... args) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    ByteArrayOutputStream wrong = new ByteArrayOutputStream();
    System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(wrong, true, StandardCharsets.UTF_8));
    try {
      return new CommandResult(
          CobaltseamCommand.run(args),
          said.toString(StandardCharsets.UTF_8).strip(),
          wrong.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
  }

  private static CommandResult vrrp(String what, String... more) {
    List<String> args =
        new ArrayList<>(
            List.of("vrrp", what, "--source", "192.0.2.1", "--destination", "224.0.0.18"));
    args.addAll(List.of(more));
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
  void badInputExitsWith1AndItsReason() {
    CommandResult bad = vrrp("decode", HEX.replace("05cc", "05cd"));
    assertEquals(1, bad.code);
    assertEquals("", bad.out);
    assertTrue(bad.err.contains("checksum"), bad.err);
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
  void wrongUseExitsWith2AndHelpWith0() {
    assertEquals(2, run().code);
    assertEquals(2, run("nonsense").code);
    assertEquals(2, run("vrrp").code);
    assertEquals(2, run("vrrp", "decode").code);
    assertEquals(2, run("serve", "--config").code);
    for (String[] of :
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
        List<String> args = new ArrayList<>(List.of(of));
        args.add(option);
        CommandResult ran = run(args.toArray(String[]::new));
        assertEquals(0, ran.code, args + ran.err);
        assertTrue(ran.out.contains("cobaltseam"), args + ran.out);
      }
    }
  }

  @Test
  void watchTellsWhoIsActiveAndWhenNobodyIs(@TempDir Path folder) throws Exception {
    int port;
    try (DatagramSocket probe = new DatagramSocket(new InetSocketAddress("127.0.79.1", 0))) {
      port = probe.getLocalPort();
    }
    Path file =
        Files.writeString(
            folder.resolve("own.toml"),
            """
                [mastership]
                listen = "127.0.79.1:%d"
                peers = ["127.0.79.2:1", "127.0.79.3:1"]
                router = [{id = 7, interval_ms = 20, addresses = ["192.0.2.10"], serve = "192.0.2.10:5050"}]
                """
                .formatted(port));
    Advertisement advert =
        new Advertisement(7, 100, 2, List.of(Addresses.parse("192.0.2.10").orElseThrow()));
    InetAddress to = InetAddress.getByName("127.0.79.1");
    Thread speaker =
        new Thread(
            () -> {
              try (DatagramSocket one = new DatagramSocket(new InetSocketAddress("127.0.79.2", 0));
                  DatagramSocket other =
                      new DatagramSocket(new InetSocketAddress("127.0.79.3", 0))) {
                for (int i = 0; i < 300; i++) {
                  for (DatagramSocket from :
                      i < 100 || i >= 200 ? List.of(one) : List.of(one, other)) {
                    byte[] bytes =
                        AdvertisementCodec.encode(
                            advert, from.getLocalAddress(), to, ChecksumCoverage.MESSAGE);
                    from.send(new DatagramPacket(bytes, bytes.length, to, port));
                  }
                  Thread.sleep(5);
                }
              } catch (IOException | InterruptedException e) {
                throw new AssertionError(e);
              }
            });
    speaker.start();
    CommandResult ran = run("vrrp", "watch", "--config", file.toString(), "--seconds", "3");
    speaker.join();
    assertEquals(0, ran.code, ran.err);
    List<String> states = new ArrayList<>();
    for (String line : ran.out.split("\n")) {
      JsonNode json = new ObjectMapper().readTree(line);
      assertEquals(7, json.path("virtualRouterId").asInt());
      states.add(json.path("state").asText());
    }
    assertEquals("active", states.get(0));
    assertTrue(states.contains("split"), states.toString());
    assertEquals("none", states.get(states.size() - 1));
  }

  @Test
  void checkTellsWhatWouldBeOn(@TempDir Path folder) throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("own.toml"),
            """
                [mastership]
                listen = "127.0.0.11:1112"
                peers = []
                router = [{id = 7, addresses = ["192.0.2.10"], serve = "192.0.2.10:5050"}]
                """);
    CommandResult on = run("check", "--config", file.toString());
    assertEquals(0, on.code, on.err);
    assertTrue(on.out.contains("virtual router 7/ipv4: priority 100, interval 1000 ms"), on.out);
    assertTrue(run("check").out.contains("mastership: off"));
    Files.writeString(file, "mastership = 1\n");
    CommandResult bad = run("check", "--config", file.toString());
    assertEquals(1, bad.code);
    assertTrue(bad.err.contains("mastership: found 1;"), bad.err);
  }
}

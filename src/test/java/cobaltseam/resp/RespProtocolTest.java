package cobaltseam.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.DeploymentReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the engine protocol on byte arrays, without a network. */
class RespProtocolTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Parses chunks of bytes, which must be valid; returns the items of each complete array. */
  private static List<List<String>> parse(RespParser parser, byte[]... chunks) {
    List<List<String>> arrays = new ArrayList<>();
    for (byte[] chunk : chunks) {
      assertNull(
          parser.parse(
              ByteBuffer.wrap(chunk),
              items ->
                  arrays.add(
                      items.stream().map(i -> new String(i, StandardCharsets.UTF_8)).toList())));
    }
    return arrays;
  }

  @Test
  void commandsAreParsedWhereverTheBytesAreSplit() {
    byte[] allBytes =
        bytes(
            new String(
                    EngineCommands.pull("id1", "report", 40, null, bytes("select '\r\n$3'")),
                    StandardCharsets.UTF_8)
                + new String(EngineCommands.scroll("id1", 2), StandardCharsets.UTF_8));
    List<List<String>> expected =
        List.of(
            List.of("PULL", "id1", "lane=report,ttl=40", "select '\r\n$3'"),
            List.of("SCROLL", "id1", "2"));
    for (int splitAt = 0; splitAt <= allBytes.length; splitAt++) {
      assertEquals(
          expected,
          parse(
              new RespParser(),
              Arrays.copyOf(allBytes, splitAt),
              Arrays.copyOfRange(allBytes, splitAt, allBytes.length)));
    }
    assertEquals(
        List.of(List.of("KILL", "a"), List.of("DISCARD", "a"), List.of("ECHO", "")),
        parse(
            new RespParser(),
            EngineCommands.kill("a"),
            EngineCommands.discard("a"),
            EngineCommands.echo("")));
  }

  @Test
  void invalidBytesAreReportedAndNotBuffered() {
    for (String invalid :
        List.of(
            "+OK\r\n",
            "*0\r\n",
            "*17\r\n",
            "*-1\r\n",
            "*1\r\n$65537\r\n",
            "*1\r\n$-1\r\n",
            "*1\r\n:3\r\n",
            "*1\n",
            "*x\r\n",
            "*\r\n",
            "*1\r\n$1\r\nabc",
            "*99999999999999999",
            "*1\r\n$99999999999999\r\n")) {
      assertNotNull(new RespParser().parse(ByteBuffer.wrap(bytes(invalid)), items -> {}), invalid);
    }
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 3000; i++) {
      byte[] randomBytes = new byte[64];
      random.nextBytes(randomBytes);
      new RespParser().parse(ByteBuffer.wrap(randomBytes), items -> {});
    }
  }

  @Test
  void fieldsOfAResponseAreParsed() {
    EngineResponse response =
        EngineResponse.parse(
            List.of(
                bytes("i"),
                bytes("200"),
                bytes("pages=3,rep=pending:0;busy_reqs:6.482,why=x"),
                bytes("a\tb\n")));
    assertEquals(
        "i 200 3", response.id() + " " + response.code() + " " + response.integerField("pages"));
    assertEquals(6.482, response.loadReportValue(DeploymentReader.IN_FLIGHT_REPORT_FIELD));
    assertEquals(0, response.loadReportValue(DeploymentReader.QUEUED_REPORT_FIELD));
    assertEquals(-1, response.loadReportValue("util"));
    EngineResponse withoutFields =
        EngineResponse.parse(List.of(bytes("i"), bytes("200"), bytes("-"), bytes("")));
    assertEquals(-1, withoutFields.loadReportValue(DeploymentReader.IN_FLIGHT_REPORT_FIELD));
    assertEquals(-1, withoutFields.integerField("pages"));
    EngineResponse withInvalidFields =
        EngineResponse.parse(
            List.of(
                bytes("i"), bytes("x"), bytes("v=NaN,w=1e999,page=99999999999,=,a"), bytes("")));
    assertEquals(
        List.of(-1.0, -1.0, -1.0),
        List.of(
            withInvalidFields.numberField("v"),
            withInvalidFields.numberField("w"),
            withInvalidFields.numberField("a")));
    assertEquals(-1, withInvalidFields.integerField("page"));
    assertNull(EngineResponse.parse(List.of(bytes("i"), bytes("200"))));
  }

  @Test
  void resultAcceptsEachPageOnceAndOnlyCompleteRows() {
    Result result = new Result(3);
    assertNull(result.addPage(2, bytes("e\tf\n")));
    assertNull(result.addPage(0, bytes("a\tb\nc\td\n")));
    assertNotNull(result.addPage(0, bytes("a\tb\n")));
    assertNotNull(result.addPage(3, bytes("a\tb\n")));
    assertNotNull(result.addPage(-1, bytes("a\tb\n")));
    assertNotNull(new Result(1).addPage(0, bytes("a\tb")));
    assertNotNull(new Result(1).addPage(0, bytes("a\tb\nc\n")));
    assertNotNull(new Result(1).addPage(0, new byte[1 << 17]));
    assertTrue(!result.isComplete());
    assertNull(result.addPage(1, bytes("")));
    assertTrue(result.isComplete());
    assertEquals(
        "a\tb\nc\td\n|" + "|e\tf\n",
        String.join(
            "|", result.pages().stream().map(p -> new String(p, StandardCharsets.UTF_8)).toList()));
    assertEquals(3, result.rowCount());
    assertEquals(2, result.columnCountOr(9));
    assertEquals(9, new Result(1).columnCountOr(9));
    assertTrue(
        Result.isValidPageCount(1)
            && !Result.isValidPageCount(0)
            && !Result.isValidPageCount(-1)
            && !Result.isValidPageCount(65));
  }
}

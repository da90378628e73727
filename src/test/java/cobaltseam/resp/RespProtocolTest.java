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

/** The engine protocol, on bytes alone. */
class RespProtocolTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<List<String>> read(RespParser parser, byte[]... pieces) {
    List<List<String>> read = new ArrayList<>();
    for (byte[] piece : pieces) {
      assertNull(
          parser.take(
              ByteBuffer.wrap(piece),
              items ->
                  read.add(
                      items.stream().map(i -> new String(i, StandardCharsets.UTF_8)).toList())));
    }
    return read;
  }

  @Test
  void commandsAreParsedWhereverTheBytesAreCut() {
    byte[] all =
        bytes(
            new String(
                    EngineCommands.pull("id1", "report", 40, null, bytes("select '\r\n$3'")),
                    StandardCharsets.UTF_8)
                + new String(EngineCommands.scroll("id1", 2), StandardCharsets.UTF_8));
    List<List<String>> expected =
        List.of(
            List.of("PULL", "id1", "lane=report,ttl=40", "select '\r\n$3'"),
            List.of("SCROLL", "id1", "2"));
    for (int cut = 0; cut <= all.length; cut++) {
      assertEquals(
          expected,
          read(
              new RespParser(), Arrays.copyOf(all, cut), Arrays.copyOfRange(all, cut, all.length)));
    }
    assertEquals(
        List.of(List.of("KILL", "a"), List.of("DISCARD", "a"), List.of("ECHO", "")),
        read(
            new RespParser(),
            EngineCommands.kill("a"),
            EngineCommands.discard("a"),
            EngineCommands.echo("")));
  }

  @Test
  void invalidBytesAreReportedAndNotBuffered() {
    for (String bad :
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
      assertNotNull(new RespParser().take(ByteBuffer.wrap(bytes(bad)), items -> {}), bad);
    }
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 3000; i++) {
      byte[] garbage = new byte[64];
      random.nextBytes(garbage);
      new RespParser().take(ByteBuffer.wrap(garbage), items -> {});
    }
  }

  @Test
  void fieldsOfAResponseAreParsed() {
    EngineAnswer array =
        EngineAnswer.of(
            List.of(
                bytes("i"),
                bytes("200"),
                bytes("pages=3,rep=pending:0;busy_reqs:6.482,why=x"),
                bytes("a\tb\n")));
    assertEquals("i 200 3", array.id() + " " + array.word() + " " + array.whole("pages"));
    assertEquals(6.482, array.reported(DeploymentReader.IN_HAND_REPORT));
    assertEquals(0, array.reported(DeploymentReader.QUEUE_REPORT));
    assertEquals(-1, array.reported("util"));
    EngineAnswer none = EngineAnswer.of(List.of(bytes("i"), bytes("200"), bytes("-"), bytes("")));
    assertEquals(-1, none.reported(DeploymentReader.IN_HAND_REPORT));
    assertEquals(-1, none.whole("pages"));
    EngineAnswer odd =
        EngineAnswer.of(
            List.of(
                bytes("i"), bytes("x"), bytes("v=NaN,w=1e999,page=99999999999,=,a"), bytes("")));
    assertEquals(
        List.of(-1.0, -1.0, -1.0), List.of(odd.number("v"), odd.number("w"), odd.number("a")));
    assertEquals(-1, odd.whole("page"));
    assertNull(EngineAnswer.of(List.of(bytes("i"), bytes("200"))));
  }

  @Test
  void aResultAcceptsEachPageOnceAndOnlyCompleteRows() {
    Result result = new Result(3);
    assertNull(result.add(2, bytes("e\tf\n")));
    assertNull(result.add(0, bytes("a\tb\nc\td\n")));
    assertNotNull(result.add(0, bytes("a\tb\n")));
    assertNotNull(result.add(3, bytes("a\tb\n")));
    assertNotNull(result.add(-1, bytes("a\tb\n")));
    assertNotNull(new Result(1).add(0, bytes("a\tb")));
    assertNotNull(new Result(1).add(0, bytes("a\tb\nc\n")));
    assertNotNull(new Result(1).add(0, new byte[1 << 17]));
    assertTrue(!result.isWhole());
    assertNull(result.add(1, bytes("")));
    assertTrue(result.isWhole());
    assertEquals(
        "a\tb\nc\td\n|" + "|e\tf\n",
        String.join(
            "|", result.pages().stream().map(p -> new String(p, StandardCharsets.UTF_8)).toList()));
    assertEquals(3, result.rowCount());
    assertEquals(2, result.columns(9));
    assertEquals(9, new Result(1).columns(9));
    assertTrue(
        Result.canHave(1) && !Result.canHave(0) && !Result.canHave(-1) && !Result.canHave(65));
  }
}

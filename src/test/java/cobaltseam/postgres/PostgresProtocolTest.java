package cobaltseam.postgres;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the client protocol and the statement scanner on byte arrays, without a network. */
class PostgresProtocolTest {
  private static final String FIELDS = "/* op=report,call=9b1f03aa5c7e2d41,ttl=1500 */ ";

  /** Encodes what a client sends: SSLRequest, StartupMessage, these queries and Terminate. */
  private static ByteBuffer encodeSession(String... queries) {
    ByteBuffer out = ByteBuffer.allocate(4096);
    out.putInt(8).putInt(80877103);
    out.putInt(18).putInt(3 << 16).put("user\0app\0\0".getBytes(StandardCharsets.UTF_8));
    for (String query : queries) {
      byte[] text = query.getBytes(StandardCharsets.UTF_8);
      out.put((byte) 'Q').putInt(text.length + 5).put(text).put((byte) 0);
    }
    return out.put((byte) 'X').putInt(4).flip();
  }

  /** Parses chunks of bytes; returns the type of each message, and for a query also its text. */
  private static List<String> parse(ClientParser parser, ByteBuffer... chunks) {
    List<String> messages = new ArrayList<>();
    for (ByteBuffer chunk : chunks) {
      parser.parse(
          chunk,
          message ->
              messages.add(
                  message instanceof ClientMessage.Query query
                      ? "Query " + new String(query.text(), StandardCharsets.UTF_8)
                      : message.getClass().getSimpleName()));
    }
    return messages;
  }

  @Test
  void sessionIsParsedWhereverTheBytesAreSplit() {
    byte[] allBytes = encodeSession("SELECT 'ı'", "").array();
    int length = encodeSession("SELECT 'ı'", "").limit();
    List<String> expected =
        List.of("EncryptionRequest", "Startup", "Query SELECT 'ı'", "Query ", "Terminate");
    for (int splitAt = 0; splitAt <= length; splitAt++) {
      assertEquals(
          expected,
          parse(
              new ClientParser(),
              ByteBuffer.wrap(allBytes, 0, splitAt).slice(),
              ByteBuffer.wrap(allBytes, splitAt, length - splitAt).slice()),
          "split at " + splitAt);
    }
    ClientParser byteByByteParser = new ClientParser();
    List<String> messages = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      messages.addAll(parse(byteByByteParser, ByteBuffer.wrap(allBytes, i, 1)));
    }
    assertEquals(expected, messages);
  }

  @Test
  void cancelRequestNamesItsSession() {
    List<ClientMessage> messages = new ArrayList<>();
    new ClientParser()
        .parse(
            ByteBuffer.allocate(16).putInt(16).putInt(80877102).putInt(7).putInt(-9).flip(),
            messages::add);
    assertEquals(List.of(new ClientMessage.Cancel(7, -9)), messages);
  }

  @Test
  void protocolViolationIsReportedOnceAndStopsParsing() {
    int[][] invalidHeaders = {
      {7, 3 << 16}, {10_001, 3 << 16}, {8, 2 << 16}, {8, 80877102}, {-1, 0}
    };
    for (int[] header : invalidHeaders) {
      ByteBuffer invalid = ByteBuffer.allocate(64).putInt(header[0]).putInt(header[1]);
      assertEquals(
          List.of("Malformed"),
          parse(new ClientParser(), invalid.position(64).flip(), encodeSession()));
    }
    ByteBuffer tooLong = ByteBuffer.allocate(64).putInt(8).putInt(3 << 16);
    assertEquals(
        List.of("Startup", "Malformed"),
        parse(
            new ClientParser(),
            tooLong.put((byte) 'Q').putInt(ClientParser.MAX_MESSAGE_BYTES + 1).flip()));
    ByteBuffer unterminated = ByteBuffer.allocate(64).putInt(8).putInt(3 << 16);
    assertEquals(
        List.of("Startup", "Malformed"),
        parse(new ClientParser(), unterminated.put((byte) 'Q').putInt(5).put((byte) 'x').flip()));
  }

  @Test
  void randomBytesNeverThrowAndNothingFollowsAMalformedMessage() {
    SplittableRandom random = new SplittableRandom(11);
    for (int i = 0; i < 3000; i++) {
      byte[] bytes = new byte[random.nextInt(1, 200)];
      random.nextBytes(bytes);
      ByteBuffer in =
          i % 2 == 0
              ? ByteBuffer.wrap(bytes)
              : ByteBuffer.allocate(8 + bytes.length).putInt(8).putInt(3 << 16).put(bytes).flip();
      List<String> messages = parse(new ClientParser(), in);
      int malformedIndex = messages.indexOf("Malformed");
      assertTrue(malformedIndex < 0 || malformedIndex == messages.size() - 1, messages.toString());
    }
  }

  @Test
  void rowsAreEncodedAsTheProtocolRequires() {
    byte[] row = "a\t\tçö".getBytes(StandardCharsets.UTF_8);
    ByteBuffer out =
        ByteBuffer.wrap(
            new ServerMessageWriter()
                .dataRow(row, 0, row.length)
                .commandComplete("SELECT 1")
                .toByteArray());
    assertEquals('D', out.get());
    assertEquals(4 + 2 + 3 * 4 + 5, out.getInt());
    assertEquals(3, out.getShort());
    for (String column : List.of("a", "", "çö")) {
      byte[] columnBytes = new byte[out.getInt()];
      out.get(columnBytes);
      assertEquals(column, new String(columnBytes, StandardCharsets.UTF_8));
    }
    assertEquals('C', out.get());
    assertEquals(4 + 9, out.getInt());
  }

  @Test
  void fieldsAreParsedInAnyOrderAndTheStatementIsUnchanged()
      throws StatementScanner.InvalidStatementException {
    byte[] text =
        "-- é\n /*x*/ /*  space=96 ,ttl=1500,new=1,org=acme,work=820.5,call=9B1f03aa5c7e2d41,op=report*/\n select 1 -- \u00fc"
            .getBytes(StandardCharsets.UTF_8);
    Statement statement = StatementScanner.scan(text);
    assertEquals("report", statement.requestClass());
    assertEquals("9B1f03aa5c7e2d41", statement.callId());
    assertEquals(1500, statement.timeToLiveMs());
    assertEquals("acme", statement.tenant());
    assertEquals(820.5, statement.workMs());
    assertEquals(96, statement.memoryMb());
    assertEquals(
        "-- é\n /*x*/ select 1 -- \u00fc", new String(statement.text(), StandardCharsets.UTF_8));
    byte[] invalidUtf8 = (FIELDS + "select '\u0000'").getBytes(StandardCharsets.UTF_8);
    invalidUtf8[invalidUtf8.length - 2] = (byte) 0xff;
    assertArrayEquals(
        new byte[] {'\'', (byte) 0xff, '\''},
        Arrays.copyOfRange(StatementScanner.scan(invalidUtf8).text(), 7, 10));
  }

  @Test
  void statementsWithoutValidFieldsAreRejected() {
    String call = "call=9b1f03aa5c7e2d41";
    for (String invalid :
        List.of(
            "select 1",
            "/* op=a,ttl=1," + call + " ",
            "/* ttl=1," + call + " */ x",
            "/* op=a,ttl=1 */ x",
            "/* op=a," + call + " */ x",
            "/* op=a,ttl=-1," + call + " */ x",
            "/* op=a,ttl=1e3," + call + " */ x",
            "/* op=a,ttl=1,call=9b1f */ x",
            "/* op=a,ttl=1,work=NaN," + call + " */ x",
            "/* op=a,ttl=1,space=," + call + " */ x",
            "/* op=a,ttl=1," + call + " */ ;",
            "-- op=a,ttl=1," + call)) {
      assertThrows(
          StatementScanner.InvalidStatementException.class,
          () -> StatementScanner.scan(invalid.getBytes(StandardCharsets.UTF_8)),
          invalid);
    }
  }

  @Test
  void dataSetIsThatOfTheFirstNumberedSchemaReadOrWritten()
      throws StatementScanner.InvalidStatementException {
    Object[][] cases = {
      {17, "SELECT day FROM sales_17.orders WHERE tag = '3f9c'"},
      {17, "select x from Sales_17 . orders"},
      {4, "INSERT INTO \"ops_4\".\"t\"\"x\" VALUES ('from a_9.b')"},
      {5, "UPDATE only a_5.t SET x = 'it''s from a_9.b'"},
      {6, "SELECT E'\\' from a_9.b', $$ from a_9.b $$, $q$ from a_9.b $ $q$ FROM a_6.t"},
      {7, "SELECT 1 -- from a_9.b\n /* from a_9.b /* nested */ from a_9.b */ FROM a_7.t"},
      {8, "SELECT x FROM staging.tmp s JOIN a_8.t ON s.i_9 = 1"},
      {3, "SELECT x FROM staging.tmp, a_3.t"},
      {2, "WITH w AS (SELECT * FROM db.mart_2.lines) SELECT * FROM w"},
      {1, "DELETE FROM a_1.t USING b_9.u"},
      {0, "select a.id, a_9.n from ops_0.events a"},
      {-1, "SELECT a_9.x, 'y' FROM orders a_9"},
      {-1, "SELECT 1"},
      {-1, "SELECT x FROM a_99999999999999999999.t"},
      {-1, "SELECT 'from a_9.b"},
    };
    for (Object[] testCase : cases) {
      assertEquals(
          ((Integer) testCase[0]).longValue(),
          StatementScanner.scan((FIELDS + testCase[1]).getBytes(StandardCharsets.UTF_8))
              .dataSetId(),
          testCase[1].toString());
    }
  }

  @Test
  void scannerTerminatesOnAnyText() {
    SplittableRandom random = new SplittableRandom(5);
    String[] tokens = {
      "'", "\"", "$", "$a$", "/*", "*/", "--", "\n", "from", "a_1.", ".", ",", "(", ")", "E'", "\\",
      " ", "é", "x"
    };
    for (int i = 0; i < 5000; i++) {
      StringBuilder text = new StringBuilder(FIELDS).append("s ");
      for (int j = random.nextInt(20); j >= 0; j--) {
        text.append(tokens[random.nextInt(tokens.length)]);
      }
      try {
        assertInstanceOf(
            Statement.class,
            StatementScanner.scan(text.toString().getBytes(StandardCharsets.UTF_8)));
      } catch (StatementScanner.InvalidStatementException e) {
        throw new AssertionError(text.toString(), e);
      }
    }
  }
}

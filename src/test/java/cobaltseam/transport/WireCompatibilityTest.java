package cobaltseam.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import cobaltseam.membership.PeerMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Messages and stored state as commit f2adcf2 wrote them, before its classes were renamed: this
 * build reads them and writes the same bytes.
 */
class WireCompatibilityTest {
  private static final int KINDS = 30;
  private final MessageCodec codec = new MessageCodec("rig", null, 0);

  static Map<String, PeerMessage> samples() {
    return WireSamples.messages();
  }

  static java.util.Set<String> kinds() {
    return samples().keySet();
  }

  @Test
  void everyKindOfMessageIsRecorded() {
    assertEquals(KINDS, samples().size());
    assertEquals(KINDS, samples().values().stream().map(Object::getClass).distinct().count());
  }

  @ParameterizedTest
  @MethodSource("kinds")
  void aRecordedMessageIsReadAndWrittenWithTheSameBytes(String kind) throws IOException {
    byte[] recorded = recorded(kind);
    assertArrayEquals(recorded, codec.write(samples().get(kind)), "written by this build");
    MessageCodec.DecodedMessage reading = codec.read(recorded);
    assertNull(reading.rejection());
    assertEquals(samples().get(kind).getClass(), reading.message().getClass());
    assertArrayEquals(recorded, codec.write(reading.message()), "read and written again");
  }

  @Test
  void recordedPersistentStateIsReadAndWrittenWithTheSameBytes() throws IOException {
    byte[] recorded = recorded("persistent-state");
    assertArrayEquals(recorded, PersistentStateCodec.write(WireSamples.persistentState()));
    assertArrayEquals(
        recorded, PersistentStateCodec.write(PersistentStateCodec.read(recorded).orElseThrow()));
  }

  private static byte[] recorded(String name) throws IOException {
    String file = "/cobaltseam/wire/" + name + ".hex";
    try (InputStream in = WireCompatibilityTest.class.getResourceAsStream(file)) {
      assertNotNull(in, file);
      String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      return HexFormat.of().parseHex(text.strip());
    }
  }
}

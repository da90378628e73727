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
 * Reads recorded messages and stored state, whose names are the original names of the message
 * classes, and writes the same bytes. Guards against a renamed class or record component that
 * changes the encoding.
 */
class WireCompatibilityTest {
  private static final int KIND_COUNT = 30;
  private final MessageCodec codec = new MessageCodec("rig", null, 0);

  static Map<String, PeerMessage> samples() {
    return WireSamples.messages();
  }

  static java.util.Set<String> kinds() {
    return samples().keySet();
  }

  @Test
  void everyKindOfMessageHasASample() {
    assertEquals(KIND_COUNT, samples().size());
    assertEquals(KIND_COUNT, samples().values().stream().map(Object::getClass).distinct().count());
  }

  @ParameterizedTest
  @MethodSource("kinds")
  void recordedMessageIsReadAndWrittenWithTheSameBytes(String kind) throws IOException {
    byte[] recorded = recorded(kind);
    assertArrayEquals(recorded, codec.write(samples().get(kind)), "sample written");
    MessageCodec.DecodedMessage decoded = codec.read(recorded);
    assertNull(decoded.rejection());
    assertEquals(samples().get(kind).getClass(), decoded.message().getClass());
    assertArrayEquals(
        recorded, codec.write(decoded.message()), "recorded message read and written again");
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

package cobaltseam.transport;

import cobaltseam.membership.PersistentState;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/**
 * The codec of what a member persists in its folder: CBOR (RFC 8949); unknown fields are ignored.
 */
public final class PersistentStateCodec {
  /** The name of the file in the folder. */
  public static final String FILE_NAME = "seat";

  /** The version of the format. */
  public static final int FORMAT = 1;

  private static final ObjectMapper MAPPER = MessageCodec.mapper();

  private PersistentStateCodec() {}

  /** The bytes of a state. */
  public static byte[] write(PersistentState kept) {
    try {
      return MAPPER.writeValueAsBytes(kept);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("all that is kept has bytes", e);
    }
  }

  /** Decodes a state; empty if the bytes are not one. */
  public static Optional<PersistentState> read(byte[] bytes) {
    try {
      return Optional.ofNullable(MAPPER.readValue(bytes, PersistentState.class));
    } catch (IOException | RuntimeException e) {
      return Optional.empty();
    }
  }
}

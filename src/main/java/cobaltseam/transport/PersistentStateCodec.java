package cobaltseam.transport;

import cobaltseam.membership.PersistentState;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/**
 * What a member keeps in its folder, as CBOR (RFC 8949); fields that are not known are passed over.
 */
public final class PersistentStateCodec {
  /** Of the folder's file. */
  public static final String FILE_NAME = "seat";

  public static final int FORMAT = 1;
  private static final ObjectMapper MAPPER = MessageCodec.mapper();

  private PersistentStateCodec() {}

  public static byte[] write(PersistentState kept) {
    try {
      return MAPPER.writeValueAsBytes(kept);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("all that is kept has bytes", e);
    }
  }

  /** Nothing, if the bytes are whole but not of this kind. */
  public static Optional<PersistentState> read(byte[] bytes) {
    try {
      return Optional.ofNullable(MAPPER.readValue(bytes, PersistentState.class));
    } catch (IOException | RuntimeException e) {
      return Optional.empty();
    }
  }
}

package cobaltseam.transport;

import cobaltseam.membership.PersistentState;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/**
 * Encodes and decodes the state that a member persists in its folder, as CBOR (RFC 8949). Unknown
 * fields are ignored.
 */
public final class PersistentStateCodec {
  /** The name of the state file in the folder. */
  public static final String FILE_NAME = "seat";

  /** The version of the format, which {@link cobaltseam.store.AtomicFile} stores with the bytes. */
  public static final int FORMAT = 1;

  private static final ObjectMapper MAPPER = MessageCodec.mapper();

  private PersistentStateCodec() {}

  /** Encodes a state. */
  public static byte[] write(PersistentState state) {
    try {
      return MAPPER.writeValueAsBytes(state);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("every persistent state must be encodable", e);
    }
  }

  /** Decodes a state; empty if the bytes are not a valid state. */
  public static Optional<PersistentState> read(byte[] bytes) {
    try {
      return Optional.ofNullable(MAPPER.readValue(bytes, PersistentState.class));
    } catch (IOException | RuntimeException e) {
      return Optional.empty();
    }
  }
}

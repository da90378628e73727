package cobaltseam.transport;

import cobaltseam.authentication.KeyRing;
import cobaltseam.authentication.MessageAuthenticator;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.PeerMessage;
import cobaltseam.vrrp.Addresses;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.AnnotationIntrospector;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;

/**
 * The codec of messages between members: CBOR (RFC 8949) of a version, the fleet's name, the kind
 * of message and its fields by name, followed by a trailer of {@link MessageAuthenticator} if there
 * are keys. Unknown fields are ignored, so that a later program may add some; a message of unknown
 * kind is rejected.
 */
public final class MessageCodec {
  /** A longer message is neither written nor read. */
  public static final int MAX_MESSAGE_BYTES = 1 << 14;

  private static final int VERSION = 1;

  /** Why a datagram is rejected. */
  public enum RejectionReason {
    TOO_LONG,
    UNSEALED,
    KEY_UNKNOWN,
    FORGED,
    MALFORMED,
    VERSION,
    OTHER_FLEET,
    KIND;

    /** The word for it in logs and in SHOW. */
    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /** The result of decoding: a message, or why the bytes are rejected. One of the two is null. */
  public record DecodedMessage(PeerMessage message, RejectionReason rejection) {}

  private final ObjectMapper mapper;
  private final String fleet;
  private final byte[] associatedData;
  private final KeyRing keys;
  private final int writeKey;
  private long sequence;

  /**
   * @param keys the keys of authentication, or null if messages are not authenticated
   * @param writeKey the id of the key to sign with
   */
  public MessageCodec(String fleet, KeyRing keys, int writeKey) {
    this.fleet = fleet;
    this.keys = keys;
    this.writeKey = writeKey;
    associatedData = fleet.getBytes(StandardCharsets.UTF_8);
    mapper = mapper();
  }

  /** CBOR of our records, fields by name. */
  static ObjectMapper mapper() {
    return CBORMapper.builder()
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(
            DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
            DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        .annotationIntrospector(
            AnnotationIntrospector.pair(new WireNames(), new JacksonAnnotationIntrospector()))
        .addModule(scalarTypes())
        .build();
  }

  /** Names, incarnations and addresses as one item each. */
  private static SimpleModule scalarTypes() {
    SimpleModule module = new SimpleModule();
    module.addKeyDeserializer(
        MemberName.class,
        new KeyDeserializer() {
          @Override
          public Object deserializeKey(String key, DeserializationContext context) {
            return new MemberName(key);
          }
        });
    add(module, MemberName.class, MemberName::value, MemberName::new);
    add(module, InetSocketAddress.class, MessageCodec::text, MessageCodec::address);
    module.addSerializer(
        Incarnation.class,
        new StdSerializer<>(Incarnation.class) {
          @Override
          public void serialize(Incarnation birth, JsonGenerator to, SerializerProvider provider)
              throws IOException {
            to.writeNumber(birth.value());
          }
        });
    module.addDeserializer(
        Incarnation.class,
        new StdDeserializer<>(Incarnation.class) {
          @Override
          public Incarnation deserialize(JsonParser from, DeserializationContext context)
              throws IOException {
            return new Incarnation(from.getLongValue());
          }
        });
    return module;
  }

  private static <T> void add(
      SimpleModule module, Class<T> type, Function<T, String> write, Function<String, T> read) {
    module.addSerializer(
        type,
        new StdSerializer<>(type) {
          @Override
          public void serialize(T value, JsonGenerator to, SerializerProvider provider)
              throws IOException {
            to.writeString(write.apply(value));
          }
        });
    module.addDeserializer(
        type,
        new StdDeserializer<>(type) {
          @Override
          public T deserialize(JsonParser from, DeserializationContext context) throws IOException {
            return read.apply(from.getText());
          }
        });
  }

  private static String text(InetSocketAddress address) {
    return Addresses.format(address.getAddress()) + "|" + address.getPort();
  }

  private static InetSocketAddress address(String text) {
    int bar = text.indexOf('|');
    Optional<InetAddress> host = Addresses.parse(text.substring(0, Math.max(0, bar)));
    return new InetSocketAddress(
        host.orElseThrow(() -> new IllegalArgumentException("not an address")),
        Integer.parseInt(text.substring(bar + 1)));
  }

  /** The bytes of a message; null if it is too long to be sent. */
  public byte[] write(PeerMessage message) {
    ObjectNode envelope = mapper.createObjectNode();
    envelope.put("v", VERSION).put("f", fleet).put("k", WireNames.kindOf(message));
    envelope.set("m", mapper.valueToTree(message));
    byte[] bytes;
    try {
      bytes = mapper.writeValueAsBytes(envelope);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("every message has bytes", e);
    }
    if (keys != null) {
      bytes = MessageAuthenticator.sign(bytes, associatedData, keys, writeKey, sequence++);
    }
    return bytes.length > MAX_MESSAGE_BYTES ? null : bytes;
  }

  /** Decodes a datagram; whatever it contains, this throws nothing. */
  public DecodedMessage read(byte[] bytes) {
    if (bytes.length > MAX_MESSAGE_BYTES) {
      return rejected(RejectionReason.TOO_LONG);
    }
    int length = bytes.length;
    if (keys != null) {
      length -= MessageAuthenticator.TRAILER_BYTES;
      if (!MessageAuthenticator.hasTrailer(bytes, length)) {
        return rejected(RejectionReason.UNSEALED);
      }
      Optional<MessageAuthenticator.Rejection> broken =
          MessageAuthenticator.verify(bytes, length, associatedData, keys);
      if (broken.isPresent()) {
        return rejected(
            broken.get() == MessageAuthenticator.Rejection.FORGED
                ? RejectionReason.FORGED
                : RejectionReason.KEY_UNKNOWN);
      }
    }
    try {
      JsonNode envelope = mapper.readTree(bytes, 0, length);
      if (envelope == null
          || !envelope.path("v").isInt()
          || envelope.path("v").asInt() != VERSION) {
        return rejected(
            envelope == null || !envelope.isObject()
                ? RejectionReason.MALFORMED
                : RejectionReason.VERSION);
      }
      if (!fleet.equals(envelope.path("f").asText())) {
        return rejected(RejectionReason.OTHER_FLEET);
      }
      Class<? extends PeerMessage> kind = WireNames.classOf(envelope.path("k").asText());
      if (kind == null) {
        return rejected(RejectionReason.KIND);
      }
      PeerMessage message = mapper.treeToValue(envelope.path("m"), kind);
      return message == null
          ? rejected(RejectionReason.MALFORMED)
          : new DecodedMessage(message, null);
    } catch (IOException | RuntimeException e) {
      // The parser may throw anything on hostile bytes; they are malformed then.
      return rejected(RejectionReason.MALFORMED);
    }
  }

  private static DecodedMessage rejected(RejectionReason reason) {
    return new DecodedMessage(null, reason);
  }
}

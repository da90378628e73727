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
 * Encodes and decodes messages between members. A message is CBOR (RFC 8949) with a version, the
 * name of the fleet, the kind of message and its fields by name, followed by a trailer of {@link
 * MessageAuthenticator} if there are keys. Unknown fields are ignored, so that a later release may
 * add fields; a message of an unknown kind is rejected.
 */
public final class MessageCodec {
  /** The longest message that is encoded or decoded, with its trailer, in bytes. */
  public static final int MAX_MESSAGE_BYTES = 1 << 14;

  private static final int VERSION = 1;

  /** Why a datagram is rejected. */
  public enum RejectionReason {
    /** The datagram is longer than {@link #MAX_MESSAGE_BYTES}. */
    TOO_LONG,
    /** The message has no authentication trailer, but this fleet has keys. */
    UNSEALED,
    /** The key ring has no key with the id in the trailer. */
    KEY_UNKNOWN,
    /** The HMAC in the trailer does not match. */
    FORGED,
    /** The bytes are not a valid message. */
    MALFORMED,
    /** The message has another version, or none. */
    VERSION,
    /** The message belongs to another fleet. */
    OTHER_FLEET,
    /** The kind of message is unknown. */
    KIND;

    /** The label of the reason in logs and in SHOW. */
    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /** The result of decoding: a message, or why the bytes are rejected; the other one is null. */
  public record DecodedMessage(PeerMessage message, RejectionReason rejection) {}

  private final ObjectMapper mapper;
  private final String fleet;
  private final byte[] associatedData;
  private final KeyRing keys;
  private final int signingKeyId;
  private long sequence;

  /**
   * @param fleet the name of the fleet
   * @param keys the keys for authentication, or null if messages are not authenticated
   * @param signingKeyId the id of the key to sign with
   */
  public MessageCodec(String fleet, KeyRing keys, int signingKeyId) {
    this.fleet = fleet;
    this.keys = keys;
    this.signingKeyId = signingKeyId;
    associatedData = fleet.getBytes(StandardCharsets.UTF_8);
    mapper = mapper();
  }

  /** A mapper between records and CBOR with the field names of {@link WireNames}. */
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

  /** Encodes each member name, incarnation and address as a single CBOR item. */
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
    addTextType(module, MemberName.class, MemberName::value, MemberName::new);
    addTextType(
        module, InetSocketAddress.class, MessageCodec::formatAddress, MessageCodec::parseAddress);
    module.addSerializer(
        Incarnation.class,
        new StdSerializer<>(Incarnation.class) {
          @Override
          public void serialize(
              Incarnation value, JsonGenerator generator, SerializerProvider provider)
              throws IOException {
            generator.writeNumber(value.value());
          }
        });
    module.addDeserializer(
        Incarnation.class,
        new StdDeserializer<>(Incarnation.class) {
          @Override
          public Incarnation deserialize(JsonParser parser, DeserializationContext context)
              throws IOException {
            return new Incarnation(parser.getLongValue());
          }
        });
    return module;
  }

  /** Registers a type that is encoded as a text item. */
  private static <T> void addTextType(
      SimpleModule module, Class<T> type, Function<T, String> format, Function<String, T> parse) {
    module.addSerializer(
        type,
        new StdSerializer<>(type) {
          @Override
          public void serialize(T value, JsonGenerator generator, SerializerProvider provider)
              throws IOException {
            generator.writeString(format.apply(value));
          }
        });
    module.addDeserializer(
        type,
        new StdDeserializer<>(type) {
          @Override
          public T deserialize(JsonParser parser, DeserializationContext context)
              throws IOException {
            return parse.apply(parser.getText());
          }
        });
  }

  /** Formats an address as the host address and the port, separated by a vertical bar. */
  private static String formatAddress(InetSocketAddress address) {
    return Addresses.format(address.getAddress()) + "|" + address.getPort();
  }

  private static InetSocketAddress parseAddress(String text) {
    int separator = text.indexOf('|');
    Optional<InetAddress> host = Addresses.parse(text.substring(0, Math.max(0, separator)));
    return new InetSocketAddress(
        host.orElseThrow(
            () -> new IllegalArgumentException("the text is not an address with a port")),
        Integer.parseInt(text.substring(separator + 1)));
  }

  /** Encodes a message, and signs it if there are keys; returns null if it is too long to send. */
  public byte[] write(PeerMessage message) {
    ObjectNode envelope = mapper.createObjectNode();
    envelope.put("v", VERSION).put("f", fleet).put("k", WireNames.kindOf(message));
    envelope.set("m", mapper.valueToTree(message));
    byte[] bytes;
    try {
      bytes = mapper.writeValueAsBytes(envelope);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("every message must be encodable", e);
    }
    if (keys != null) {
      bytes = MessageAuthenticator.sign(bytes, associatedData, keys, signingKeyId, sequence++);
    }
    return bytes.length > MAX_MESSAGE_BYTES ? null : bytes;
  }

  /** Decodes a datagram. No exception is thrown, whatever bytes it contains. */
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
      Optional<MessageAuthenticator.Rejection> trailerRejection =
          MessageAuthenticator.verify(bytes, length, associatedData, keys);
      if (trailerRejection.isPresent()) {
        return rejected(
            trailerRejection.get() == MessageAuthenticator.Rejection.FORGED
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
      // The parser may throw any exception on hostile bytes; the message is malformed then.
      return rejected(RejectionReason.MALFORMED);
    }
  }

  private static DecodedMessage rejected(RejectionReason reason) {
    return new DecodedMessage(null, reason);
  }
}

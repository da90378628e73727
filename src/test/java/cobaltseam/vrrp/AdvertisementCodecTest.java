package cobaltseam.vrrp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.authentication.KeyRing;
import cobaltseam.authentication.MessageAuthenticator;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The wire format of advertisements. The expected bytes were computed by hand from RFC 9568. */
class AdvertisementCodecTest {
  private static final InetAddress SOURCE_IPV4 = ip("192.0.2.1");
  private static final InetAddress DESTINATION_IPV4 = ip("224.0.0.18");
  private static final InetAddress SOURCE_IPV6 = ip("fe80::1");
  private static final InetAddress DESTINATION_IPV6 = ip("ff02::12");
  private static final KeyRing KEYS =
      KeyRing.parse("1 00112233445566778899aabbccddeeff\n# next\n2 " + "ab".repeat(32));

  private static InetAddress ip(String text) {
    return Addresses.parse(text).orElseThrow();
  }

  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text.replace(" ", ""));
  }

  private static RejectionReason rejectionOf(byte[] bytes) {
    return ((DecodeResult.Rejected) AdvertisementCodec.decode(bytes, SOURCE_IPV4, DESTINATION_IPV4))
        .reason();
  }

  @Test
  void encodesAndDecodesKnownIpv4BytesWithEitherChecksumCoverage() {
    Advertisement advertisement = new Advertisement(51, 100, 100, List.of(ip("192.0.2.10")));
    byte[] message = hex("31 33 64 01 00 64 a8 5c c0 00 02 0a");
    byte[] withPseudoHeader = hex("31 33 64 01 00 64 05 cc c0 00 02 0a");
    assertArrayEquals(
        message,
        AdvertisementCodec.encode(
            advertisement, SOURCE_IPV4, DESTINATION_IPV4, ChecksumCoverage.MESSAGE));
    assertArrayEquals(
        withPseudoHeader,
        AdvertisementCodec.encode(
            advertisement, SOURCE_IPV4, DESTINATION_IPV4, ChecksumCoverage.PSEUDO_HEADER));
    assertEquals(
        new DecodeResult.Decoded(advertisement, ChecksumCoverage.MESSAGE, 12, false),
        AdvertisementCodec.decode(message, SOURCE_IPV4, DESTINATION_IPV4));
    assertEquals(
        new DecodeResult.Decoded(advertisement, ChecksumCoverage.PSEUDO_HEADER, 12, false),
        AdvertisementCodec.decode(withPseudoHeader, SOURCE_IPV4, DESTINATION_IPV4));
  }

  @Test
  void knownIpv6ChecksumCoversPseudoHeader() {
    Advertisement advertisement = new Advertisement(1, 200, 4095, List.of(ip("fe80::a")));
    byte[] known = hex("31 01 c8 01 0f ff fa 53 fe80 0000 0000 0000 0000 0000 0000 000a");
    assertArrayEquals(
        known,
        AdvertisementCodec.encode(
            advertisement, SOURCE_IPV6, DESTINATION_IPV6, ChecksumCoverage.MESSAGE));
    assertEquals(
        new DecodeResult.Decoded(advertisement, ChecksumCoverage.PSEUDO_HEADER, 24, false),
        AdvertisementCodec.decode(known, SOURCE_IPV6, DESTINATION_IPV6));
    assertEquals(
        new DecodeResult.Rejected(RejectionReason.CHECKSUM),
        AdvertisementCodec.decode(known, SOURCE_IPV6, SOURCE_IPV6));
  }

  @Test
  void invalidAdvertisementsAreRejectedWithReason() {
    assertEquals(RejectionReason.TOO_SHORT, rejectionOf(new byte[7]));
    assertEquals(RejectionReason.VERSION, rejectionOf(hex("21 33 64 01 00 64 a8 5c c0 00 02 0a")));
    assertEquals(RejectionReason.VERSION, rejectionOf(hex("f1 33 64 01 00 64 a8 5c c0 00 02 0a")));
    assertEquals(RejectionReason.TYPE, rejectionOf(hex("32 33 64 01 00 64 a8 5c c0 00 02 0a")));
    assertEquals(RejectionReason.NO_ADDRESS, rejectionOf(hex("31 33 64 00 00 64 6a 68")));
    assertEquals(RejectionReason.LENGTH, rejectionOf(hex("31 33 64 02 00 64 a8 5b c0 00 02 0a")));
    assertEquals(
        RejectionReason.LENGTH, rejectionOf(hex("31 33 64 01 00 64 a8 5c c0 00 02 0a 00 00")));
    assertEquals(RejectionReason.CHECKSUM, rejectionOf(hex("31 33 64 01 00 64 a8 5d c0 00 02 0a")));
    assertEquals(
        RejectionReason.ROUTER_ZERO, rejectionOf(hex("31 00 64 01 00 64 a8 8f c0 00 02 0a")));
    assertEquals(
        RejectionReason.INTERVAL_ZERO, rejectionOf(hex("31 33 64 01 00 00 a8 c0 c0 00 02 0a")));
    assertEquals(
        new DecodeResult.Rejected(RejectionReason.FAMILY),
        AdvertisementCodec.decode(
            hex("31 33 64 01 00 64 a8 5c c0 00 02 0a"), SOURCE_IPV4, DESTINATION_IPV6));
  }

  @Test
  void reservedBitsAreIgnoredAndBoundsAreChecked() {
    DecodeResult.Decoded decoded =
        (DecodeResult.Decoded)
            AdvertisementCodec.decode(
                hex("31 33 64 01 f0 64 b8 5b c0 00 02 0a"), SOURCE_IPV4, DESTINATION_IPV4);
    assertEquals(100, decoded.advertisement().maxAdvertiseIntervalCentiseconds());
    InetAddress[] maxAddresses = new InetAddress[255];
    Arrays.fill(maxAddresses, ip("192.0.2.10"));
    Advertisement maximum = new Advertisement(255, 255, 4095, List.of(maxAddresses));
    assertEquals(
        maximum,
        ((DecodeResult.Decoded)
                AdvertisementCodec.decode(
                    AdvertisementCodec.encode(
                        maximum, SOURCE_IPV4, DESTINATION_IPV4, ChecksumCoverage.MESSAGE),
                    SOURCE_IPV4,
                    DESTINATION_IPV4))
            .advertisement());
    assertThrows(
        IllegalArgumentException.class, () -> new Advertisement(0, 1, 1, List.of(SOURCE_IPV4)));
    assertThrows(
        IllegalArgumentException.class, () -> new Advertisement(1, 256, 1, List.of(SOURCE_IPV4)));
    assertThrows(
        IllegalArgumentException.class, () -> new Advertisement(1, 1, 4096, List.of(SOURCE_IPV4)));
    assertThrows(IllegalArgumentException.class, () -> new Advertisement(1, 1, 1, List.of()));
    assertThrows(
        IllegalArgumentException.class,
        () -> new Advertisement(1, 1, 1, List.of(SOURCE_IPV4, SOURCE_IPV6)));
  }

  /**
   * Decodes valid advertisements with changed, missing and added bytes, and random bytes. No input
   * may throw an exception, and each of the listed reasons must occur.
   */
  @Test
  void decodesOrRejectsAnyBytes() {
    SplittableRandom random = new SplittableRandom(9568);
    byte[] plain =
        AdvertisementCodec.encode(
            new Advertisement(7, 100, 10, List.of(ip("192.0.2.10"), ip("192.0.2.11"))),
            SOURCE_IPV4,
            DESTINATION_IPV4,
            ChecksumCoverage.MESSAGE);
    byte[] signed =
        AdvertisementAuthenticator.sign(plain, SOURCE_IPV4, DESTINATION_IPV4, KEYS, 2, 42);
    Set<RejectionReason> reasons = EnumSet.noneOf(RejectionReason.class);
    int decodedCount = 0;
    for (int i = 0; i < 1_000_000; i++) {
      byte[] bytes = Arrays.copyOf(random.nextBoolean() ? plain : signed, random.nextInt(80));
      for (int changes = random.nextInt(3); changes > 0 && bytes.length > 0; changes--) {
        bytes[random.nextInt(Math.min(bytes.length, 10))] ^= (byte) (1 << random.nextInt(8));
      }
      if (i % 4 == 0) {
        random.nextBytes(bytes);
      }
      if (AdvertisementCodec.decode(bytes, SOURCE_IPV4, DESTINATION_IPV4)
          instanceof DecodeResult.Rejected rejected) {
        reasons.add(rejected.reason());
      } else {
        decodedCount++;
      }
    }
    assertTrue(decodedCount > 0);
    assertTrue(
        reasons.containsAll(
            Set.of(
                RejectionReason.TOO_SHORT,
                RejectionReason.VERSION,
                RejectionReason.TYPE,
                RejectionReason.NO_ADDRESS,
                RejectionReason.LENGTH,
                RejectionReason.CHECKSUM)),
        reasons.toString());
  }

  @Test
  void trailerIsValidOnlyForItsMessageAddressesAndKey() {
    byte[] plain =
        AdvertisementCodec.encode(
            new Advertisement(7, 100, 10, List.of(SOURCE_IPV4)),
            SOURCE_IPV4,
            DESTINATION_IPV4,
            ChecksumCoverage.MESSAGE);
    byte[] signed =
        AdvertisementAuthenticator.sign(plain, SOURCE_IPV4, DESTINATION_IPV4, KEYS, 2, 42);
    DecodeResult.Decoded decoded =
        (DecodeResult.Decoded) AdvertisementCodec.decode(signed, SOURCE_IPV4, DESTINATION_IPV4);
    assertTrue(decoded.hasTrailer());
    assertEquals(
        new MessageAuthenticator.Trailer(2, 42),
        MessageAuthenticator.readTrailer(signed, decoded.length()));
    assertTrue(
        AdvertisementAuthenticator.verify(
                signed, decoded.length(), SOURCE_IPV4, DESTINATION_IPV4, KEYS)
            .isEmpty());
    assertEquals(
        RejectionReason.FORGED,
        AdvertisementAuthenticator.verify(signed, decoded.length(), SOURCE_IPV4, SOURCE_IPV4, KEYS)
            .orElseThrow());
    assertEquals(
        RejectionReason.KEY_UNKNOWN,
        AdvertisementAuthenticator.verify(
                signed,
                decoded.length(),
                SOURCE_IPV4,
                DESTINATION_IPV4,
                KeyRing.parse("1 " + "ab".repeat(32)))
            .orElseThrow());
    for (int i = 0; i < signed.length; i++) {
      byte[] changed = signed.clone();
      changed[i] ^= 1;
      DecodeResult result = AdvertisementCodec.decode(changed, SOURCE_IPV4, DESTINATION_IPV4);
      assertTrue(
          result instanceof DecodeResult.Rejected
              || AdvertisementAuthenticator.verify(
                      changed, decoded.length(), SOURCE_IPV4, DESTINATION_IPV4, KEYS)
                  .isPresent(),
          "byte " + i);
    }
  }

  @Test
  void rejectsInvalidKeyFilesWithoutRevealingKeys() {
    for (String invalid :
        List.of(
            "",
            "1 00",
            "0 " + "ab".repeat(16),
            "256 " + "ab".repeat(16),
            "1 " + "xy".repeat(16),
            "1 " + "ab".repeat(16) + "\n1 " + "cd".repeat(16))) {
      String message =
          assertThrows(IllegalArgumentException.class, () -> KeyRing.parse(invalid)).getMessage();
      assertTrue(!message.contains("abab") && !message.contains("xyxy"), message);
    }
  }

  @Test
  void parsesAndFormatsAddressesWithoutNameLookups() {
    assertEquals("2001:db8::1", Addresses.format(ip("2001:DB8:0:0:0:0:0:1")));
    assertEquals("2001:db8:0:1:1:1:1:1", Addresses.format(ip("2001:db8:0:1:1:1:1:1")));
    assertEquals("::", Addresses.format(ip("::")));
    assertEquals("1::", Addresses.format(ip("1:0:0:0:0:0:0:0")));
    assertEquals("::ffff:c000:201", Addresses.format(ip("::ffff:192.0.2.1")));
    for (String invalid :
        List.of("localhost", "127.1", "256.0.0.1", "01.2.3.4", "fe80::1%lo", "1:2:3", "", "::g")) {
      assertTrue(Addresses.parse(invalid).isEmpty(), invalid);
    }
    assertTrue(Addresses.compare(ip("10.0.0.200"), ip("10.0.0.3")) > 0);
  }
}

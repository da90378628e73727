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

/** Advertisements as bytes; the known ones were computed by hand from RFC 9568. */
class AdvertisementCodecTest {
  private static final InetAddress FROM = ip("192.0.2.1");
  private static final InetAddress TO = ip("224.0.0.18");
  private static final InetAddress FROM6 = ip("fe80::1");
  private static final InetAddress TO6 = ip("ff02::12");
  private static final KeyRing KEYS =
      KeyRing.parse("1 00112233445566778899aabbccddeeff\n# next\n2 " + "ab".repeat(32));

  private static InetAddress ip(String text) {
    return Addresses.parse(text).orElseThrow();
  }

  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text.replace(" ", ""));
  }

  private static RejectionReason rejectionOf(byte[] bytes) {
    return ((DecodeResult.Rejected) AdvertisementCodec.decode(bytes, FROM, TO)).reason();
  }

  @Test
  void knownIpv4BytesWithEitherChecksum() {
    Advertisement advert = new Advertisement(51, 100, 100, List.of(ip("192.0.2.10")));
    byte[] message = hex("31 33 64 01 00 64 a8 5c c0 00 02 0a");
    byte[] pseudo = hex("31 33 64 01 00 64 05 cc c0 00 02 0a");
    assertArrayEquals(
        message, AdvertisementCodec.encode(advert, FROM, TO, ChecksumCoverage.MESSAGE));
    assertArrayEquals(
        pseudo, AdvertisementCodec.encode(advert, FROM, TO, ChecksumCoverage.PSEUDO_HEADER));
    assertEquals(
        new DecodeResult.Decoded(advert, ChecksumCoverage.MESSAGE, 12, false),
        AdvertisementCodec.decode(message, FROM, TO));
    assertEquals(
        new DecodeResult.Decoded(advert, ChecksumCoverage.PSEUDO_HEADER, 12, false),
        AdvertisementCodec.decode(pseudo, FROM, TO));
  }

  @Test
  void knownIpv6BytesNeedThePseudoHeader() {
    Advertisement advert = new Advertisement(1, 200, 4095, List.of(ip("fe80::a")));
    byte[] known = hex("31 01 c8 01 0f ff fa 53 fe80 0000 0000 0000 0000 0000 0000 000a");
    assertArrayEquals(
        known, AdvertisementCodec.encode(advert, FROM6, TO6, ChecksumCoverage.MESSAGE));
    assertEquals(
        new DecodeResult.Decoded(advert, ChecksumCoverage.PSEUDO_HEADER, 24, false),
        AdvertisementCodec.decode(known, FROM6, TO6));
    assertEquals(
        new DecodeResult.Rejected(RejectionReason.CHECKSUM),
        AdvertisementCodec.decode(known, FROM6, FROM6));
  }

  @Test
  void eachInvalidAdvertisementHasItsOwnReason() {
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
        AdvertisementCodec.decode(hex("31 33 64 01 00 64 a8 5c c0 00 02 0a"), FROM, TO6));
  }

  @Test
  void reservedBitsAreIgnoredAndBoundsAreChecked() {
    DecodeResult.Decoded read =
        (DecodeResult.Decoded)
            AdvertisementCodec.decode(hex("31 33 64 01 f0 64 b8 5b c0 00 02 0a"), FROM, TO);
    assertEquals(100, read.advertisement().maxAdvertiseIntervalCentiseconds());
    InetAddress[] most = new InetAddress[255];
    Arrays.fill(most, ip("192.0.2.10"));
    Advertisement full = new Advertisement(255, 255, 4095, List.of(most));
    assertEquals(
        full,
        ((DecodeResult.Decoded)
                AdvertisementCodec.decode(
                    AdvertisementCodec.encode(full, FROM, TO, ChecksumCoverage.MESSAGE), FROM, TO))
            .advertisement());
    assertThrows(IllegalArgumentException.class, () -> new Advertisement(0, 1, 1, List.of(FROM)));
    assertThrows(IllegalArgumentException.class, () -> new Advertisement(1, 256, 1, List.of(FROM)));
    assertThrows(
        IllegalArgumentException.class, () -> new Advertisement(1, 1, 4096, List.of(FROM)));
    assertThrows(IllegalArgumentException.class, () -> new Advertisement(1, 1, 1, List.of()));
    assertThrows(
        IllegalArgumentException.class, () -> new Advertisement(1, 1, 1, List.of(FROM, FROM6)));
  }

  /**
   * Valid advertisements with changed, missing and added bytes, and random bytes: never an
   * exception, and all reasons occur.
   */
  @Test
  void anyBytesAreDecodedOrRejected() {
    SplittableRandom chance = new SplittableRandom(9568);
    byte[] plain =
        AdvertisementCodec.encode(
            new Advertisement(7, 100, 10, List.of(ip("192.0.2.10"), ip("192.0.2.11"))),
            FROM,
            TO,
            ChecksumCoverage.MESSAGE);
    byte[] signed = AdvertisementAuthenticator.sign(plain, FROM, TO, KEYS, 2, 42);
    Set<RejectionReason> seen = EnumSet.noneOf(RejectionReason.class);
    int read = 0;
    for (int i = 0; i < 1_000_000; i++) {
      byte[] bytes = Arrays.copyOf(chance.nextBoolean() ? plain : signed, chance.nextInt(80));
      for (int changes = chance.nextInt(3); changes > 0 && bytes.length > 0; changes--) {
        bytes[chance.nextInt(Math.min(bytes.length, 10))] ^= (byte) (1 << chance.nextInt(8));
      }
      if (i % 4 == 0) {
        chance.nextBytes(bytes);
      }
      if (AdvertisementCodec.decode(bytes, FROM, TO) instanceof DecodeResult.Rejected no) {
        seen.add(no.reason());
      } else {
        read++;
      }
    }
    assertTrue(read > 0);
    assertTrue(
        seen.containsAll(
            Set.of(
                RejectionReason.TOO_SHORT,
                RejectionReason.VERSION,
                RejectionReason.TYPE,
                RejectionReason.NO_ADDRESS,
                RejectionReason.LENGTH,
                RejectionReason.CHECKSUM)),
        seen.toString());
  }

  @Test
  void aTrailerIsValidOnlyForItsBytesAddressesAndKeys() {
    byte[] plain =
        AdvertisementCodec.encode(
            new Advertisement(7, 100, 10, List.of(FROM)), FROM, TO, ChecksumCoverage.MESSAGE);
    byte[] signed = AdvertisementAuthenticator.sign(plain, FROM, TO, KEYS, 2, 42);
    DecodeResult.Decoded read = (DecodeResult.Decoded) AdvertisementCodec.decode(signed, FROM, TO);
    assertTrue(read.hasTrailer());
    assertEquals(
        new MessageAuthenticator.Trailer(2, 42),
        MessageAuthenticator.readTrailer(signed, read.length()));
    assertTrue(AdvertisementAuthenticator.verify(signed, read.length(), FROM, TO, KEYS).isEmpty());
    assertEquals(
        RejectionReason.FORGED,
        AdvertisementAuthenticator.verify(signed, read.length(), FROM, FROM, KEYS).orElseThrow());
    assertEquals(
        RejectionReason.KEY_UNKNOWN,
        AdvertisementAuthenticator.verify(
                signed, read.length(), FROM, TO, KeyRing.parse("1 " + "ab".repeat(32)))
            .orElseThrow());
    for (int i = 0; i < signed.length; i++) {
      byte[] changed = signed.clone();
      changed[i] ^= 1;
      DecodeResult now = AdvertisementCodec.decode(changed, FROM, TO);
      assertTrue(
          now instanceof DecodeResult.Rejected
              || AdvertisementAuthenticator.verify(changed, read.length(), FROM, TO, KEYS)
                  .isPresent(),
          "byte " + i);
    }
  }

  @Test
  void invalidKeyFilesAreRejectedWithoutShowingKeys() {
    for (String bad :
        List.of(
            "",
            "1 00",
            "0 " + "ab".repeat(16),
            "256 " + "ab".repeat(16),
            "1 " + "xy".repeat(16),
            "1 " + "ab".repeat(16) + "\n1 " + "cd".repeat(16))) {
      String why =
          assertThrows(IllegalArgumentException.class, () -> KeyRing.parse(bad)).getMessage();
      assertTrue(!why.contains("abab") && !why.contains("xyxy"), why);
    }
  }

  @Test
  void addressesAreParsedAndFormattedWithoutLookups() {
    assertEquals("2001:db8::1", Addresses.format(ip("2001:DB8:0:0:0:0:0:1")));
    assertEquals("2001:db8:0:1:1:1:1:1", Addresses.format(ip("2001:db8:0:1:1:1:1:1")));
    assertEquals("::", Addresses.format(ip("::")));
    assertEquals("1::", Addresses.format(ip("1:0:0:0:0:0:0:0")));
    assertEquals("::ffff:c000:201", Addresses.format(ip("::ffff:192.0.2.1")));
    for (String bad :
        List.of("localhost", "127.1", "256.0.0.1", "01.2.3.4", "fe80::1%lo", "1:2:3", "", "::g")) {
      assertTrue(Addresses.parse(bad).isEmpty(), bad);
    }
    assertTrue(Addresses.compare(ip("10.0.0.200"), ip("10.0.0.3")) > 0);
  }
}

package cobaltseam.vrrp;

/** The result of decoding a datagram. */
public sealed interface DecodeResult {
  /** What the checksum of an advertisement covers. */
  enum ChecksumCoverage {
    MESSAGE,
    PSEUDO_HEADER
  }

  /**
   * A valid advertisement.
   *
   * @param length the bytes of the advertisement itself
   * @param hasTrailer whether an authentication trailer follows, which is not verified yet
   */
  record Decoded(
      Advertisement advertisement, ChecksumCoverage coverage, int length, boolean hasTrailer)
      implements DecodeResult {}

  /** Not a valid advertisement. */
  record Rejected(RejectionReason reason) implements DecodeResult {}
}

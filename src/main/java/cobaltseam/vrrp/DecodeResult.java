package cobaltseam.vrrp;

/** The result of decoding a datagram as an advertisement. */
public sealed interface DecodeResult {
  /** What the checksum of an advertisement covers. */
  enum ChecksumCoverage {
    /** The VRRP message only. */
    MESSAGE,
    /** The VRRP message and the pseudo-header. */
    PSEUDO_HEADER
  }

  /**
   * A valid advertisement.
   *
   * @param length the number of bytes of the advertisement without the trailer
   * @param hasTrailer whether an authentication trailer follows; it is not verified yet
   */
  record Decoded(
      Advertisement advertisement, ChecksumCoverage coverage, int length, boolean hasTrailer)
      implements DecodeResult {}

  /** The datagram is not a valid advertisement. */
  record Rejected(RejectionReason reason) implements DecodeResult {}
}

package cobaltseam.vrrp;

/** What a datagram turned out to be. */
public sealed interface DecodeResult {
  /** What its checksum was found to cover. */
  enum ChecksumCoverage {
    MESSAGE,
    PSEUDO_HEADER
  }

  /**
   * A whole advertisement; {@code length} bytes are its own, and a seal follows where there are
   * more.
   */
  record Decoded(
      Advertisement advertisement, ChecksumCoverage coverage, int length, boolean hasTrailer)
      implements DecodeResult {}

  /** Not one, and why. */
  record Rejected(RejectionReason reason) implements DecodeResult {}
}

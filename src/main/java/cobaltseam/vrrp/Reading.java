package cobaltseam.vrrp;

/** What a datagram turned out to be. */
public sealed interface Reading {
  /** What its checksum was found to cover. */
  enum Covers {
    MESSAGE,
    PSEUDO_HEADER
  }

  /**
   * A whole advertisement; {@code length} bytes are its own, and a seal follows where there are
   * more.
   */
  record Whole(Advert advert, Covers covers, int length, boolean sealed) implements Reading {}

  /** Not one, and why. */
  record Refused(Refusal refusal) implements Reading {}
}

package cobaltseam.vrrp;

import java.util.Locale;

/** Why a datagram is not accepted as an advertisement. */
public enum RejectionReason {
  TOO_SHORT("it is shorter than a header of 8 bytes"),
  VERSION("its version is not 3"),
  TYPE("its type is not 1, an advertisement"),
  NO_ADDRESS("it names no address"),
  LENGTH("its length is not that of its addresses, nor that with a seal"),
  FAMILY("its source and destination are not of one family"),
  CHECKSUM("its checksum is wrong"),
  ROUTER_ZERO("its virtual router id is 0"),
  INTERVAL_ZERO("its interval is 0"),
  UNKNOWN_SENDER("its sender is not among the peers"),
  UNKNOWN_ROUTER("its virtual router is not one of ours"),
  ADDRESSES_DIFFER("its addresses are not those of our virtual router"),
  INTERVAL_DIFFERS("its interval is not ours"),
  OUR_OWN("it says what only we could have sent"),
  UNSEALED("it has no seal and needs one"),
  KEY_UNKNOWN("its seal names a key that we don't have"),
  FORGED("its seal is wrong"),
  REPLAYED("its sequence is not above the last one"),
  STALE("it was sent too long ago, or before we started"),
  EARLY("it was sent later than now"),
  TOO_MANY("too many are waiting to be heard");

  private final String explanation;

  RejectionReason(String explanation) {
    this.explanation = explanation;
  }

  /** The reason as a clause in English. */
  public String explanation() {
    return explanation;
  }

  /** The name in counters, SHOW rows and log events. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

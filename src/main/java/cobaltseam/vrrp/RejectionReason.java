package cobaltseam.vrrp;

import java.util.Locale;

/** Why a datagram is not accepted as an advertisement. */
public enum RejectionReason {
  TOO_SHORT("the datagram is shorter than the 8-byte header"),
  VERSION("the version is not 3"),
  TYPE("the type is not 1 (ADVERTISEMENT)"),
  NO_ADDRESS("the number of addresses is 0"),
  LENGTH("the length does not match the number of addresses"),
  FAMILY("source and destination are of different address families"),
  CHECKSUM("the checksum is wrong"),
  ROUTER_ZERO("the virtual router ID is 0"),
  INTERVAL_ZERO("the advertisement interval is 0"),
  UNKNOWN_SENDER("the sender is not a configured peer"),
  UNKNOWN_ROUTER("the virtual router is not configured on this dispatcher"),
  ADDRESSES_DIFFER("the addresses differ from those configured for the virtual router"),
  INTERVAL_DIFFERS("the advertisement interval differs from the configured one"),
  OUR_OWN("the source address is that of this dispatcher"),
  UNSEALED("the authentication trailer is missing"),
  KEY_UNKNOWN("the key of the authentication trailer is unknown"),
  FORGED("the authentication trailer is invalid"),
  REPLAYED("the sequence is not above the last accepted one"),
  STALE("the datagram was sent too long ago or before this process started"),
  EARLY("the send time is ahead of the clock of this dispatcher"),
  TOO_MANY("too many datagrams are queued");

  private final String explanation;

  RejectionReason(String explanation) {
    this.explanation = explanation;
  }

  /** A description for log messages and command output. */
  public String explanation() {
    return explanation;
  }

  /** The name in counters, in SHOW rows and in log events. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

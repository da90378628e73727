package cobaltseam.mastership;

import java.util.Locale;

/** Why a virtual router last changed its role. */
public enum TransitionReason {
  /** The process started. */
  STARTED,
  /** The router is the address owner. */
  OWNER,
  /** No advertisement was received for the active down interval. */
  NONE_HEARD,
  /** The active router resigned. */
  RESIGNED_TO,
  /** An active peer advertised a higher priority. */
  HIGHER_HEARD,
  /** An active peer advertised the same priority from a higher address. */
  ADDRESS_HIGHER,
  /** This process was suspended for so long that a peer may have become active. */
  FENCED,
  /** The service address could not be opened. */
  UNABLE,
  /** The process is ending. */
  ENDED,
  /** An internal error ended the protocol on this dispatcher. */
  FAULT,
  /** The router is no longer configured. */
  REMOVED;

  /** The name in log events and in SHOW rows. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

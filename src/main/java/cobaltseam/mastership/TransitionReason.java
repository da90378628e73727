package cobaltseam.mastership;

import java.util.Locale;

/** Why a virtual router last changed its role. */
public enum TransitionReason {
  /** The process has started. */
  STARTED,
  /** It owns the addresses. */
  OWNER,
  /** No advertisement was received for the active down interval. */
  NONE_HEARD,
  /** The active router has resigned. */
  RESIGNED_TO,
  /** A peer advertised a higher priority. */
  HIGHER_HEARD,
  /** A peer advertised the same priority from a higher address. */
  ADDRESS_HIGHER,
  /** This process did not run for so long that a peer may have become active. */
  FENCED,
  /** The service address could not be opened. */
  UNABLE,
  /** The process is ending. */
  ENDED,
  /** A fault ended mastership. */
  FAULT,
  /** The router is no longer configured. */
  REMOVED;

  /** The name in log events and SHOW rows. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

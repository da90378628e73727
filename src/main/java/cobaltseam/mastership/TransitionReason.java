package cobaltseam.mastership;

import java.util.Locale;

/** Why a role was taken or left last. */
public enum TransitionReason {
  STARTED,
  OWNER,
  NONE_HEARD,
  RESIGNED_TO,
  HIGHER_HEARD,
  ADDRESS_HIGHER,
  FENCED,
  UNABLE,
  ENDED,
  FAULT,
  REMOVED;

  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

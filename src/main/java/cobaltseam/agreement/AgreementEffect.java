package cobaltseam.agreement;

import cobaltseam.membership.MembershipAction;
import java.net.InetSocketAddress;

/** What the agreement asks its caller to do. */
public sealed interface AgreementEffect {
  /** Send a message to an address; it may be lost. */
  record Send(InetSocketAddress to, AgreementMessage message) implements AgreementEffect {}

  /** Carry out an action of membership that follows from the agreement. */
  record MembershipEffect(MembershipAction action) implements AgreementEffect {}

  /** Act on this from now on, for all keys at once. */
  record Activate(ActiveConfiguration configuration) implements AgreementEffect {}

  /** Log an event. */
  record EventRecorded(AgreementEvent event, String detail) implements AgreementEffect {}

  /** What happened to a proposal or to the active configuration. */
  enum AgreementEvent {
    PROPOSED,
    REFUSED,
    CHOSEN,
    CAME_SECOND,
    NOT_CHOSEN,
    STEPPED_BACK;

    /** The word for it in logs and in SHOW. */
    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}

package cobaltseam.agreement;

import cobaltseam.membership.MembershipAction;
import java.net.InetSocketAddress;

/** What the agreement wants done. */
public sealed interface AgreementEffect {
  /** A datagram to an address; it may be lost. */
  record Send(InetSocketAddress to, AgreementMessage message) implements AgreementEffect {}

  /** What membership wants done because of it. */
  record MembershipEffect(MembershipAction action) implements AgreementEffect {}

  /** From now on the process acts on this, for all keys at once. */
  record Activate(ActiveConfiguration on) implements AgreementEffect {}

  /** Something for the log. */
  record EventRecorded(AgreementEvent event, String detail) implements AgreementEffect {}

  /** What is noted. */
  enum AgreementEvent {
    PROPOSED,
    REFUSED,
    CHOSEN,
    CAME_SECOND,
    NOT_CHOSEN,
    STEPPED_BACK;

    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}

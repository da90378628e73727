package cobaltseam.agreement;

import cobaltseam.membership.MembershipAction;
import java.net.InetSocketAddress;

/** An effect of the agreement, which its caller carries out. */
public sealed interface AgreementEffect {
  /** Sends a message to an address; it may be lost. */
  record Send(InetSocketAddress to, AgreementMessage message) implements AgreementEffect {}

  /** Carries out an action of membership that follows from a step of the agreement. */
  record MembershipEffect(MembershipAction action) implements AgreementEffect {}

  /** Makes a configuration take effect, for all keys at once. */
  record Activate(ActiveConfiguration configuration) implements AgreementEffect {}

  /** Logs an event. */
  record EventRecorded(AgreementEvent event, String detail) implements AgreementEffect {}

  /** An event in the course of a proposal, or of the active configuration. */
  enum AgreementEvent {
    /** This process began to propose a version. */
    PROPOSED,
    /** A member rejected the proposed version. */
    REFUSED,
    /** The view now has the proposed version. */
    CHOSEN,
    /** The view now has another version in place of the proposed one. */
    CAME_SECOND,
    /**
     * The proposal was abandoned after a timeout; a version that was already submitted to
     * membership may still be chosen.
     */
    NOT_CHOSEN,
    /** The active configuration fell back to {@link ActiveConfiguration.Mode#FALLBACK}. */
    STEPPED_BACK;

    /** The label of the event in logs and in SHOW. */
    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}

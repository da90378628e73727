package cobaltseam.membership;

import java.net.InetSocketAddress;

/** What membership wants done. */
public sealed interface MembershipAction {
  /** A datagram to an address; it may be lost. */
  record Send(InetSocketAddress to, MembershipMessage message) implements MembershipAction {}

  /**
   * To be written to the lasting folder; then {@link Membership#kept} is told its number, or {@link
   * Membership#notKept} that it can't be. A later one holds all that an earlier one did.
   */
  record Persist(long number, PersistentState what) implements MembershipAction {}

  /** Another view holds from now on, or none any more. */
  record ViewInstalled(View view) implements MembershipAction {}

  /** Something for the log. */
  record EventRecorded(MembershipEvent event, MemberName who, String detail)
      implements MembershipAction {}

  /** What is noted. */
  enum MembershipEvent {
    JOINED_SIGHT,
    SUSPECTED,
    REFUTED,
    SEEMS_DEAD,
    LEFT,
    RESTARTED,
    STOOD_STILL,
    NAME_TAKEN,
    TAKEN_OUT,
    LINE_LEFT,
    LINE_ENDED,
    FOLDER_OLD,
    FOLDER_LOST,
    FOUNDED_ANEW,
    NOT_FOUNDED_ANEW;

    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}

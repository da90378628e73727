package cobaltseam.membership;

import java.net.InetSocketAddress;

/** What {@link Membership} has its caller do. */
public sealed interface MembershipAction {
  /** Send a datagram, which may be lost. */
  record Send(InetSocketAddress to, MembershipMessage message) implements MembershipAction {}

  /**
   * Write a state to the folder, then call {@link Membership#onStateWritten} with its number, or
   * {@link Membership#onStateWriteFailed} if it can't be written. A later state replaces all
   * earlier ones.
   */
  record Persist(long number, PersistentState state) implements MembershipAction {}

  /** Another view applies from now on; null for none. */
  record ViewInstalled(View view) implements MembershipAction {}

  /** Write an event to the log. */
  record EventRecorded(MembershipEvent event, MemberName member, String detail)
      implements MembershipAction {}

  /** The events of membership; their labels are printed. */
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

    /** The name as it is printed. */
    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}

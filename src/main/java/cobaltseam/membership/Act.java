package cobaltseam.membership;

import java.net.InetSocketAddress;

/** What membership wants done. */
public sealed interface Act {
  /** A datagram to an address; it may be lost. */
  record Tell(InetSocketAddress to, Message message) implements Act {}

  /**
   * To be written to the lasting folder; then {@link Membership#kept} is told its number, or {@link
   * Membership#notKept} that it can't be. A later one holds all that an earlier one did.
   */
  record Keep(long number, Kept what) implements Act {}

  /** Another view holds from now on, or none any more. */
  record Installed(View view) implements Act {}

  /** Something for the log. */
  record Noted(Event event, MemberName who, String detail) implements Act {}

  /** What is noted. */
  enum Event {
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

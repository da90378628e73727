package cobaltseam.membership;

import java.net.InetSocketAddress;

/** An action that {@link Membership} requests of its caller. */
public sealed interface MembershipAction {
  /** Send a message as a datagram, which may be lost. */
  record Send(InetSocketAddress to, MembershipMessage message) implements MembershipAction {}

  /**
   * Write a state to the state folder, then call {@link Membership#onStateWritten} with its number,
   * or {@link Membership#onStateWriteFailed} if it cannot be written for long; the write is
   * repeated all the while. A later state replaces all earlier ones.
   */
  record Persist(long number, PersistentState state) implements MembershipAction {}

  /** A view was installed; null if this process has no view any more. */
  record ViewInstalled(View view) implements MembershipAction {}

  /**
   * Write an event to the log.
   *
   * @param member the member that the event concerns
   * @param detail further text for the log line
   */
  record EventRecorded(MembershipEvent event, MemberName member, String detail)
      implements MembershipAction {}

  /** The events of membership. Logs and counts of events use their labels. */
  enum MembershipEvent {
    /** A process was discovered. */
    JOINED_SIGHT,
    /** A peer is suspected after a failed health check. */
    SUSPECTED,
    /** A peer refuted a suspicion or a report of its death. */
    REFUTED,
    /** A suspected peer did not refute the suspicion in time. */
    SEEMS_DEAD,
    /** A peer announced that it is leaving. */
    LEFT,
    /** A later process of the same name replaced a peer. */
    RESTARTED,
    /** This process was suspended: its timer ran late. */
    STOOD_STILL,
    /** Another live process uses the name of this process. */
    NAME_TAKEN,
    /** A view removed this process. */
    TAKEN_OUT,
    /** This process left a lineage. */
    LINE_LEFT,
    /** A lineage ended: its last view can have no successor. */
    LINE_ENDED,
    /** The state folder may be an old copy: peers report a later state of this member. */
    FOLDER_OLD,
    /** The state folder could not be written for long and is not used for now. */
    FOLDER_LOST,
    /** The state folder can be written again and is used again. */
    FOLDER_RESTORED,
    /** This process began a new lineage in a re-bootstrap. */
    FOUNDED_ANEW,
    /** A re-bootstrap was rejected. */
    NOT_FOUNDED_ANEW;

    /** The name of the event in logs. */
    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}

package cobaltseam.membership;

import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.net.InetSocketAddress;

/** Receives the messages that the failure detector sends and the events that it logs. */
interface DetectorOutput {
  /** Sends a message as a datagram, which may be lost. */
  void send(InetSocketAddress to, MembershipMessage message);

  /**
   * Records an event for the log.
   *
   * @param member the member that the event concerns
   * @param detail further text for the log line
   */
  void recordEvent(MembershipEvent event, MemberName member, String detail);

  /** Sends a message to the known address of a peer. */
  default void send(Peer to, MembershipMessage message) {
    send(to.member().peerAddress(), message);
  }
}

package cobaltseam.membership;

import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.net.InetSocketAddress;

/** Takes what the failure detector wants sent or logged. */
interface DetectorOutput {
  /** Sends a datagram, which may be lost. */
  void send(InetSocketAddress to, MembershipMessage message);

  /** Records an event for the log. */
  void recordEvent(MembershipEvent event, MemberName member, String detail);

  /** Sends a datagram to the address at which a peer is known. */
  default void send(Peer to, MembershipMessage message) {
    send(to.member().peerAddress(), message);
  }
}

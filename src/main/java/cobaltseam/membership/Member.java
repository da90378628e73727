package cobaltseam.membership;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * One process of a fleet. Its name and incarnation identify it.
 *
 * @param peerAddress where it receives the messages of peers
 */
public record Member(MemberName name, Incarnation incarnation, InetSocketAddress peerAddress) {
  /** Checks that all parts are set. */
  public Member {
    Objects.requireNonNull(name);
    Objects.requireNonNull(incarnation);
    Objects.requireNonNull(peerAddress);
  }
}

package cobaltseam.membership;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * One process of a fleet, identified by its name and incarnation.
 *
 * @param peerAddress the address at which the process receives messages of peers
 */
public record Member(MemberName name, Incarnation incarnation, InetSocketAddress peerAddress) {
  /** Throws {@link NullPointerException} if a component is null. */
  public Member {
    Objects.requireNonNull(name);
    Objects.requireNonNull(incarnation);
    Objects.requireNonNull(peerAddress);
  }
}

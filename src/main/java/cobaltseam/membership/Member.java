package cobaltseam.membership;

import java.net.InetSocketAddress;
import java.util.Objects;

/** One process of a fleet: what makes up its identity, and where it hears peers. */
public record Member(MemberName name, Incarnation incarnation, InetSocketAddress peerAddress) {
  public Member {
    Objects.requireNonNull(name);
    Objects.requireNonNull(incarnation);
    Objects.requireNonNull(peerAddress);
  }
}

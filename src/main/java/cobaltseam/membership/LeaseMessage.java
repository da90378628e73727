package cobaltseam.membership;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import java.util.Objects;

/** What members tell each other to know that their view is the newest. */
public sealed interface LeaseMessage extends PeerMessage {
  /** Is the teller's view still the newest? */
  record LeaseRenewal(MessageHeader from, long id) implements LeaseMessage {
    public LeaseRenewal {
      Objects.requireNonNull(from);
    }
  }

  /** Yes: the teller holds the same view, and nothing that would follow it is on its way there. */
  record LeaseGrant(MessageHeader from, long id) implements LeaseMessage {
    public LeaseGrant {
      Objects.requireNonNull(from);
    }
  }
}

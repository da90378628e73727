package cobaltseam.membership;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import java.util.Objects;

/** The messages by which members confirm to each other that their view has no successor. */
public sealed interface LeaseMessage extends PeerMessage {
  /** Asks whether the sender's view has no successor. */
  record LeaseRenewal(MessageHeader from, long id) implements LeaseMessage {
    public LeaseRenewal {
      Objects.requireNonNull(from);
    }
  }

  /** Confirms that the sender holds the same view and has accepted no successor. */
  record LeaseGrant(MessageHeader from, long id) implements LeaseMessage {
    public LeaseGrant {
      Objects.requireNonNull(from);
    }
  }
}

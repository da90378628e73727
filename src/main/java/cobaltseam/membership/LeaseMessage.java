package cobaltseam.membership;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import java.util.Objects;

/** The messages by which members request and grant leases on their common view. */
public sealed interface LeaseMessage extends PeerMessage {
  /** Asks the recipient to confirm that it has accepted no successor of the sender's view. */
  record LeaseRenewal(MessageHeader from, long id) implements LeaseMessage {
    public LeaseRenewal {
      Objects.requireNonNull(from);
    }
  }

  /** Confirms that the sender has installed the same view and accepted no successor of it. */
  record LeaseGrant(MessageHeader from, long id) implements LeaseMessage {
    public LeaseGrant {
      Objects.requireNonNull(from);
    }
  }
}

package cobaltseam.capacity;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** What members tell each other of the parts that they lend. */
public sealed interface CapacityLeaseMessage extends PeerMessage {
  /**
   * Asks for so much of what the one asked holds, in place of all that it lent the teller before.
   */
  record LeaseRequest(MessageHeader from, long id, long amount) implements CapacityLeaseMessage {
    public LeaseRequest {
      Objects.requireNonNull(from);
    }
  }

  /** The answer: so much, for so long after it was asked for by the clock of the one that asked. */
  record LeaseGrant(MessageHeader from, long id, long amount, long durationUs)
      implements CapacityLeaseMessage {
    public LeaseGrant {
      Objects.requireNonNull(from);
    }
  }
}

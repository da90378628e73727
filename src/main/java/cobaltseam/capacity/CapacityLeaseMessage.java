package cobaltseam.capacity;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** The messages by which members lend capacity to each other. */
public sealed interface CapacityLeaseMessage extends PeerMessage {
  /**
   * Requests an amount of the receiver's capacity. A grant replaces the capacity lease that the
   * receiver granted the sender before.
   */
  record LeaseRequest(MessageHeader from, long id, long amount) implements CapacityLeaseMessage {
    public LeaseRequest {
      Objects.requireNonNull(from);
    }
  }

  /**
   * The reply to a request: the amount that is lent, 0 if none is, and how long after the request
   * it may be used, by the borrower's clock.
   */
  record LeaseGrant(MessageHeader from, long id, long amount, long durationUs)
      implements CapacityLeaseMessage {
    public LeaseGrant {
      Objects.requireNonNull(from);
    }
  }
}

package cobaltseam.sharing;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** A {@link SharingMessage} with the header that every message between members has. */
public sealed interface SharingPeerMessage extends PeerMessage {
  /** The message without its header. */
  SharingMessage body();

  /** Adds a header to a message. */
  static SharingPeerMessage of(MessageHeader from, SharingMessage message) {
    return message instanceof SharingMessage.UpdateRequest request
        ? new SharingRequest(from, request)
        : new SharingReply(from, (SharingMessage.UpdateReply) message);
  }

  /** A request. */
  record SharingRequest(MessageHeader from, SharingMessage.UpdateRequest body)
      implements SharingPeerMessage {
    public SharingRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(body);
    }
  }

  /** A reply to a request. */
  record SharingReply(MessageHeader from, SharingMessage.UpdateReply body)
      implements SharingPeerMessage {
    public SharingReply {
      Objects.requireNonNull(from);
      Objects.requireNonNull(body);
    }
  }
}

package cobaltseam.sharing;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** A message of gossip with the header that every message between members has. */
public sealed interface SharingPeerMessage extends PeerMessage {
  /** The message of gossip. */
  SharingMessage body();

  /** Adds a header to a message of gossip. */
  static SharingPeerMessage of(MessageHeader from, SharingMessage told) {
    return told instanceof SharingMessage.UpdateRequest ask
        ? new SharingRequest(from, ask)
        : new SharingReply(from, (SharingMessage.UpdateReply) told);
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

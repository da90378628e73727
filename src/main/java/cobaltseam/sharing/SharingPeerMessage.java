package cobaltseam.sharing;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** What members tell each other of what they know, with who speaks, as every message has it. */
public sealed interface SharingPeerMessage extends PeerMessage {
  SharingMessage body();

  static SharingPeerMessage of(MessageHeader from, SharingMessage told) {
    return told instanceof SharingMessage.UpdateRequest ask
        ? new SharingRequest(from, ask)
        : new SharingReply(from, (SharingMessage.UpdateReply) told);
  }

  /** An ask. */
  record SharingRequest(MessageHeader from, SharingMessage.UpdateRequest body)
      implements SharingPeerMessage {
    public SharingRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(body);
    }
  }

  /** What answers one. */
  record SharingReply(MessageHeader from, SharingMessage.UpdateReply body)
      implements SharingPeerMessage {
    public SharingReply {
      Objects.requireNonNull(from);
      Objects.requireNonNull(body);
    }
  }
}

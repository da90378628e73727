package cobaltseam.membership;

/** A message between members, of any module. */
public interface PeerMessage {
  /** The sender, as it saw itself when it sent the message. */
  MembershipMessage.MessageHeader from();
}

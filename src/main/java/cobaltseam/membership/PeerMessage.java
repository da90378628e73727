package cobaltseam.membership;

/** A message between members, of any module. */
public interface PeerMessage {
  /** The status of the sender at the time when it sent the message. */
  MembershipMessage.MessageHeader from();
}

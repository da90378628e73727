package cobaltseam.membership;

/** What members tell each other, whichever part of them speaks. */
public interface PeerMessage {
  MembershipMessage.MessageHeader from();
}

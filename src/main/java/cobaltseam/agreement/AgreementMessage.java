package cobaltseam.agreement;

import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/**
 * What members tell each other of the agreed document. The teller's view says which edition it
 * holds.
 */
public sealed interface AgreementMessage extends PeerMessage {
  /**
   * An edition that the teller would have the next view hold; to be fetched, checked and answered.
   */
  record VersionOffer(MessageHeader from, ConfigurationVersion version, int contentLength)
      implements AgreementMessage {
    public VersionOffer {
      Objects.requireNonNull(from);
      Objects.requireNonNull(version);
    }
  }

  /** The answer to an offer: null if the edition can be acted on here, else why not. */
  record VersionCheck(MessageHeader from, ConfigurationVersion version, String rejection)
      implements AgreementMessage {
    public VersionCheck {
      Objects.requireNonNull(from);
      Objects.requireNonNull(version);
    }
  }

  /** Asks for a document's bytes from an index on. */
  record ContentRequest(MessageHeader from, String hash, int index) implements AgreementMessage {
    public ContentRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(hash);
    }
  }

  /** Bytes of a document from an index on. */
  record ContentPart(MessageHeader from, String hash, int index, int contentLength, byte[] bytes)
      implements AgreementMessage {
    public ContentPart {
      Objects.requireNonNull(from);
      Objects.requireNonNull(hash);
      Objects.requireNonNull(bytes);
    }
  }
}

package cobaltseam.agreement;

import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/**
 * The messages of members about the agreed document. The header's view says which version the
 * sender holds.
 */
public sealed interface AgreementMessage extends PeerMessage {
  /** A version that the sender proposes for the next view; to be fetched, checked and answered. */
  record VersionOffer(MessageHeader from, ConfigurationVersion version, int contentLength)
      implements AgreementMessage {
    public VersionOffer {
      Objects.requireNonNull(from);
      Objects.requireNonNull(version);
    }
  }

  /** The answer to an offer: why the version can't be acted on, or null if it can. */
  record VersionCheck(MessageHeader from, ConfigurationVersion version, String rejection)
      implements AgreementMessage {
    public VersionCheck {
      Objects.requireNonNull(from);
      Objects.requireNonNull(version);
    }
  }

  /** Requests the bytes of a document from an index on. */
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

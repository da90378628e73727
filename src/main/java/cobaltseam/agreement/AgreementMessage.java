package cobaltseam.agreement;

import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/**
 * The messages between members about the agreed document. The view in the header identifies the
 * version that the sender has.
 */
public sealed interface AgreementMessage extends PeerMessage {
  /**
   * Offers a version that the sender proposes for the next view. The receiver fetches its document
   * if needed, validates it and replies with a {@link VersionCheck}.
   *
   * @param contentLength the length of the document, in bytes
   */
  record VersionOffer(MessageHeader from, ConfigurationVersion version, int contentLength)
      implements AgreementMessage {
    public VersionOffer {
      Objects.requireNonNull(from);
      Objects.requireNonNull(version);
    }
  }

  /**
   * The reply to a {@link VersionOffer}.
   *
   * @param rejection why the sender can't act on the version, or null if it can
   */
  record VersionCheck(MessageHeader from, ConfigurationVersion version, String rejection)
      implements AgreementMessage {
    public VersionCheck {
      Objects.requireNonNull(from);
      Objects.requireNonNull(version);
    }
  }

  /**
   * Requests the next part of a document.
   *
   * @param hash the hash of the document
   * @param index the offset of the first requested byte
   */
  record ContentRequest(MessageHeader from, String hash, int index) implements AgreementMessage {
    public ContentRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(hash);
    }
  }

  /**
   * A part of a document.
   *
   * @param hash the hash of the document
   * @param index the offset of the first byte of the part
   * @param contentLength the length of the whole document, in bytes
   */
  record ContentPart(MessageHeader from, String hash, int index, int contentLength, byte[] bytes)
      implements AgreementMessage {
    public ContentPart {
      Objects.requireNonNull(from);
      Objects.requireNonNull(hash);
      Objects.requireNonNull(bytes);
    }
  }
}

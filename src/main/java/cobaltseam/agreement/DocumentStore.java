package cobaltseam.agreement;

import cobaltseam.agreement.AgreementMessage.ContentPart;
import cobaltseam.agreement.AgreementMessage.ContentRequest;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.Member;
import cobaltseam.membership.Membership;
import cobaltseam.membership.View;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The documents of configuration versions, by hash, and the transfer of a missing one from another
 * member. One document is fetched at a time, in parts that are asked for one after the other.
 */
final class DocumentStore {
  /** The largest part of a document in one message. */
  private static final int MAX_PART_BYTES = 8192;

  /** Documents that are kept though no version here needs them: others may ask for them. */
  private static final int MAX_UNUSED_DOCUMENTS = 4;

  /** At each repeated request another member is asked with a chance of one in so many. */
  private static final int SOURCE_CHANGE_ODDS = 4;

  /** A document that arrives in parts. */
  private static final class IncomingDocument {
    final String hash;

    /** The member that is asked for it, or null if none is known. */
    Member source;

    /** What has arrived so far; null before the first part. */
    ByteBuffer bytes;

    Timestamp requestedAt;

    IncomingDocument(String hash, Member source) {
      this.hash = hash;
      this.source = source;
    }
  }

  private final int maxDocumentBytes;
  private final TimeSpan retryInterval;
  private final Membership membership;
  private final EffectQueue effects;
  private final RandomGenerator random;
  private final Map<String, byte[]> documents = new HashMap<>();
  private IncomingDocument incoming;

  /** The hash of a document that a vote needs and that is not here, or null. */
  private String neededForVote;

  /**
   * @param retryInterval after which an unanswered request for a part is repeated
   */
  DocumentStore(
      int maxDocumentBytes,
      TimeSpan retryInterval,
      Membership membership,
      EffectQueue effects,
      RandomGenerator random) {
    this.maxDocumentBytes = maxDocumentBytes;
    this.retryInterval = retryInterval;
    this.membership = membership;
    this.effects = effects;
    this.random = random;
  }

  boolean contains(String hash) {
    return documents.containsKey(hash);
  }

  /** The document with this hash, or null. */
  byte[] get(String hash) {
    return documents.get(hash);
  }

  void put(String hash, byte[] document) {
    documents.put(hash, document);
  }

  /** Whether a document is being fetched. */
  boolean isFetching() {
    return incoming != null;
  }

  /**
   * Whether the document of a version is here that is to be voted for. If not, the next {@link
   * #fetchMissing} fetches it, and the vote is asked for again.
   */
  boolean containsForVote(ConfigurationVersion version) {
    boolean isHere = documents.containsKey(version.hash());
    if (!isHere) {
      neededForVote = version.hash();
    }
    return isHere;
  }

  /** Fetches the document of the view's version or of a vote, and repeats an overdue request. */
  void fetchMissing(View view, Timestamp now) {
    ConfigurationVersion version = view.configuration();
    String missing =
        version != null && !documents.containsKey(version.hash()) ? version.hash() : neededForVote;
    if (missing != null && !documents.containsKey(missing)) {
      fetch(missing, null, now);
    }
    neededForVote = null;
    if (incoming != null && now.since(incoming.requestedAt).compareTo(retryInterval) >= 0) {
      if (incoming.source == null || random.nextInt(SOURCE_CHANGE_ODDS) == 0) {
        // The member that was asked may be gone, or lack the document as well.
        incoming.source = randomPeer(view);
      }
      requestNextPart(now);
    }
  }

  private Member randomPeer(View view) {
    List<Member> others =
        view.members().stream()
            .filter(member -> !member.name().equals(membership.self().name()))
            .toList();
    return others.isEmpty() ? null : others.get(random.nextInt(others.size()));
  }

  /**
   * Starts to fetch a document in place of any other, unless it is being fetched already.
   *
   * @param source the member to ask, or null to draw one at the next retry
   */
  void fetch(String hash, Member source, Timestamp now) {
    if (incoming == null || !incoming.hash.equals(hash)) {
      incoming = new IncomingDocument(hash, source);
      requestNextPart(now);
    }
  }

  private void requestNextPart(Timestamp now) {
    incoming.requestedAt = now;
    if (incoming.source != null) {
      int index = incoming.bytes == null ? 0 : incoming.bytes.position();
      effects.send(incoming.source, new ContentRequest(membership.header(), incoming.hash, index));
    }
  }

  /** Adds a part to the document that is being fetched; true if a document is complete by it. */
  boolean receive(ContentPart part, Timestamp now) {
    if (incoming == null
        || !incoming.hash.equals(part.hash())
        || part.contentLength() < 0
        || part.contentLength() > maxDocumentBytes) {
      return false;
    }
    if (incoming.bytes == null || incoming.bytes.capacity() != part.contentLength()) {
      incoming.bytes = ByteBuffer.allocate(part.contentLength());
    }
    if (part.index() != incoming.bytes.position()
        || part.bytes().length > incoming.bytes.remaining()) {
      return false;
    }
    incoming.bytes.put(part.bytes());
    if (incoming.bytes.hasRemaining()) {
      incoming.source = incoming.source == null ? part.from().member() : incoming.source;
      requestNextPart(now);
      return false;
    }
    return complete();
  }

  private boolean complete() {
    byte[] document = incoming.bytes.array();
    String hash = incoming.hash;
    incoming = null;
    boolean isIntact = ConfigurationAgreement.hash(document).equals(hash);
    if (isIntact) {
      documents.put(hash, document);
    }
    return isIntact;
  }

  /** Sends a part of a document to a member that asks for it, if the document is here. */
  void answer(ContentRequest request, Member to) {
    byte[] document = documents.get(request.hash());
    if (document == null) {
      return;
    }
    int index = Math.max(0, Math.min(request.index(), document.length));
    int end = Math.min(document.length, index + MAX_PART_BYTES);
    effects.send(
        to,
        new ContentPart(
            membership.header(),
            request.hash(),
            index,
            document.length,
            Arrays.copyOfRange(document, index, end)));
  }

  /** Drops all documents but these once there are too many others. */
  void retain(Set<String> used) {
    if (documents.size() > used.size() + MAX_UNUSED_DOCUMENTS) {
      documents.keySet().retainAll(used);
    }
  }
}

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
 * Stores the documents of configuration versions by hash, and fetches a missing one from another
 * member. One document is fetched at a time, in parts that are requested one after the other.
 */
final class DocumentStore {
  /** The largest part of a document in one message, in bytes. */
  private static final int MAX_PART_BYTES = 8192;

  /**
   * The number of documents kept although this process does not use them, since other members may
   * request them.
   */
  private static final int MAX_UNUSED_DOCUMENTS = 4;

  /** A repeated request goes to another member with a probability of one in this number. */
  private static final int SOURCE_CHANGE_ODDS = 4;

  /** A document that is being fetched in parts. */
  private static final class IncomingDocument {
    final String hash;

    /** The member that the parts are requested from, or null if none is known. */
    Member source;

    /** The bytes received so far; null before the first part. */
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

  /** The hash of a document that a vote needs and this process lacks, or null. */
  private String neededForVote;

  /**
   * @param retryInterval the time after which an unanswered request for a part is repeated
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
   * Whether this process has the document of a version that it is asked to vote for. If not, the
   * next call of {@link #fetchMissing} fetches it; the vote is requested again later.
   */
  boolean containsForVote(ConfigurationVersion version) {
    boolean isPresent = documents.containsKey(version.hash());
    if (!isPresent) {
      neededForVote = version.hash();
    }
    return isPresent;
  }

  /**
   * Starts to fetch a missing document of the view's version or of a vote, and repeats an overdue
   * request.
   */
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
        // The previous source may have failed, or may lack the document as well.
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
   * @param source the member to request it from, or null to choose one at random at the next retry
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

  /**
   * Adds a received part to the document that is being fetched; a part of another document or out
   * of order is ignored.
   *
   * @return whether the part completed the document and its hash is correct
   */
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

  /** Ends the fetch; stores the document and returns true if its hash is correct. */
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

  /** Sends the requested part of a document to a member, if this process has the document. */
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

  /** Removes all documents that are not in use once there are too many of them. */
  void retain(Set<String> usedHashes) {
    if (documents.size() > usedHashes.size() + MAX_UNUSED_DOCUMENTS) {
      documents.keySet().retainAll(usedHashes);
    }
  }
}

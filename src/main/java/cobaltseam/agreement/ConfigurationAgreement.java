package cobaltseam.agreement;

import cobaltseam.agreement.ActiveConfiguration.Mode;
import cobaltseam.agreement.AgreementEffect.AgreementEvent;
import cobaltseam.agreement.AgreementMessage.ContentPart;
import cobaltseam.agreement.AgreementMessage.ContentRequest;
import cobaltseam.agreement.AgreementMessage.VersionCheck;
import cobaltseam.agreement.AgreementMessage.VersionOffer;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.Lease;
import cobaltseam.membership.Member;
import cobaltseam.membership.Membership;
import cobaltseam.membership.View;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Decides which version of an agreed document this process acts on, such that no two processes act
 * on contradicting versions for longer than {@link AgreementOptions#maxContradiction}. This class
 * does no I/O; the caller must call {@link #update} after each call to {@link Membership}.
 *
 * <p>Each view carries a version, so versions are chosen in the order of views. A process acts on a
 * version only under a lease: within {@code maxContradiction} by the process's own clock, a
 * majority of its view confirmed that the view had no successor yet. A process that missed a
 * version therefore stops acting on an older one at most that time after the new one was chosen. A
 * process that learns of a new version acts on a conservative merge of it and the earlier ones,
 * until all members have installed it or every lease on an earlier version must have ended.
 */
public final class ConfigurationAgreement {
  /**
   * The options of the agreement.
   *
   * @param maxContradiction the longest time for which two processes may act on contradicting
   *     versions
   * @param maxClockRateRatio the largest difference between the rates of two clocks, as a ratio
   * @param maxDocumentBytes the largest document, in bytes
   */
  public record AgreementOptions(
      TimeSpan maxContradiction, double maxClockRateRatio, int maxDocumentBytes) {}

  /**
   * Interprets documents. Implementations are stateless and return the same result for the same
   * documents every time.
   */
  public interface ConfigurationValidator {
    /** Why this process can't act on a document, or null if it can. */
    String rejectionReason(byte[] content);

    /**
     * Whether one process that acts on one document while another process acts on the other would
     * break a guarantee that both give together.
     */
    boolean contradict(byte[] one, byte[] other);
  }

  /**
   * The fraction of the maximum contradiction time after which an unanswered message is repeated.
   */
  private static final double RETRY_FRACTION = 0.125;

  /** The most earlier versions that are merged; with more of them this process falls back. */
  private static final int MAX_MERGED_VERSIONS = 8;

  private final AgreementOptions options;
  private final Membership membership;
  private final Lease lease;
  private final ConfigurationValidator validator;
  private final EffectQueue effects = new EffectQueue();
  private final DocumentStore documents;
  private final ProposalTracker proposals;
  private final VersionHistory history;
  private byte[] ownDocument;
  private String ownHash;
  private ActiveConfiguration active = new ActiveConfiguration(Mode.FALLBACK, List.of());
  private Timestamp activeSince;

  /** The version of the last offer, whose document is being fetched or was checked, or null. */
  private ConfigurationVersion offeredVersion;

  /** The member that offered {@link #offeredVersion}, or null. */
  private Member offeredBy;

  /**
   * @param lease the lease on the view; its duration must be {@code options.maxContradiction}
   */
  public ConfigurationAgreement(
      AgreementOptions options,
      Membership membership,
      Lease lease,
      ConfigurationValidator validator,
      RandomGenerator random) {
    this.options = options;
    this.membership = membership;
    this.lease = lease;
    this.validator = validator;
    TimeSpan retryInterval = options.maxContradiction.times(RETRY_FRACTION);
    documents =
        new DocumentStore(options.maxDocumentBytes, retryInterval, membership, effects, random);
    proposals =
        new ProposalTracker(
            options.maxContradiction, retryInterval, membership, documents, effects);
    history = new VersionHistory(membership);
    membership.setDocumentAccess(documents::containsForVote, this::content);
  }

  /** The hash of a document: SHA-256 in hexadecimal digits. */
  public static String hash(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform must support SHA-256", e);
    }
  }

  // ---- state

  /** The configuration that this process acts on now. */
  public ActiveConfiguration activeConfiguration() {
    return active;
  }

  /** When the active configuration took effect; null before the first one. */
  public Timestamp activeSince() {
    return activeSince;
  }

  /** How long this process may still act without a message from a majority. */
  public TimeSpan leaseLeft(Timestamp now) {
    return lease.remaining(now);
  }

  /** The document of a version, or null if this process does not have it. */
  public byte[] content(ConfigurationVersion version) {
    return version == null ? null : documents.get(version.hash());
  }

  /** Whether all members of the view have reported that they installed it or a later one. */
  public boolean isInstalledByAll() {
    return membership.view() != null && membership.isViewReportedByAll();
  }

  /** The latest time at which {@link #update} must be called next. */
  public Timestamp nextUpdateAt(Timestamp now) {
    // Pending work is retried at this time. Earlier deadlines, such as the end of a lease, are
    // included below.
    boolean isPending =
        proposals.version() != null || documents.isFetching() || active.mode() == Mode.FALLBACK;
    double fraction = isPending ? RETRY_FRACTION : 2 * RETRY_FRACTION;
    Deadline deadline = new Deadline(now, now.plus(options.maxContradiction.times(fraction)));
    if (active.mode() != Mode.FALLBACK) {
      deadline.include(lease.expiresAt());
    }
    history.forEachDeadline(deadline::include);
    return deadline.at;
  }

  /** The earliest of several times that are not in the past. */
  private static final class Deadline {
    private final Timestamp now;
    private Timestamp at;

    Deadline(Timestamp now, Timestamp latest) {
      this.now = now;
      at = latest;
    }

    void include(Timestamp other) {
      if (other != null && !other.isBefore(now) && other.isBefore(at)) {
        at = other;
      }
    }
  }

  // ---- view and time

  /**
   * Applies the installed view and the current time: fetches documents, advances proposals and
   * updates the active configuration. After the process was suspended, this must be called before
   * any message is received or sent.
   */
  public List<AgreementEffect> update(Timestamp now) {
    View view = membership.view();
    history.update(view, lease.maxDuration(), now);
    if (view != null) {
      documents.fetchMissing(view, now);
      proposeFirst(view, now);
      proposals.advance(view, now);
    }
    activate(view, now);
    return effects.drain();
  }

  // ---- documents and proposals

  /** Adds a document that was persisted together with a vote. */
  public void addPersistedDocument(byte[] content) {
    documents.put(hash(content), content);
  }

  /**
   * Sets the document of this process. It is proposed as the first version if the view has no
   * version; until a version is agreed, the caller derives its fallback settings from it.
   */
  public void setOwnDocument(byte[] content) {
    ownDocument = content;
    ownHash = hash(content);
    documents.put(ownHash, content);
  }

  /** The first member of a view without a version proposes its own document. */
  private void proposeFirst(View view, Timestamp now) {
    if (view.configuration() == null
        && ownDocument != null
        && proposals.version() == null
        && leaseLeft(now).isPositive()
        && view.members().get(0).name().equals(membership.self().name())) {
      proposals.begin(ownDocument, now);
    }
  }

  /**
   * Proposes a document as the version that follows the one of the installed view.
   *
   * @param expectedNumber the number that the version of the installed view must have, or a
   *     negative number to accept any
   * @return why the document is not proposed, or null if it is; in that case a recorded event
   *     reports the outcome
   */
  public String propose(byte[] content, long expectedNumber, Timestamp now) {
    View view = membership.view();
    long number = view == null ? 0 : ConfigurationVersion.numberOf(view.configuration());
    if (view == null || !leaseLeft(now).isPositive()) {
      return "this process has no valid lease from a majority of its view";
    }
    if (expectedNumber >= 0 && expectedNumber != number) {
      return "the agreed version is " + number + ", expected was " + expectedNumber;
    }
    if (proposals.version() != null) {
      return "another proposal of this process is pending: " + proposals.version();
    }
    if (content.length > options.maxDocumentBytes) {
      return "the document has "
          + content.length
          + " bytes, the limit is "
          + options.maxDocumentBytes;
    }
    String rejection = validator.rejectionReason(content);
    if (rejection != null) {
      return rejection;
    }
    if (number > 0 && view.configuration().hash().equals(hash(content))) {
      return "the document equals that of the agreed version " + number;
    }
    proposals.begin(content, now);
    return null;
  }

  // ---- messages

  /** Handles an authenticated message of a member of this fleet. */
  public List<AgreementEffect> receive(AgreementMessage message, Timestamp now) {
    View view = membership.view();
    Member sender = message.from().member();
    if (!membership.acceptSender(message, now)
        || view == null
        || !view.contains(sender.name(), sender.incarnation())) {
      return update(now);
    }
    if (message instanceof VersionOffer offer) {
      receiveOffer(offer, view, sender, now);
    } else if (message instanceof VersionCheck check) {
      proposals.recordAnswer(sender.name(), check.version(), check.rejection());
    } else if (message instanceof ContentRequest request) {
      documents.answer(request, sender);
    } else if (message instanceof ContentPart part && documents.receive(part, now)) {
      answerOffer();
    }
    return update(now);
  }

  private void receiveOffer(VersionOffer offer, View view, Member sender, Timestamp now) {
    long nextNumber = ConfigurationVersion.numberOf(view.configuration()) + 1;
    if (offer.version().number() != nextNumber
        || offer.contentLength() > options.maxDocumentBytes) {
      return;
    }
    offeredVersion = offer.version();
    offeredBy = sender;
    if (documents.contains(offeredVersion.hash())) {
      answerOffer();
    } else {
      documents.fetch(offeredVersion.hash(), sender, now);
    }
  }

  /** Answers the last offer if this process has its document. */
  private void answerOffer() {
    byte[] content = content(offeredVersion);
    if (content != null && offeredBy != null) {
      effects.send(
          offeredBy,
          new VersionCheck(
              membership.header(), offeredVersion, validator.rejectionReason(content)));
    }
  }

  // ---- the active configuration

  /** Updates the active configuration, and adds an effect if it changes. */
  private void activate(View view, Timestamp now) {
    history.expire(now);
    ConfigurationVersion version = view == null ? null : view.configuration();
    List<ConfigurationVersion> versions = new ArrayList<>();
    String reason = fallbackReason(version, now);
    if (reason == null) {
      reason = addContradicting(version, versions);
    }
    if (version != null) {
      versions.add(version);
    }
    ActiveConfiguration next;
    if (reason != null) {
      next =
          new ActiveConfiguration(
              Mode.FALLBACK, content(version) == null ? List.of() : List.of(version));
    } else {
      next = new ActiveConfiguration(versions.size() > 1 ? Mode.MERGED : Mode.PLAIN, versions);
    }
    if (!next.equals(active)) {
      if (next.mode() == Mode.FALLBACK && active.mode() != Mode.FALLBACK) {
        effects.record(AgreementEvent.STEPPED_BACK, reason);
      }
      active = next;
      activeSince = now;
      effects.add(new AgreementEffect.Activate(next));
    }
    if (view != null) {
      documents.retain(usedHashes(view));
    }
  }

  /** Why this process can't act on the version of the view as it is, or null if it can. */
  private String fallbackReason(ConfigurationVersion version, Timestamp now) {
    if (version == null) {
      return "no version is agreed";
    }
    if (!documents.contains(version.hash())) {
      return "the document of the agreed version is not yet received";
    }
    if (!leaseLeft(now).isPositive()) {
      return "no majority confirmed in time that the view is the newest";
    }
    return history.hasUnknownVersions(now)
        ? "other processes may act on versions unknown to this one"
        : null;
  }

  /**
   * Adds the earlier versions that contradict the given one and that some process may still act on.
   *
   * @return why these versions can't be merged, or null if they can
   */
  private String addContradicting(
      ConfigurationVersion version, List<ConfigurationVersion> contradicting) {
    String reason = null;
    List<ConfigurationVersion> earlier = history.versions();
    for (ConfigurationVersion other : earlier) {
      byte[] content = documents.get(other.hash());
      if (content == null || earlier.size() > MAX_MERGED_VERSIONS) {
        reason =
            "the document of an earlier version is missing, or too many versions may be active";
      } else if (validator.contradict(content, documents.get(version.hash()))) {
        contradicting.add(other);
      }
    }
    return reason;
  }

  /** The hashes of all documents that this process still needs. */
  private Set<String> usedHashes(View view) {
    Set<String> used = new HashSet<>();
    history.versions().forEach(version -> used.add(version.hash()));
    active.versions().forEach(version -> used.add(version.hash()));
    addHash(used, view.configuration());
    addHash(used, offeredVersion);
    addHash(used, proposals.version());
    addHash(used, membership.acceptedConfiguration());
    if (ownDocument != null) {
      used.add(ownHash);
    }
    return used;
  }

  private static void addHash(Set<String> hashes, ConfigurationVersion version) {
    if (version != null) {
      hashes.add(version.hash());
    }
  }
}

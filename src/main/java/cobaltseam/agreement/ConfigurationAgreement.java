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
 * Which version of an agreed document this process acts on, such that no two processes act on
 * versions that contradict each other for longer than stated. It does no I/O; after each call to
 * {@link Membership} the caller calls {@link #follow}.
 *
 * <p>Views carry the version, so versions are chosen in the order of views. A process acts on one
 * only under a lease: a majority of its view said, within the stated time by its own clock, that
 * the view had no successor yet. So a process that missed a version stops acting on an older one by
 * that time after the new one was chosen. A process that learns of a version acts on a conservative
 * merge of it and those before, until all members hold it, or every lease on one before must have
 * ended.
 */
public final class ConfigurationAgreement {
  /**
   * Its options.
   *
   * @param maxContradiction for no longer than this two processes act on contradicting versions
   * @param maxClockRateRatio the largest difference between the rates of two clocks, as a ratio
   * @param maxDocumentBytes the largest document, in bytes
   */
  public record AgreementOptions(
      TimeSpan maxContradiction, double maxClockRateRatio, int maxDocumentBytes) {}

  /** What documents mean. It has no state and answers the same every time. */
  public interface ConfigurationValidator {
    /** Why this process can't act on a document, or null if it can. */
    String rejectionReason(byte[] content);

    /**
     * Whether to act on the one while another process acts on the other would break what the two
     * promise together.
     */
    boolean contradict(byte[] one, byte[] other);
  }

  /** The part of the contradiction time after which an unanswered message is repeated. */
  private static final double RETRY_PERIODS = 0.125;

  /** With more versions that some process may still act on, this one does not merge them. */
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

  /** The version of the last offer, which is fetched or was answered, or null. */
  private ConfigurationVersion offeredVersion;

  /** The member to answer about {@link #offeredVersion}. */
  private Member offeredBy;

  /**
   * @param lease on the view, for as long as {@code contradiction}
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
    TimeSpan retryInterval = options.maxContradiction.times(RETRY_PERIODS);
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
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }

  // ---- state

  /** What this process acts on now. */
  public ActiveConfiguration activeConfiguration() {
    return active;
  }

  /** Since when; null before it first acted on anything. */
  public Timestamp activeSince() {
    return activeSince;
  }

  /** How long this process may act without a message from a majority. */
  public TimeSpan leaseLeft(Timestamp now) {
    return lease.remaining(now);
  }

  /** The document of a version, or null if it is not here. */
  public byte[] content(ConfigurationVersion version) {
    return version == null ? null : documents.get(version.hash());
  }

  /** Whether all members of the view have said that they hold it. */
  public boolean isInstalledByAll() {
    return membership.view() != null && membership.isViewReportedByAll();
  }

  /** When {@link #follow} is to be called next at the latest. */
  public Timestamp nextFollowAt(Timestamp now) {
    // What could not be done by now is retried then; what comes sooner, such as the end of a lease,
    // is not delayed by it.
    boolean isPending =
        proposals.version() != null || documents.isFetching() || active.mode() == Mode.FALLBACK;
    double periods = isPending ? RETRY_PERIODS : 2 * RETRY_PERIODS;
    Deadline wake = new Deadline(now, now.plus(options.maxContradiction.times(periods)));
    if (active.mode() != Mode.FALLBACK) {
      wake.include(lease.expiresAt());
    }
    history.forEachDeadline(wake::include);
    return wake.at;
  }

  /** The soonest of several times that are not past. */
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
   * What follows from the view and from time; to be called before anything is received or sent
   * after a pause.
   */
  public List<AgreementEffect> follow(Timestamp now) {
    View view = membership.view();
    history.follow(view, lease.maxDuration(), now);
    if (view != null) {
      documents.fetchMissing(view, now);
      proposeFirst(view, now);
      proposals.advance(view, now);
    }
    activate(view, now);
    return effects.drain();
  }

  // ---- documents and proposals

  /** Adds a document that was persisted beside a vote. */
  public void addPersistedDocument(byte[] content) {
    documents.put(hash(content), content);
  }

  /**
   * Sets the document that a first version is made of where the view has none, and that is acted on
   * where nothing is agreed yet.
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
   * Proposes a document as the version after the one that this process holds.
   *
   * @param expect the number of the held version, or below zero for whichever
   * @return why it is not proposed, or null if it is: then a recorded event says what became of it
   */
  public String propose(byte[] content, long expect, Timestamp now) {
    View view = membership.view();
    long number = view == null ? 0 : ConfigurationVersion.numberOf(view.configuration());
    if (view == null || !leaseLeft(now).isPositive()) {
      return "no majority is heard";
    }
    if (expect >= 0 && expect != number) {
      return "edition " + number + " is held, not " + expect;
    }
    if (proposals.version() != null) {
      return "another proposal of this process is on its way: " + proposals.version();
    }
    if (content.length > options.maxDocumentBytes) {
      return content.length + " bytes are more than " + options.maxDocumentBytes;
    }
    String rejection = validator.rejectionReason(content);
    if (rejection != null) {
      return rejection;
    }
    if (number > 0 && view.configuration().hash().equals(hash(content))) {
      return "it is what edition " + number + " holds";
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
      return follow(now);
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
    return follow(now);
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

  /** Answers the last offer if its document is here. */
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

  private void activate(View view, Timestamp now) {
    history.expire(now);
    ConfigurationVersion version = view == null ? null : view.configuration();
    List<ConfigurationVersion> versions = new ArrayList<>();
    String reason = stepBackReason(version, now);
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

  /** Why the version of the view can't be acted on as it is, or null if it can. */
  private String stepBackReason(ConfigurationVersion version, Timestamp now) {
    if (version == null) {
      return "no edition is agreed";
    }
    if (!documents.contains(version.hash())) {
      return "the document is not here yet";
    }
    if (!leaseLeft(now).isPositive()) {
      return "no majority said in time that the view is the newest";
    }
    return history.hasUnknownVersions(now)
        ? "others may act on editions that are not known here"
        : null;
  }

  /**
   * Adds the earlier versions that contradict this one and that some process may still act on.
   *
   * @return why these can't be merged, or null if they can
   */
  private String addContradicting(
      ConfigurationVersion version, List<ConfigurationVersion> contradicting) {
    String reason = null;
    List<ConfigurationVersion> earlier = history.versions();
    for (ConfigurationVersion other : earlier) {
      byte[] content = documents.get(other.hash());
      if (content == null || earlier.size() > MAX_MERGED_VERSIONS) {
        reason = "an edition before it is not known here";
      } else if (validator.contradict(content, documents.get(version.hash()))) {
        contradicting.add(other);
      }
    }
    return reason;
  }

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

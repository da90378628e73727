package cobaltseam.agreement;

import cobaltseam.agreement.AgreementEffect.AgreementEvent;
import cobaltseam.agreement.AgreementMessage.VersionOffer;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Membership;
import cobaltseam.membership.View;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the proposal of this process, of which there is at most one: offers the version to all
 * members, collects their answers, submits the version to membership for the next view, and records
 * the outcome.
 */
final class ProposalTracker {
  /**
   * How long a proposal waits for members that do not answer, as a multiple of the maximum
   * contradiction time.
   */
  private static final double ANSWER_TIMEOUT_FACTOR = 0.5;

  /** The age at which a proposal is abandoned, as a multiple of the maximum contradiction time. */
  private static final double ABANDON_AFTER_FACTOR = 10;

  private static final class Proposal {
    final ConfigurationVersion version;
    final Timestamp startedAt;

    /** When the version was last offered; null before the first offer. */
    Timestamp offeredAt;

    /** Whether the version was submitted to membership for the next view. */
    boolean isSubmitted;

    /** The answer of each member: why it rejects the version, or empty if it accepts it. */
    final Map<MemberName, String> answers = new HashMap<>();

    Proposal(ConfigurationVersion version, Timestamp startedAt) {
      this.version = version;
      this.startedAt = startedAt;
    }
  }

  private final TimeSpan maxContradiction;
  private final TimeSpan retryInterval;
  private final Membership membership;
  private final DocumentStore documents;
  private final EffectQueue effects;
  private Proposal proposal;

  /**
   * @param maxContradiction the longest time for which two processes may act on contradicting
   *     versions
   * @param retryInterval the time after which an unanswered offer is repeated
   */
  ProposalTracker(
      TimeSpan maxContradiction,
      TimeSpan retryInterval,
      Membership membership,
      DocumentStore documents,
      EffectQueue effects) {
    this.maxContradiction = maxContradiction;
    this.retryInterval = retryInterval;
    this.membership = membership;
    this.documents = documents;
    this.effects = effects;
  }

  /** The proposed version, or null if there is no proposal. */
  ConfigurationVersion version() {
    return proposal == null ? null : proposal.version;
  }

  /** Begins to propose a document as the version that follows the one of the view. */
  void begin(byte[] document, Timestamp now) {
    ConfigurationVersion version =
        new ConfigurationVersion(
            ConfigurationVersion.numberOf(membership.view().configuration()) + 1,
            ConfigurationAgreement.hash(document),
            membership.self().name());
    proposal = new Proposal(version, now);
    documents.put(version.hash(), document);
    proposal.answers.put(membership.self().name(), "");
    effects.record(AgreementEvent.PROPOSED, version.toString());
  }

  /**
   * Records the answer of a member to an offer.
   *
   * @param rejection why the member rejects the version, or null if the member accepts it
   */
  void recordAnswer(MemberName member, ConfigurationVersion version, String rejection) {
    if (proposal != null && version.equals(proposal.version)) {
      proposal.answers.put(member, rejection == null ? "" : rejection);
    }
  }

  /** Advances the proposal as far as the view, the answers and the time allow. */
  void advance(View view, Timestamp now) {
    if (proposal == null || endIfSuperseded(view) || endIfRejected()) {
      return;
    }
    List<Member> unanswered =
        view.members().stream()
            .filter(member -> !proposal.answers.containsKey(member.name()))
            .toList();
    TimeSpan age = now.since(proposal.startedAt);
    if (age.compareTo(maxContradiction.times(ABANDON_AFTER_FACTOR)) >= 0) {
      abandon(unanswered);
      return;
    }
    boolean hasMajority = view.members().size() - unanswered.size() >= view.majority();
    boolean hasWaited = age.compareTo(maxContradiction.times(ANSWER_TIMEOUT_FACTOR)) >= 0;
    if (!proposal.isSubmitted && hasMajority && (unanswered.isEmpty() || hasWaited)) {
      submit(now);
    }
    if (!proposal.isSubmitted && isOfferDue(now)) {
      offer(unanswered, now);
    }
  }

  private boolean endIfSuperseded(View view) {
    if (ConfigurationVersion.numberOf(view.configuration()) < proposal.version.number()) {
      return false;
    }
    if (proposal.version.equals(view.configuration())) {
      effects.record(AgreementEvent.CHOSEN, proposal.version.toString());
    } else {
      effects.record(
          AgreementEvent.CAME_SECOND, proposal.version + ", superseded by " + view.configuration());
    }
    end();
    return true;
  }

  private boolean endIfRejected() {
    if (proposal.isSubmitted) {
      return false;
    }
    for (Map.Entry<MemberName, String> entry : proposal.answers.entrySet()) {
      if (!entry.getValue().isEmpty()) {
        effects.record(
            AgreementEvent.REFUSED,
            proposal.version + " by " + entry.getKey() + ": " + entry.getValue());
        end();
        return true;
      }
    }
    return false;
  }

  private void abandon(List<Member> unanswered) {
    effects.record(
        AgreementEvent.NOT_CHOSEN,
        proposal.version
            + (proposal.isSubmitted
                ? ", may still be chosen"
                : ", no answer from " + unanswered.stream().map(Member::name).toList()));
    end();
  }

  private void submit(Timestamp now) {
    proposal.isSubmitted = true;
    membership
        .proposeConfiguration(proposal.version, now)
        .forEach(action -> effects.add(new AgreementEffect.MembershipEffect(action)));
  }

  private boolean isOfferDue(Timestamp now) {
    return proposal.offeredAt == null
        || now.since(proposal.offeredAt).compareTo(retryInterval) >= 0;
  }

  private void offer(List<Member> unanswered, Timestamp now) {
    proposal.offeredAt = now;
    int contentLength = documents.get(proposal.version.hash()).length;
    unanswered.forEach(
        member ->
            effects.send(
                member, new VersionOffer(membership.header(), proposal.version, contentLength)));
  }

  private void end() {
    proposal = null;
    membership.withdrawConfiguration();
  }
}

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
 * The one proposal of this process: offers a version to all members, collects their answers, has
 * membership put it into the next view, and records what became of it.
 */
final class ProposalTracker {
  /** For so many contradiction times a proposal waits for members that do not answer. */
  private static final double ANSWER_TIMEOUT_PERIODS = 0.5;

  /** After so many contradiction times a proposal is given up. */
  private static final double ABANDON_AFTER_PERIODS = 10;

  private static final class Proposal {
    final ConfigurationVersion version;
    final Timestamp startedAt;

    /** When members were last asked; null before the first time. */
    Timestamp offeredAt;

    /** Whether membership was asked to put it into the next view. */
    boolean isSubmitted;

    /** Why each member that answered rejects it; empty if it accepts. */
    final Map<MemberName, String> answers = new HashMap<>();

    Proposal(ConfigurationVersion version, Timestamp startedAt) {
      this.version = version;
      this.startedAt = startedAt;
    }
  }

  private final TimeSpan contradiction;
  private final TimeSpan retryInterval;
  private final Membership membership;
  private final DocumentStore documents;
  private final EffectQueue effects;
  private Proposal proposal;

  /**
   * @param contradiction the stated time for which two processes may contradict each other
   * @param retryInterval after which an unanswered offer is repeated
   */
  ProposalTracker(
      TimeSpan contradiction,
      TimeSpan retryInterval,
      Membership membership,
      DocumentStore documents,
      EffectQueue effects) {
    this.contradiction = contradiction;
    this.retryInterval = retryInterval;
    this.membership = membership;
    this.documents = documents;
    this.effects = effects;
  }

  /** The proposed version, or null if there is no proposal. */
  ConfigurationVersion version() {
    return proposal == null ? null : proposal.version;
  }

  /** Begins to propose a document as the version after that of the view. */
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
   * A member answered an offer.
   *
   * @param rejection why it rejects the version; null if it accepts
   */
  void recordAnswer(MemberName member, ConfigurationVersion version, String rejection) {
    if (proposal != null && version.equals(proposal.version)) {
      proposal.answers.put(member, rejection == null ? "" : rejection);
    }
  }

  /** Takes the proposal as far as the view, the answers and the time allow. */
  void advance(View view, Timestamp now) {
    if (proposal == null || endIfSuperseded(view) || endIfRejected()) {
      return;
    }
    List<Member> missing =
        view.members().stream()
            .filter(member -> !proposal.answers.containsKey(member.name()))
            .toList();
    TimeSpan age = now.since(proposal.startedAt);
    if (age.compareTo(contradiction.times(ABANDON_AFTER_PERIODS)) >= 0) {
      abandon(missing);
      return;
    }
    boolean hasMajority = view.members().size() - missing.size() >= view.majority();
    boolean hasWaited = age.compareTo(contradiction.times(ANSWER_TIMEOUT_PERIODS)) >= 0;
    if (!proposal.isSubmitted && hasMajority && (missing.isEmpty() || hasWaited)) {
      submit(now);
    }
    if (!proposal.isSubmitted && isOfferDue(now)) {
      offer(missing, now);
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
          AgreementEvent.CAME_SECOND, proposal.version + ", held is " + view.configuration());
    }
    end();
    return true;
  }

  private boolean endIfRejected() {
    if (proposal.isSubmitted) {
      return false;
    }
    for (Map.Entry<MemberName, String> answer : proposal.answers.entrySet()) {
      if (!answer.getValue().isEmpty()) {
        effects.record(
            AgreementEvent.REFUSED,
            proposal.version + " by " + answer.getKey() + ": " + answer.getValue());
        end();
        return true;
      }
    }
    return false;
  }

  private void abandon(List<Member> missing) {
    effects.record(
        AgreementEvent.NOT_CHOSEN,
        proposal.version
            + (proposal.isSubmitted
                ? ", it may be yet"
                : ", no answer of " + missing.stream().map(Member::name).toList()));
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

  private void offer(List<Member> missing, Timestamp now) {
    proposal.offeredAt = now;
    int contentLength = documents.get(proposal.version.hash()).length;
    missing.forEach(
        member ->
            effects.send(
                member, new VersionOffer(membership.header(), proposal.version, contentLength)));
  }

  private void end() {
    proposal = null;
    membership.withdrawConfiguration();
  }
}

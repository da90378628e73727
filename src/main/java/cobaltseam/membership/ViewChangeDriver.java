package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipMessage.Accept;
import cobaltseam.membership.MembershipMessage.Accepted;
import cobaltseam.membership.MembershipMessage.Decided;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.Prepare;
import cobaltseam.membership.MembershipMessage.Promise;
import cobaltseam.membership.MembershipMessage.Reject;
import cobaltseam.membership.ViewChange.OutgoingMessage;
import cobaltseam.membership.ViewChange.Transition;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Drives {@link ViewChange}: decides when to propose the next view, repeats messages that may be
 * lost, and answers the messages of a view change.
 *
 * <p>The first member in order that seems alive proposes once the wanted change is stable; each
 * next one waits longer.
 */
final class ViewChangeDriver implements ViewListener {
  /** How long a wanted change must stay the same before it is proposed. */
  private static final double SETTLE_PERIODS = 0.5;

  /** The longest wait for a wanted change to settle, and the time between two full checks. */
  private static final double MAX_SETTLE_PERIODS = 6;

  /** The additional wait of each next proposer in order. */
  private static final double NEXT_PROPOSER_PERIODS = 2;

  /** After this, the votes that are missing count as against removals. */
  private static final double VOTE_TIMEOUT_PERIODS = 0.5;

  private static final double RESEND_PERIODS = 0.125;
  private static final double PROPOSAL_TIMEOUT_PERIODS = 2;
  private static final int DECISION_RESENDS = 2;

  private final MembershipOptions options;
  private final RandomGenerator random;
  private final FailureDetector detector;
  private final LocalView localView;
  private final QuorumTracker quorum;
  private final ViewDeltaPlanner planner;
  private final ViewTransfer transfer;
  private final ActionBuffer actions;

  private ViewDelta wanted = ViewDelta.NONE;
  private Timestamp wantedSince;
  private Timestamp settledFrom;
  private Timestamp proposedAt;
  private Timestamp resendAt;

  /** No proposal before this time, after another proposer had a higher ballot. */
  private Timestamp backoffUntil = new Timestamp(0);

  private Timestamp nextFullCheckAt = new Timestamp(0);

  /** The messages of a decision of this process that are still to be repeated, or null. */
  private List<OutgoingMessage> decision;

  private int decisionResendsLeft;
  private long highestRound;

  /** The configuration version that this process proposes for the next view, or null. */
  private ConfigurationVersion proposedConfiguration;

  private Predicate<ConfigurationVersion> hasDocument = version -> true;

  ViewChangeDriver(
      MembershipOptions options,
      RandomGenerator random,
      FailureDetector detector,
      LocalView localView,
      QuorumTracker quorum,
      ViewDeltaPlanner planner,
      ViewTransfer transfer,
      ActionBuffer actions) {
    this.options = options;
    this.random = random;
    this.detector = detector;
    this.localView = localView;
    this.quorum = quorum;
    this.planner = planner;
    this.transfer = transfer;
    this.actions = actions;
  }

  @Override
  public void onViewChanged(View before, View view, Timestamp now) {
    wanted = ViewDelta.NONE;
    wantedSince = null;
    decision = null;
  }

  /** Whether there is something to propose, to repeat or to wait for. */
  boolean isPending() {
    return localView.state().round() != null || wantedSince != null || decision != null;
  }

  /** Configuration versions are accepted only if their document is here. */
  void setDocumentCheck(Predicate<ConfigurationVersion> check) {
    hasDocument = check;
  }

  /** Proposes a configuration version until it, or another with its number, is installed. */
  void proposeConfiguration(ConfigurationVersion version) {
    proposedConfiguration = version;
  }

  void withdrawConfiguration() {
    proposedConfiguration = null;
  }

  /** Withdraws the configuration version if the view has gone past it. */
  void dropStaleConfiguration() {
    if (proposedConfiguration != null
        && localView.hasView()
        && !isNextConfiguration(proposedConfiguration)) {
      proposedConfiguration = null;
    }
  }

  private boolean isNextConfiguration(ConfigurationVersion version) {
    return version != null
        && version.number() == ConfigurationVersion.numberOf(localView.view().configuration()) + 1;
  }

  private TimeSpan periods(double count) {
    return options.healthCheckInterval().times(count);
  }

  /** Does what is due while a view is held. */
  void onTimer(Timestamp now) {
    if (localView.state().round() != null && !now.isBefore(resendAt)) {
      continueProposal(now);
    }
    if (decision != null && !now.isBefore(resendAt)) {
      resendDecision(now);
    }
    if (detector.hasSuspects() && !now.isBefore(nextFullCheckAt) && planner.proposerRank() == 0) {
      // Members that fail together are found together: one view change for a rack.
      nextFullCheckAt = now.plus(periods(MAX_SETTLE_PERIODS));
      detector.checkAll(localView.view().members(), now);
    }
    proposeIfDue(now);
  }

  private void continueProposal(Timestamp now) {
    resendAt = now.plus(periods(RESEND_PERIODS));
    boolean isLate = now.since(proposedAt).compareTo(periods(VOTE_TIMEOUT_PERIODS)) >= 0;
    take(ViewChange.proceed(localView.state(), detector.header(), isLate), now);
    if (localView.state().round() != null) {
      take(ViewChange.resendUnanswered(localView.state(), detector.header()), now);
    }
  }

  /** A datagram may be lost, and a member that misses the decision acts on an older view. */
  private void resendDecision(Timestamp now) {
    decision.forEach(this::send);
    resendAt = now.plus(periods(SETTLE_PERIODS));
    decisionResendsLeft--;
    if (decisionResendsLeft <= 0) {
      decision = null;
    }
  }

  private void send(OutgoingMessage message) {
    actions.send(message.to(), message.message());
  }

  /** Proposes the next view if there is a change to make and it is this process's turn. */
  void proposeIfDue(Timestamp now) {
    boolean hasMajority = quorum.hasMajority();
    ViewDelta change = hasMajority ? planner.plan(now) : ViewDelta.NONE;
    // A change accepted here may have been chosen without anybody knowing: it must be completed.
    boolean isUnfinished = localView.state().accepted() != null && hasMajority;
    boolean isConfigurationDue = isNextConfiguration(proposedConfiguration);
    if (change.isEmpty() && !isUnfinished && !(isConfigurationDue && hasMajority)) {
      wanted = change;
      wantedSince = null;
      return;
    }
    updateWanted(change, now);
    boolean proposesConfiguration = isConfigurationDue && !isUnfinished;
    boolean isWaiting = isWaiting(now);
    boolean isProposing =
        localView.state().round() != null
            && now.since(proposedAt).compareTo(periods(PROPOSAL_TIMEOUT_PERIODS)) < 0;
    if ((!isWaiting || proposesConfiguration) && !isProposing && !now.isBefore(backoffUntil)) {
      propose(proposesConfiguration, isWaiting, now);
    }
  }

  private void updateWanted(ViewDelta change, Timestamp now) {
    if (wantedSince == null) {
      wantedSince = now;
      settledFrom = now.plus(periods(SETTLE_PERIODS));
    }
    if (!change.equals(wanted)) {
      wanted = change;
      settledFrom = now.plus(periods(SETTLE_PERIODS));
    }
  }

  /** Whether it is another member's turn, or the wanted change may still grow. */
  private boolean isWaiting(Timestamp now) {
    boolean isUnsettled = now.isBefore(settledFrom) || planner.hasConfirmedSuspect();
    Timestamp turn = wantedSince.plus(periods(NEXT_PROPOSER_PERIODS * planner.proposerRank()));
    return now.isBefore(turn)
        || isUnsettled && now.isBefore(turn.plus(periods(MAX_SETTLE_PERIODS)));
  }

  /**
   * A configuration version waits for no turn; the wanted change of members goes with it only if
   * that waits no longer.
   */
  private void propose(boolean withConfiguration, boolean isWaiting, Timestamp now) {
    proposedAt = now;
    resendAt = now.plus(periods(RESEND_PERIODS));
    ViewDelta proposal = wanted;
    if (withConfiguration) {
      List<Member> removed = isWaiting ? List.of() : wanted.removed();
      List<Member> added = isWaiting ? List.of() : wanted.added();
      proposal = new ViewDelta(removed, added, proposedConfiguration);
    }
    take(ViewChange.propose(localView.state(), detector.header(), proposal, highestRound), now);
  }

  /** Takes over the state after a step and sends its messages; those to itself at once. */
  private void take(Transition transition, Timestamp now) {
    View before = localView.view();
    View next = transition.state().view();
    if (next != before && !localView.containsSelf(next)) {
      // It completed an earlier choice, and that removes this process.
      transition.messages().forEach(this::send);
      localView.leaveRemovedBy(next, now);
      return;
    }
    localView.setState(transition.state(), now);
    if (next != before && !transition.messages().isEmpty()) {
      decision = transition.messages().stream().filter(t -> !isToSelf(t)).toList();
      decisionResendsLeft = DECISION_RESENDS;
      resendAt = now.plus(periods(RESEND_PERIODS));
    }
    for (OutgoingMessage message : transition.messages()) {
      if (isToSelf(message)) {
        receive(message.message(), now);
      } else {
        send(message);
      }
    }
  }

  private boolean isToSelf(OutgoingMessage message) {
    return message.to().name().equals(detector.self().name());
  }

  /** Processes a message of a view change; ignores others. */
  void receive(MembershipMessage message, Timestamp now) {
    MessageHeader from = message.from();
    ViewState state = localView.state();
    MessageHeader self = detector.header();
    if (message instanceof Prepare prepare) {
      if (counts(prepare.viewId(), from, prepare.ballot())) {
        List<MemberName> retained = planner.retained(prepare.removed(), now);
        take(ViewChange.receivePrepare(state, self, prepare, retained), now);
      }
    } else if (message instanceof Promise promise) {
      if (counts(promise.viewId(), from, null)) {
        take(ViewChange.receivePromise(state, self, promise), now);
      }
    } else if (message instanceof Reject reject) {
      if (counts(reject.viewId(), from, reject.promised())) {
        receiveReject(reject, now);
      }
    } else if (message instanceof Accept accept) {
      if (counts(accept.viewId(), from, accept.ballot()) && hasDocumentFor(accept.value())) {
        take(ViewChange.receiveAccept(state, self, accept), now);
      }
    } else if (message instanceof Accepted accepted) {
      if (counts(accepted.viewId(), from, null)) {
        take(ViewChange.receiveAccepted(state, self, accepted), now);
      }
    } else if (message instanceof Decided decided) {
      receiveDecided(decided, now);
    }
  }

  private boolean hasDocumentFor(ViewDelta change) {
    return change.configuration() == null || hasDocument.test(change.configuration());
  }

  /** Whether a message counts for this process's vote; remembers the highest round seen. */
  private boolean counts(ViewId viewId, MessageHeader from, Ballot ballot) {
    if (ballot != null) {
      highestRound = Math.max(highestRound, Math.min(ballot.round(), Long.MAX_VALUE / 2));
    }
    // The view may hold a former incarnation of this process, which has no vote.
    return !quorum.isRestoredViewUnconfirmed()
        && ViewChange.isFromVoter(localView.state(), from, viewId)
        && localView.containsSelf(localView.view());
  }

  private void receiveReject(Reject reject, Timestamp now) {
    ViewState.ProposalRound round = localView.state().round();
    if (round != null && round.ballot().equals(reject.ballot())) {
      localView.dropProposal();
      backoffUntil = now.plus(periods(random.nextDouble()));
    }
  }

  private void receiveDecided(Decided decided, Timestamp now) {
    View view = localView.view();
    if (view != null && view.id().equals(decided.viewId())) {
      localView.follow(view.apply(decided.value()), now);
    } else if (view == null && decided.value().added().contains(detector.self())) {
      transfer.requestDecided(decided);
    }
  }
}

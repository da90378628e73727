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
 * Runs the protocol of {@link ViewChange}: decides when to propose the next view, repeats messages
 * that may have been lost, and processes the messages of a view change.
 *
 * <p>The first alive member in the order of proposers ({@link ViewDeltaPlanner#proposerRank})
 * proposes once its wanted change is stable. Each later member in that order waits longer.
 */
final class ViewChangeDriver implements ViewListener {
  /**
   * How long a wanted change must stay the same before it is proposed, and the time between two
   * repetitions of a decision.
   */
  private static final double STABLE_AFTER_PERIODS = 0.5;

  /**
   * The longest wait for a wanted change to become stable, and the time between two health checks
   * of all members.
   */
  private static final double MAX_STABILITY_WAIT_PERIODS = 6;

  /** The additional wait per rank in the order of proposers. */
  private static final double PROPOSER_RANK_DELAY_PERIODS = 2;

  /** How long a proposal waits for missing votes, which then count against removals. */
  private static final double VOTE_TIMEOUT_PERIODS = 0.5;

  /** The time after which unanswered messages are sent again. */
  private static final double RESEND_PERIODS = 0.125;

  /** The time after which a proposal without a decision is replaced by a new one. */
  private static final double PROPOSAL_TIMEOUT_PERIODS = 2;

  /** How often a decision is sent again. */
  private static final int DECISION_RESENDS = 2;

  private final MembershipOptions options;
  private final RandomGenerator random;
  private final FailureDetector detector;
  private final LocalView localView;
  private final QuorumTracker quorum;
  private final ViewDeltaPlanner planner;
  private final ViewTransfer transfer;
  private final ActionBuffer actions;

  private ViewDelta wantedChange = ViewDelta.NONE;
  private Timestamp wantedSince;
  private Timestamp stableFrom;
  private Timestamp proposedAt;
  private Timestamp resendAt;

  /** The time before which this process proposes nothing, after a rejection by a voter. */
  private Timestamp backoffUntil = new Timestamp(0);

  private Timestamp nextFullCheckAt = new Timestamp(0);

  /** The messages of this process's last decision that still have to be repeated, or null. */
  private List<OutgoingMessage> decisionMessages;

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
    wantedChange = ViewDelta.NONE;
    wantedSince = null;
    decisionMessages = null;
  }

  /** Whether a proposal, a wanted change or the repetition of a decision is pending. */
  boolean isPending() {
    return localView.state().round() != null || wantedSince != null || decisionMessages != null;
  }

  /**
   * Sets the check whether this process has the document of a configuration version. A version is
   * accepted only if it passes the check.
   */
  void setDocumentCheck(Predicate<ConfigurationVersion> check) {
    hasDocument = check;
  }

  /** Proposes a configuration version until it, or another with its number, is installed. */
  void proposeConfiguration(ConfigurationVersion version) {
    proposedConfiguration = version;
  }

  /** Stops proposing a configuration version. */
  void withdrawConfiguration() {
    proposedConfiguration = null;
  }

  /**
   * Stops proposing a configuration version that can no longer be the next one of the installed
   * view.
   */
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

  /** Does the work that is due; called only while a view is installed. */
  void onTimer(Timestamp now) {
    if (localView.state().round() != null && !now.isBefore(resendAt)) {
      continueProposal(now);
    }
    if (decisionMessages != null && !now.isBefore(resendAt)) {
      resendDecision(now);
    }
    if (detector.hasSuspects() && !now.isBefore(nextFullCheckAt) && planner.proposerRank() == 0) {
      // The check of all members detects members that failed together, such as those of a rack,
      // at the same time, so that one view change removes them.
      nextFullCheckAt = now.plus(periods(MAX_STABILITY_WAIT_PERIODS));
      detector.checkAll(localView.view().members(), now);
    }
    proposeIfDue(now);
  }

  private void continueProposal(Timestamp now) {
    resendAt = now.plus(periods(RESEND_PERIODS));
    boolean hasVoteTimeoutExpired =
        now.since(proposedAt).compareTo(periods(VOTE_TIMEOUT_PERIODS)) >= 0;
    applyTransition(
        ViewChange.startAcceptPhase(localView.state(), detector.header(), hasVoteTimeoutExpired),
        now);
    if (localView.state().round() != null) {
      applyTransition(ViewChange.resendUnanswered(localView.state(), detector.header()), now);
    }
  }

  /**
   * Repeats the decision, because datagrams may be lost and a member that misses the decision keeps
   * using the former view.
   */
  private void resendDecision(Timestamp now) {
    decisionMessages.forEach(this::send);
    resendAt = now.plus(periods(STABLE_AFTER_PERIODS));
    decisionResendsLeft--;
    if (decisionResendsLeft <= 0) {
      decisionMessages = null;
    }
  }

  private void send(OutgoingMessage message) {
    actions.send(message.to(), message.message());
  }

  /** Proposes the next view if a change is wanted and it is this process's turn. */
  void proposeIfDue(Timestamp now) {
    boolean hasMajority = quorum.hasMajority();
    ViewDelta change = hasMajority ? planner.plan(now) : ViewDelta.NONE;
    // A change that this process accepted may already have been chosen by a majority without any
    // process knowing it, so the view change has to be completed.
    boolean isUnfinished = localView.state().accepted() != null && hasMajority;
    boolean isConfigurationDue = isNextConfiguration(proposedConfiguration);
    if (change.isEmpty() && !isUnfinished && !(isConfigurationDue && hasMajority)) {
      wantedChange = change;
      wantedSince = null;
      return;
    }
    updateWantedChange(change, now);
    boolean proposesConfiguration = isConfigurationDue && !isUnfinished;
    boolean isWaiting = isWaiting(now);
    boolean isProposing =
        localView.state().round() != null
            && now.since(proposedAt).compareTo(periods(PROPOSAL_TIMEOUT_PERIODS)) < 0;
    if ((!isWaiting || proposesConfiguration) && !isProposing && !now.isBefore(backoffUntil)) {
      propose(proposesConfiguration, isWaiting, now);
    }
  }

  private void updateWantedChange(ViewDelta change, Timestamp now) {
    if (wantedSince == null) {
      wantedSince = now;
      stableFrom = now.plus(periods(STABLE_AFTER_PERIODS));
    }
    if (!change.equals(wantedChange)) {
      wantedChange = change;
      stableFrom = now.plus(periods(STABLE_AFTER_PERIODS));
    }
  }

  /** Whether it is an earlier proposer's turn, or the wanted change may still grow. */
  private boolean isWaiting(Timestamp now) {
    boolean isUnstable = now.isBefore(stableFrom) || planner.hasConfirmedSuspect();
    Timestamp turnStartsAt =
        wantedSince.plus(periods(PROPOSER_RANK_DELAY_PERIODS * planner.proposerRank()));
    return now.isBefore(turnStartsAt)
        || isUnstable && now.isBefore(turnStartsAt.plus(periods(MAX_STABILITY_WAIT_PERIODS)));
  }

  /**
   * Starts a proposal. A configuration version is proposed without waiting for this process's turn.
   *
   * @param isWaiting whether the wanted change of members still has to wait; then the proposal
   *     contains the configuration version only
   */
  private void propose(boolean withConfiguration, boolean isWaiting, Timestamp now) {
    proposedAt = now;
    resendAt = now.plus(periods(RESEND_PERIODS));
    ViewDelta proposal = wantedChange;
    if (withConfiguration) {
      List<Member> removed = isWaiting ? List.of() : wantedChange.removed();
      List<Member> added = isWaiting ? List.of() : wantedChange.added();
      proposal = new ViewDelta(removed, added, proposedConfiguration);
    }
    applyTransition(
        ViewChange.propose(localView.state(), detector.header(), proposal, highestRound), now);
  }

  /**
   * Sets the state after a transition and sends its messages. Messages to this process are received
   * at once.
   */
  private void applyTransition(Transition transition, Timestamp now) {
    View before = localView.view();
    View next = transition.state().view();
    if (next != before && !localView.containsSelf(next)) {
      // This process completed a change that was accepted earlier and that removes it.
      transition.messages().forEach(this::send);
      localView.leaveAfterRemovalBy(next, now);
      return;
    }
    localView.setState(transition.state(), now);
    if (next != before && !transition.messages().isEmpty()) {
      decisionMessages = transition.messages().stream().filter(m -> !isToSelf(m)).toList();
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

  /** Processes a message of a view change; ignores all other messages. */
  void receive(MembershipMessage message, Timestamp now) {
    MessageHeader from = message.from();
    ViewState state = localView.state();
    MessageHeader self = detector.header();
    if (message instanceof Prepare prepare) {
      if (acceptVoter(prepare.viewId(), from, prepare.ballot())) {
        List<MemberName> retained = planner.retained(prepare.removed(), now);
        applyTransition(ViewChange.receivePrepare(state, self, prepare, retained), now);
      }
    } else if (message instanceof Promise promise) {
      if (acceptVoter(promise.viewId(), from, null)) {
        applyTransition(ViewChange.receivePromise(state, self, promise), now);
      }
    } else if (message instanceof Reject reject) {
      if (acceptVoter(reject.viewId(), from, reject.promised())) {
        receiveReject(reject, now);
      }
    } else if (message instanceof Accept accept) {
      if (acceptVoter(accept.viewId(), from, accept.ballot()) && hasDocumentFor(accept.value())) {
        applyTransition(ViewChange.receiveAccept(state, self, accept), now);
      }
    } else if (message instanceof Accepted accepted) {
      if (acceptVoter(accepted.viewId(), from, null)) {
        applyTransition(ViewChange.receiveAccepted(state, self, accepted), now);
      }
    } else if (message instanceof Decided decided) {
      receiveDecided(decided, now);
    }
  }

  private boolean hasDocumentFor(ViewDelta change) {
    return change.configuration() == null || hasDocument.test(change.configuration());
  }

  /**
   * Records the round of a message's ballot, and returns whether the sender and this process both
   * vote in the installed view.
   *
   * @param ballot the ballot, or null if the message has none to record
   */
  private boolean acceptVoter(ViewId viewId, MessageHeader from, Ballot ballot) {
    if (ballot != null) {
      highestRound = Math.max(highestRound, Math.min(ballot.round(), Long.MAX_VALUE / 2));
    }
    // If the view contains an earlier incarnation of this process, this process has no vote.
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
      localView.installOrLeave(view.apply(decided.value()), now);
    } else if (view == null && decided.value().added().contains(detector.self())) {
      transfer.requestDecided(decided);
    }
  }
}

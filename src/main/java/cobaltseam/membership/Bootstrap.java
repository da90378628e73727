package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipMessage.BootstrapConsent;
import cobaltseam.membership.MembershipMessage.BootstrapRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Creates the first view of a lineage. The first bootstrap member in the configured order asks all
 * other bootstrap members to consent to a first view of exactly these processes. Each of them
 * consents only to the latest attempt of the latest incarnation of that member, and to none while
 * it has a view or knows of an existing one. So a second bootstrap succeeds only if no bootstrap
 * member has a view or knows of one.
 */
final class Bootstrap implements ViewListener {
  /** Health check periods after the start in which peers can report an existing view. */
  private static final int VIEW_DISCOVERY_PERIODS = 3;

  /** Health check periods between two requests for the missing consents. */
  private static final double RETRY_PERIODS = 0.5;

  private final MembershipOptions options;
  private final FailureDetector detector;
  private final LocalView localView;
  private final LineageHistory lineages;
  private final LineageGuard guard;
  private final ViewTransfer transfer;
  private final ActionBuffer actions;
  private Timestamp startedAt;
  private Timestamp requestedAt;
  private long attempt;

  /** The members of the first view that the current attempt proposes, or null. */
  private List<Member> proposedMembers;

  private final Set<MemberName> consents = new HashSet<>();
  private Incarnation consentedTo;
  private long consentedAttempt;

  Bootstrap(
      MembershipOptions options,
      FailureDetector detector,
      LocalView localView,
      LineageHistory lineages,
      LineageGuard guard,
      ViewTransfer transfer,
      ActionBuffer actions) {
    this.options = options;
    this.detector = detector;
    this.localView = localView;
    this.lineages = lineages;
    this.guard = guard;
    this.transfer = transfer;
    this.actions = actions;
  }

  /** Restores the last consent from the state of the former process. */
  void restore(PersistentState former) {
    consentedTo = former.consentedTo();
    consentedAttempt = former.consentedAttempt();
  }

  @Override
  public void onViewChanged(View before, View view, Timestamp now) {
    requestedAt = null;
    proposedMembers = null;
  }

  /** Starts the period in which peers can report an existing view. */
  void start(Timestamp now) {
    startedAt = now;
  }

  /** The incarnation of the process that this process last consented to, or null. */
  Incarnation consentedTo() {
    return consentedTo;
  }

  /** The attempt of the process {@link #consentedTo} that was last consented to. */
  long consentedAttempt() {
    return consentedAttempt;
  }

  /**
   * Requests missing consents, if this process is the first bootstrap member and knows of no
   * existing view.
   */
  void onTimer(Timestamp now) {
    if (!canBootstrap(now)) {
      return;
    }
    Member self = detector.self();
    if (lineages.hasLeft(self.incarnation().value())) {
      // A lineage is numbered by the incarnation of the process that began it. A new lineage
      // therefore needs a new incarnation.
      detector.startNewIncarnation();
    }
    List<Member> members = aliveBootstrapMembers();
    if (members.size() < options.bootstrapMembers().size()) {
      return;
    }
    if (!members.equals(proposedMembers)) {
      proposedMembers = members;
      attempt++;
      consents.clear();
      consents.add(self.name());
    } else if (requestedAt != null
        && now.since(requestedAt).compareTo(periods(RETRY_PERIODS)) < 0) {
      return;
    }
    requestedAt = now;
    members.stream().filter(m -> !consents.contains(m.name())).forEach(this::requestConsent);
    completeIfAgreed(now);
  }

  private TimeSpan periods(double count) {
    return options.healthCheckInterval().times(count);
  }

  private boolean canBootstrap(Timestamp now) {
    List<MemberName> names = options.bootstrapMembers();
    return !names.isEmpty()
        && names.get(0).equals(detector.self().name())
        && !detector.isSilenced(now)
        && now.since(startedAt).compareTo(periods(VIEW_DISCOVERY_PERIODS)) >= 0
        && !guard.isExistingViewKnown();
  }

  private List<Member> aliveBootstrapMembers() {
    Member self = detector.self();
    List<Member> members = new ArrayList<>();
    for (MemberName name : options.bootstrapMembers()) {
      Peer peer = detector.peer(name);
      if (name.equals(self.name())) {
        members.add(self);
      } else if (peer != null && peer.isAlive() && peer.lastReceivedAt() != null) {
        members.add(peer.member());
      }
    }
    return members;
  }

  private void requestConsent(Member member) {
    actions.send(member, new BootstrapRequest(detector.header(), attempt, proposedMembers));
  }

  private void completeIfAgreed(Timestamp now) {
    if (proposedMembers == null || consents.size() < proposedMembers.size()) {
      return;
    }
    Member self = detector.self();
    View firstView = View.of(new ViewId(self.incarnation().value(), 1), proposedMembers);
    localView.setState(ViewState.of(firstView), now);
    firstView.members().stream().filter(m -> !m.equals(self)).forEach(m -> transfer.sendPart(m, 0));
  }

  /** Counts a consent to the current attempt, and installs the first view if it was the last. */
  void receiveConsent(BootstrapConsent consent, Timestamp now) {
    Member from = consent.from().member();
    if (proposedMembers != null && consent.attempt() == attempt && proposedMembers.contains(from)) {
      consents.add(from.name());
      completeIfAgreed(now);
    }
  }

  /**
   * Consents to a request, unless a view may exist or this process has consented to a later
   * request.
   */
  void receiveRequest(BootstrapRequest request) {
    Member requester = request.from().member();
    List<MemberName> names = request.members().stream().map(Member::name).sorted().toList();
    if (localView.hasView()
        || guard.isExistingViewKnown()
        || !names.equals(options.bootstrapMembers())
        || !requester.name().equals(names.get(0))
        || !request.members().contains(detector.self())) {
      return;
    }
    int incarnationOrder = consentedTo == null ? 1 : requester.incarnation().compareTo(consentedTo);
    if (incarnationOrder > 0 || incarnationOrder == 0 && request.attempt() >= consentedAttempt) {
      consentedTo = requester.incarnation();
      consentedAttempt = request.attempt();
      actions.send(requester, new BootstrapConsent(detector.header(), request.attempt()));
    }
  }
}

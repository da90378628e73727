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
 * Creates the first view of a lineage. The first of the bootstrap members asks all others for
 * consent to exactly these processes, and each consents to one attempt of one process. So a lineage
 * begins once, or when nobody is left that held it.
 */
final class Bootstrap implements ViewListener {
  /** For so many periods after the start, a process waits for a view that exists already. */
  private static final int LISTEN_PERIODS = 3;

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

  /** The processes of the current attempt, or null. */
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

  void restore(PersistentState former) {
    consentedTo = former.consentedTo();
    consentedAttempt = former.consentedAttempt();
  }

  @Override
  public void onViewChanged(View before, View view, Timestamp now) {
    requestedAt = null;
    proposedMembers = null;
  }

  void start(Timestamp now) {
    startedAt = now;
  }

  /** The process that consent was last given to, or null. */
  Incarnation consentedTo() {
    return consentedTo;
  }

  /** The attempt of that process. */
  long consentedAttempt() {
    return consentedAttempt;
  }

  /** Asks for consents, where this process is the one to do so and no view may exist. */
  void onTimer(Timestamp now) {
    if (!canBootstrap(now)) {
      return;
    }
    Member self = detector.self();
    if (lineages.hasLeft(self.incarnation().value())) {
      // A lineage is numbered by the incarnation that began it: the next one needs another.
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
        && now.since(startedAt).compareTo(periods(LISTEN_PERIODS)) >= 0
        && !guard.isViewReported();
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
    View first = View.of(new ViewId(self.incarnation().value(), 1), proposedMembers);
    localView.setState(ViewState.of(first), now);
    first.members().stream().filter(m -> !m.equals(self)).forEach(m -> transfer.sendPart(m, 0));
  }

  /** Counts a consent to the current attempt. */
  void receiveConsent(BootstrapConsent consent, Timestamp now) {
    Member from = consent.from().member();
    if (proposedMembers != null && consent.attempt() == attempt && proposedMembers.contains(from)) {
      consents.add(from.name());
      completeIfAgreed(now);
    }
  }

  /** Consents to a request, unless a view may exist or a later request had consent already. */
  void receiveRequest(BootstrapRequest request) {
    Member requester = request.from().member();
    List<MemberName> names = request.members().stream().map(Member::name).sorted().toList();
    if (localView.hasView()
        || guard.isViewReported()
        || !names.equals(options.bootstrapMembers())
        || !requester.name().equals(names.get(0))
        || !request.members().contains(detector.self())) {
      return;
    }
    int order = consentedTo == null ? 1 : requester.incarnation().compareTo(consentedTo);
    if (order > 0 || order == 0 && request.attempt() >= consentedAttempt) {
      consentedTo = requester.incarnation();
      consentedAttempt = request.attempt();
      actions.send(requester, new BootstrapConsent(detector.header(), request.attempt()));
    }
  }
}

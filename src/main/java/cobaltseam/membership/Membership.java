package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.BootstrapConsent;
import cobaltseam.membership.MembershipMessage.BootstrapRequest;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.ViewPart;
import cobaltseam.membership.MembershipMessage.ViewRequest;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The membership of one process in its fleet: agreed views on top of the {@link FailureDetector}.
 * It does no I/O and starts no thread: time, randomness and messages come from the caller, which
 * calls {@link #onTimer} no later than at {@link #nextWakeup} and performs the returned actions in
 * their order. It is not thread-safe.
 *
 * <p>A view follows only from its predecessor, by agreement of a majority of the predecessor's
 * members ({@link ViewChange}). The first member in order that is considered alive proposes the
 * next view once the required change is stable; if its proposal does not succeed, the next member
 * in order proposes. Each voter names the members that it would retain, and no member is removed
 * without a majority that agrees.
 */
public final class Membership {
  /** The time between timer calls while a view change or a view transfer is pending. */
  private static final double PENDING_WAKEUP_PERIODS = 0.125;

  private final MembershipOptions options;
  private final ActionBuffer actions = new ActionBuffer();
  private final FailureDetector detector;
  private final LineageHistory lineages;
  private final LocalView localView;
  private final QuorumTracker quorum;
  private final RemovedMembers removedMembers;
  private final LineageGuard lineageGuard;
  private final ViewTransfer transfer;
  private final ViewChangeDriver driver;
  private final Bootstrap bootstrap;
  private final Rebootstrap rebootstrap;
  private final StatePersistence persistence;
  private boolean isLeaving;

  /**
   * Creates the membership of a process with a state folder. The process continues as the persisted
   * member if that has the same name and address. If only the name is the same, the process starts
   * without the persisted state, in a higher incarnation. State of another name is ignored.
   *
   * @param persisted the state that the folder contains; null if the folder is new
   */
  public static Membership withFolder(
      MembershipOptions options, Member self, PersistentState persisted, RandomGenerator random) {
    if (persisted == null || !persisted.self().name().equals(self.name())) {
      return new Membership(options, self, random, null, 1);
    }
    if (persisted.self().peerAddress().equals(self.peerAddress())) {
      return new Membership(options, persisted.self(), random, persisted, persisted.starts() + 1);
    }
    long incarnation =
        Math.max(self.incarnation().value(), persisted.self().incarnation().value() + 1);
    Member successor = new Member(self.name(), new Incarnation(incarnation), self.peerAddress());
    return new Membership(options, successor, random, null, 1);
  }

  /** Creates the membership of a process without a state folder; its promises end with it. */
  public Membership(MembershipOptions options, Member self, RandomGenerator random) {
    this(options, self, random, null, 0);
  }

  private Membership(
      MembershipOptions options,
      Member self,
      RandomGenerator random,
      PersistentState persisted,
      long starts) {
    this.options = options;
    detector = new FailureDetector(options, self, random, actions);
    lineages = new LineageHistory(detector, actions);
    ViewState initial = persisted == null ? ViewState.NONE : persisted.viewState();
    localView = new LocalView(initial, detector, lineages, actions);
    quorum = new QuorumTracker(options, detector, localView, initial.view() != null);
    removedMembers = new RemovedMembers(options);
    lineageGuard = new LineageGuard(detector, localView, lineages, quorum, actions);
    transfer = new ViewTransfer(options, detector, localView, lineages, actions);
    ViewDeltaPlanner planner =
        new ViewDeltaPlanner(options, detector, localView, quorum, removedMembers);
    driver =
        new ViewChangeDriver(
            options, random, detector, localView, quorum, planner, transfer, actions);
    bootstrap =
        new Bootstrap(options, detector, localView, lineages, lineageGuard, transfer, actions);
    rebootstrap = new Rebootstrap(detector, localView, lineages, quorum, actions);
    persistence = new StatePersistence(detector, localView, lineages, bootstrap, actions, starts);
    List.of(quorum, removedMembers, transfer, driver, bootstrap).forEach(localView::addListener);
    if (starts > 0) {
      detector.setStartNumber(starts);
    }
    if (persisted != null) {
      lineages.restore(persisted);
      bootstrap.restore(persisted);
    }
  }

  /** This process; its incarnation may increase over time. */
  public Member self() {
    return detector.self();
  }

  /** The installed view, or null. */
  public View view() {
    return localView.view();
  }

  /**
   * Whether this process may rely on its view now. If the process may have been suspended, the
   * caller calls {@link #onTimer} first.
   */
  public QuorumState quorumState() {
    return quorum.state();
  }

  /**
   * The number of dispatchers among which the engines are divided: the members of the view and the
   * removed members whose attempts may still occupy engines. It increases as soon as a view adds a
   * member and decreases only once the attempts of removed members have ended. Zero without a view.
   */
  public int engineSharerCount(Timestamp now) {
    int occupyingCount = removedMembers.occupyingMemberCount(now);
    return localView.hasView() ? view().members().size() + occupyingCount : 0;
  }

  /** When {@link #engineSharerCount} next decreases without a new view; null if it will not. */
  public Timestamp nextEngineSharerExpiry() {
    return removedMembers.nextExpiry();
  }

  /**
   * The status of a member as this process sees it, for operators.
   *
   * @param statusVersion the status version of the member
   * @param conditionSince when the condition last changed
   * @param lastReceivedAt when a message of the member was last received; null if never
   * @param roundTrip the round-trip time of the last answered health check; null before the first
   * @param suspectedBy the names of the members that suspect the member, sorted
   */
  public record MemberStatus(
      Member member,
      long statusVersion,
      MemberCondition condition,
      Timestamp conditionSince,
      Timestamp lastReceivedAt,
      TimeSpan roundTrip,
      List<MemberName> suspectedBy) {}

  /** The status of all known peers, by name. */
  public List<MemberStatus> memberStatuses() {
    return detector.peers().stream().map(Membership::status).toList();
  }

  private static MemberStatus status(Peer peer) {
    return new MemberStatus(
        peer.member(),
        peer.statusVersion(),
        peer.condition(),
        peer.conditionSince(),
        peer.lastReceivedAt(),
        peer.roundTrip(),
        peer.suspectedBy().stream().sorted().toList());
  }

  /** The health score of this process, from 0 for healthy to {@link LocalHealth#MAX_SCORE}. */
  public int healthScore() {
    return detector.healthScore();
  }

  /** When the view was installed, or confirmed after a restart; null before the first view. */
  public Timestamp viewInstalledAt() {
    return localView.installedAt();
  }

  /** The duration below which a suspension of a process does not lead to its removal. */
  public TimeSpan toleratedSuspension() {
    return detector.minSuspicionTimeout();
  }

  /** Whether the state is persisted, so that promises remain valid after this process ends. */
  public boolean isPersistent() {
    return persistence.isEnabled();
  }

  /** Starts membership; called once, before all other methods that take a time. */
  public List<MembershipAction> start(Timestamp now) {
    bootstrap.start(now);
    detector.start(now);
    if (localView.hasView()) {
      // The view comes from the state folder: this process is a member of it again once a majority
      // has confirmed the view.
      localView.markRestored(now);
      detector.addMembers(view().members(), now);
      detector.reportView(view().id(), false);
      quorum.requireConfirmation(now);
    }
    lineages.reportLatestEnded();
    return finish();
  }

  /** Notifies peers that this process leaves; it ignores all further messages and timer calls. */
  public List<MembershipAction> leave(Timestamp now) {
    if (!isLeaving) {
      detector.leave();
      isLeaving = true;
    }
    return finish();
  }

  /** The time by which {@link #onTimer} must be called next; null once this process has left. */
  public Timestamp nextWakeup(Timestamp now) {
    if (isLeaving) {
      return null;
    }
    Timestamp next = detector.nextWakeup(now);
    Timestamp pendingWakeup = now.plus(options.healthCheckInterval().times(PENDING_WAKEUP_PERIODS));
    boolean isPending = driver.isPending() || transfer.isPending();
    return isPending && pendingWakeup.isBefore(next) ? pendingWakeup : next;
  }

  /** Adds a write of the state if it has changed, and returns the actions to perform now. */
  private List<MembershipAction> finish() {
    persistence.update();
    return actions.drain();
  }

  /**
   * Processes the report that the state with this number, and all earlier ones, have been written.
   * After {@link #onStateWriteFailed} the state folder is used again from then on.
   *
   * @return the actions that were withheld for them, and the write of the present state if the
   *     folder is used again
   */
  public List<MembershipAction> onStateWritten(long number) {
    if (persistence.endOutage()) {
      actions.recordEvent(
          MembershipEvent.FOLDER_RESTORED, self().name(), "the state folder can be written again");
      return finish();
    }
    return persistence.onWritten(number);
  }

  /**
   * Processes the report that the state could not be written for long. Messages that were withheld
   * for the write have not been sent, so the state folder covers all messages that this member has
   * sent. The process continues without the state folder, in a higher incarnation, until the caller
   * reports that the last write has succeeded after all.
   *
   * @param cause the cause, for the log
   */
  public List<MembershipAction> onStateWriteFailed(String cause, Timestamp now) {
    if (persistence.isEnabled()) {
      persistence.beginOutage();
      actions.recordEvent(MembershipEvent.FOLDER_LOST, self().name(), cause);
      detector.startNewIncarnation();
      if (localView.hasView()) {
        localView.leaveLineage(MembershipEvent.LINE_LEFT, "the state folder is lost", now);
      }
    }
    return finish();
  }

  /** Performs the work that is due at this time. */
  public List<MembershipAction> onTimer(Timestamp now) {
    runDueWork(now);
    return finish();
  }

  /** Runs the failure detector's timer, then the work on the view. */
  private void runDueWork(Timestamp now) {
    if (!isLeaving) {
      MemberName name = self().name();
      TimeSpan delay = detector.onTimer(now);
      if (delay.isPositive() && localView.hasView()) {
        // A majority may have removed this process meanwhile, so it has to confirm the view first.
        actions.recordEvent(
            MembershipEvent.STOOD_STILL, name, "timer late by " + delay.us() / 1000 + " ms");
        quorum.requireConfirmation(now);
      }
      advance(now);
    }
  }

  private void advance(Timestamp now) {
    driver.dropStaleConfiguration();
    quorum.updateConfirmation(now);
    lineageGuard.leaveUnrecoverableLineage(now);
    quorum.update(now);
    if (localView.hasView()) {
      transfer.retry(now);
      driver.onTimer(now);
    } else {
      bootstrap.onTimer(now);
    }
  }

  /**
   * Sets the access to the documents of configuration versions. This process accepts a version only
   * if it has the document, so that a majority has the document of each chosen version. Without
   * this call, it accepts any version.
   *
   * @param hasDocument whether this process has the document of a version
   * @param documentOf the document of a version, or null if this process does not have it; it is
   *     persisted with the vote
   */
  public void setDocumentAccess(
      Predicate<ConfigurationVersion> hasDocument,
      Function<ConfigurationVersion, byte[]> documentOf) {
    driver.setDocumentCheck(hasDocument);
    persistence.setDocumentSource(documentOf);
  }

  /** The configuration version that this process has accepted for the next view, or null. */
  public ConfigurationVersion acceptedConfiguration() {
    return localView.acceptedConfiguration();
  }

  /** Stops proposing a configuration version; a ballot under way may still choose it. */
  public void withdrawConfiguration() {
    driver.withdrawConfiguration();
  }

  /** Proposes a configuration version until it, or another one with its number, is installed. */
  public List<MembershipAction> proposeConfiguration(ConfigurationVersion version, Timestamp now) {
    driver.proposeConfiguration(version);
    if (!isLeaving && localView.hasView()) {
      driver.proposeIfDue(now);
    }
    return finish();
  }

  /**
   * Whether this process is a member of its view and has accepted no successor of it. If this holds
   * for a majority, the view had no successor at that time. False without a view, and after a
   * restart until the view is confirmed.
   */
  public boolean hasAcceptedNoSuccessor() {
    return localView.hasView()
        && localView.state().accepted() == null
        && !quorum.isRestoredViewUnconfirmed()
        && localView.containsSelf(view());
  }

  /** Whether all members of the installed view, which is required, reported it or a later one. */
  public boolean isViewReportedByAll() {
    for (Member member : view().members()) {
      if (!member.name().equals(self().name()) && !hasReportedView(member)) {
        return false;
      }
    }
    return true;
  }

  private boolean hasReportedView(Member member) {
    Peer peer = detector.peer(member.name());
    return peer != null
        && peer.isSameProcess(member)
        && (peer.viewId().equals(view().id()) || peer.viewId().isAfter(view().id()));
  }

  /**
   * Processes the header of a message of another module.
   *
   * @return whether the module should process the message
   */
  public boolean acceptSender(PeerMessage message, Timestamp now) {
    if (isLeaving || detector.isSilenced(now) || !detector.acceptSender(message.from(), now)) {
      return false;
    }
    transfer.requestIfBehind(message.from(), now);
    return true;
  }

  /** The header of every message that this process sends now. */
  public MessageHeader header() {
    return detector.header();
  }

  /**
   * Re-bootstraps on request of an operator, who declares the majority of a view permanently lost.
   * This process begins a new lineage alone, and the remaining members of the view join it. If the
   * old majority is alive after all, its lineage takes precedence because it is older.
   *
   * @param lost the view, which must be the installed view of this process
   * @return the actions; {@link MembershipEvent#NOT_FOUNDED_ANEW} with the cause if the majority
   *     may still be alive
   */
  public List<MembershipAction> rebootstrap(ViewId lost, Timestamp now) {
    // The timer call detects a suspension, after which the conditions of peers may be outdated.
    runDueWork(now);
    rebootstrap.run(lost, now);
    return finish();
  }

  /** Processes a message that the transport has authenticated as one of this fleet. */
  public List<MembershipAction> receive(MembershipMessage message, Timestamp now) {
    boolean isProcessedWhileSilenced =
        message instanceof MembershipMessage.StatePart
            || message instanceof MembershipMessage.NameTaken;
    MessageHeader from = message.from();
    if (!isLeaving
        && (isProcessedWhileSilenced || !detector.isSilenced(now))
        && detector.acceptSender(from, now)) {
      detector.receive(message, now);
      lineages.recordEnded(from.endedView());
      lineageGuard.abandonOutdatedFolder(from, now);
      lineageGuard.leaveEndedLineage(now);
      lineageGuard.leaveForOtherLineage(from, now);
      transfer.requestIfBehind(from, now);
      route(message, now);
      quorum.updateConfirmation(now);
    }
    return finish();
  }

  private void route(MembershipMessage message, Timestamp now) {
    if (message instanceof ViewRequest request) {
      transfer.receiveRequest(request);
    } else if (message instanceof ViewPart part) {
      transfer.receivePart(part, now);
    } else if (message instanceof BootstrapRequest request) {
      bootstrap.receiveRequest(request);
    } else if (message instanceof BootstrapConsent consent) {
      bootstrap.receiveConsent(consent, now);
    } else {
      driver.receive(message, now);
    }
  }
}

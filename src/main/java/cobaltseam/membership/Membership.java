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
 * One process among those of its fleet: agreed views over the {@link FailureDetector}. It does no
 * I/O and starts no thread: time, randomness and messages come from the caller, which calls {@link
 * #onTimer} no later than {@link #nextWakeup} says and carries out the returned actions in their
 * order. It is not thread-safe.
 *
 * <p>A view follows only from its predecessor, by a majority of it ({@link ViewChange}). The first
 * member in order that seems alive proposes the next view once the wanted change is stable; if that
 * comes to nothing, the next one in order does. Each voter names the members that it would retain,
 * and nobody is removed without a majority that agrees.
 */
public final class Membership {
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
   * A process with a folder for its state.
   *
   * @param former what the folder holds; null if the folder is new. If it is of another member, or
   *     of this one at another address, it is not continued
   */
  public static Membership withFolder(
      MembershipOptions options, Member self, PersistentState former, RandomGenerator random) {
    if (former == null || !former.self().name().equals(self.name())) {
      return new Membership(options, self, random, null, 1);
    }
    if (former.self().peerAddress().equals(self.peerAddress())) {
      return new Membership(options, former.self(), random, former, former.starts() + 1);
    }
    long incarnation =
        Math.max(self.incarnation().value(), former.self().incarnation().value() + 1);
    Member successor = new Member(self.name(), new Incarnation(incarnation), self.peerAddress());
    return new Membership(options, successor, random, null, 1);
  }

  /** A process without a folder: its promises end with it. */
  public Membership(MembershipOptions options, Member self, RandomGenerator random) {
    this(options, self, random, null, 0);
  }

  private Membership(
      MembershipOptions options,
      Member self,
      RandomGenerator random,
      PersistentState former,
      long starts) {
    this.options = options;
    detector = new FailureDetector(options, self, random, actions);
    lineages = new LineageHistory(detector, actions);
    ViewState initial = former == null ? ViewState.NONE : former.viewState();
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
      detector.resume(starts);
    }
    if (former != null) {
      lineages.restore(former);
      bootstrap.restore(former);
    }
  }

  /** This process; its incarnation may change over time. */
  public Member self() {
    return detector.self();
  }

  /** The last agreed view known here, or null. */
  public View view() {
    return localView.view();
  }

  /** What may be made of the view now; after a pause the caller calls {@link #onTimer} first. */
  public QuorumState quorumState() {
    return quorum.state();
  }

  /**
   * The number of dispatchers among which the engines are divided: the members of the view, and the
   * members removed from it whose attempts may still occupy engines. It rises at once and falls
   * only after that. Zero without a view.
   */
  public int engineSharerCount(Timestamp now) {
    int occupying = removedMembers.occupyingCount(now);
    return localView.hasView() ? view().members().size() + occupying : 0;
  }

  /** When {@link #engineSharerCount} may next fall by itself; null if it will not. */
  public Timestamp nextEngineSharerExpiry() {
    return removedMembers.nextExpiry();
  }

  /**
   * How a member seems from here, for operators.
   *
   * @param statusVersion its status version
   * @param conditionSince when its condition last changed
   * @param lastReceivedAt when it was last heard; null if never
   * @param roundTrip of its last answered health check; null before the first
   * @param suspectedBy the members that suspect it, by name
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

  /** When the view was installed, or confirmed after a restart; null before the first. */
  public Timestamp viewInstalledAt() {
    return localView.installedAt();
  }

  /** A process that pauses for less than this is not removed. */
  public TimeSpan toleratedSuspension() {
    return detector.minSuspicionTimeout();
  }

  /** Whether promises outlive this process. */
  public boolean isPersistent() {
    return persistence.isEnabled();
  }

  /** Begins; called once, before everything that takes a time. */
  public List<MembershipAction> start(Timestamp now) {
    bootstrap.start(now);
    detector.start(now);
    if (localView.hasView()) {
      // From the folder: it is a member as before once a majority was heard.
      localView.markRestored(now);
      detector.addMembers(view().members(), now);
      detector.reportView(view().id(), false);
      quorum.requireConfirmation(now);
    }
    lineages.reportLatestEnded();
    return finish();
  }

  /** Tells others that this process leaves; from then on it takes part in nothing. */
  public List<MembershipAction> leave(Timestamp now) {
    if (!isLeaving) {
      detector.leave();
      isLeaving = true;
    }
    return finish();
  }

  /** When {@link #onTimer} must be called next; null once this process has left. */
  public Timestamp nextWakeup(Timestamp now) {
    if (isLeaving) {
      return null;
    }
    Timestamp next = detector.nextWakeup(now);
    Timestamp soon = now.plus(options.healthCheckInterval().times(PENDING_WAKEUP_PERIODS));
    boolean isPending = driver.isPending() || transfer.isPending();
    return isPending && soon.isBefore(next) ? soon : next;
  }

  private List<MembershipAction> finish() {
    persistence.update();
    return actions.drain();
  }

  /**
   * The state with this number, or a later one, is written.
   *
   * @return the actions that waited for it
   */
  public List<MembershipAction> onStateWritten(long number) {
    return persistence.onWritten(number);
  }

  /**
   * The state can't be written. What waited for it was sent to nobody, so the folder covers all
   * that this member ever sent; the process goes on as another member without a folder.
   *
   * @param why the cause, for the log
   */
  public List<MembershipAction> onStateWriteFailed(String why, Timestamp now) {
    if (persistence.isEnabled()) {
      persistence.disable();
      actions.recordEvent(MembershipEvent.FOLDER_LOST, self().name(), why);
      detector.startNewIncarnation();
      if (localView.hasView()) {
        localView.leaveLineage(MembershipEvent.LINE_LEFT, "its folder is lost", now);
      }
    }
    return finish();
  }

  /** Does what is due at this time. */
  public List<MembershipAction> onTimer(Timestamp now) {
    runDueWork(now);
    return finish();
  }

  private void runDueWork(Timestamp now) {
    if (!isLeaving) {
      MemberName name = self().name();
      TimeSpan late = detector.onTimer(now);
      if (late.isPositive() && localView.hasView()) {
        // It may have been removed meanwhile: a majority has to confirm the view first.
        actions.recordEvent(MembershipEvent.STOOD_STILL, name, late.us() / 1000 + " ms");
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
   * Sets the access to the documents of configuration versions. A version is accepted only if its
   * document is here, so that a majority has the document of a chosen one. Without this call any
   * version is accepted.
   *
   * @param hasDocument whether the document of a version is here
   * @param documentOf the document of a version, or null if it is not here; it is persisted with
   *     the vote
   */
  public void setDocumentAccess(
      Predicate<ConfigurationVersion> hasDocument,
      Function<ConfigurationVersion, byte[]> documentOf) {
    driver.setDocumentCheck(hasDocument);
    persistence.setDocumentSource(documentOf);
  }

  /** The configuration version that this process accepted for the next view, or null. */
  public ConfigurationVersion acceptedConfiguration() {
    return localView.acceptedConfiguration();
  }

  /** Stops proposing a configuration version; one under way may still be chosen. */
  public void withdrawConfiguration() {
    driver.withdrawConfiguration();
  }

  /** Proposes a configuration version until it, or another with its number, is installed. */
  public List<MembershipAction> proposeConfiguration(ConfigurationVersion version, Timestamp now) {
    driver.proposeConfiguration(version);
    if (!isLeaving && localView.hasView()) {
      driver.proposeIfDue(now);
    }
    return finish();
  }

  /**
   * Whether this process has accepted no successor of its view. If a majority says so, the view had
   * no successor at that time.
   */
  public boolean hasAcceptedNoSuccessor() {
    return localView.hasView()
        && localView.state().accepted() == null
        && !quorum.isRestoredViewUnconfirmed()
        && localView.containsSelf(view());
  }

  /** Whether all members of the view have reported it or a later one; a view is held. */
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
   * Records the sender of a message of another module.
   *
   * @return whether the message counts
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
   * An operator declares the majority of a view lost for good: this process begins another lineage
   * alone, and the remaining members of the view join it. If the old majority lives after all, its
   * lineage is the elder and wins.
   *
   * @param lost the view, which this process must hold
   * @return what follows; a {@link MembershipEvent#NOT_FOUNDED_ANEW} with the cause if that
   *     majority may live
   */
  public List<MembershipAction> rebootstrap(ViewId lost, Timestamp now) {
    // After a suspension nothing is known until the timer has seen it.
    runDueWork(now);
    rebootstrap.run(lost, now);
    return finish();
  }

  /** Processes a message that its transport has authenticated as one of this fleet. */
  public List<MembershipAction> receive(MembershipMessage message, Timestamp now) {
    boolean isForQuiet =
        message instanceof MembershipMessage.StatePart
            || message instanceof MembershipMessage.NameTaken;
    MessageHeader from = message.from();
    if (!isLeaving
        && (isForQuiet || !detector.isSilenced(now))
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

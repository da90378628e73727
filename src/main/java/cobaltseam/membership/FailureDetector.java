package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipMessage.HealthCheck;
import cobaltseam.membership.MembershipMessage.HealthCheckReply;
import cobaltseam.membership.MembershipMessage.HealthCheckRequest;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.NameTaken;
import cobaltseam.membership.MembershipMessage.StatePart;
import cobaltseam.membership.MembershipMessage.StateRequest;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The lower layer of membership: which members this process considers alive. It runs health checks
 * in roundCount, checks indirectly through relays before it suspects a member, and declares a
 * suspected member dead unless the member refutes in time (SWIM with the extensions of Lifeguard).
 * The result differs between processes and may be wrong; {@link Membership} derives agreed views
 * from it. It does no I/O.
 */
final class FailureDetector {
  /** The maximum length of a round in health check intervals, for any health score. */
  private static final int MAX_ROUND_PERIODS = 3;

  /** A timer call that is later than this shows that the process was suspended. */
  private static final double SUSPENDED_AFTER_PERIODS = 0.5;

  /** The time between timer calls while a suspicion or a health check is pending. */
  private static final double PENDING_WAKEUP_PERIODS = 0.125;

  /** The maximum number of peers that a leaving process notifies. */
  private static final int MAX_LEAVE_MESSAGES = 8;

  private final MembershipOptions options;
  private final DetectorOutput output;
  private final LocalMember local;
  private final PeerTable peers;
  private final UpdateProcessor updates;
  private final HealthChecks healthChecks;
  private final StateSync stateSync;
  private Timestamp roundEndsAt;
  private Timestamp scheduledWakeup;
  private Timestamp lastReceivedAt;
  private long roundCount;

  FailureDetector(
      MembershipOptions options, Member self, RandomGenerator random, DetectorOutput output) {
    this.options = options;
    this.output = output;
    local = new LocalMember(options, self, output);
    peers = new PeerTable(random);
    updates = new UpdateProcessor(options, local, peers, output);
    healthChecks = new HealthChecks(options, random, local, peers, updates, output);
    stateSync = new StateSync(options, random, local, peers, output);
  }

  Member self() {
    return local.member();
  }

  /** The header of every message that this process sends now. */
  MessageHeader header() {
    return local.header();
  }

  /**
   * Sets the ended view that the headers of subsequent messages report.
   *
   * @param lastView the last view of a lineage that has ended
   */
  void reportEndedView(ViewId lastView) {
    local.reportEndedView(lastView);
  }

  /**
   * Sets the view status that the headers of subsequent messages report.
   *
   * @param installed the installed view, or {@link ViewId#NONE}
   * @param hasMajority whether this process considers a majority of that view alive
   */
  void reportView(ViewId installed, boolean hasMajority) {
    local.reportView(installed, hasMajority);
  }

  /** A number that increases whenever the set of peers or the condition of a peer changes. */
  long version() {
    return peers.version();
  }

  /** The peer with a name, or null if it is not known. */
  Peer peer(MemberName name) {
    return peers.get(name);
  }

  /** All known peers, by name. */
  Collection<Peer> peers() {
    return peers.all();
  }

  int healthScore() {
    return local.health().score();
  }

  /** Whether the member is considered alive, in this incarnation and not another one. */
  boolean isAlive(Member member) {
    if (member.name().equals(local.name())) {
      return member.incarnation().equals(self().incarnation());
    }
    Peer peer = peers.get(member.name());
    return peer != null && peer.isAlive() && peer.isSameProcess(member);
  }

  /** Whether this process takes no part in the protocol because a live process uses its name. */
  boolean isSilenced(Timestamp now) {
    return local.isSilenced(now);
  }

  boolean hasSuspects() {
    return peers.suspectCount() > 0;
  }

  /** The minimum time within which a member that several others suspect can refute. */
  TimeSpan minSuspicionTimeout() {
    return updates.minSuspicionTimeout();
  }

  /** Starts the first round; called once, before the first timer call. */
  void start(Timestamp now) {
    roundEndsAt = now;
    scheduledWakeup = now;
  }

  /**
   * Sets how often this member has been started with the same state folder.
   *
   * @param starts the number of starts, including the current one
   */
  void setStartNumber(long starts) {
    local.setStartNumber(starts);
  }

  /** Changes to a higher incarnation, which is not bound by promises of the former one. */
  void startNewIncarnation() {
    updates.startNewIncarnation();
  }

  /** Changes to an incarnation above {@code other} and not below the current one. */
  void startIncarnationAbove(Incarnation other) {
    updates.startIncarnationAbove(other);
  }

  /** The time by which {@link #onTimer} must be called next. */
  Timestamp nextWakeup(Timestamp now) {
    boolean isPending = hasSuspects() || healthChecks.hasUnanswered();
    Timestamp pendingWakeup = now.plus(options.healthCheckInterval().times(PENDING_WAKEUP_PERIODS));
    scheduledWakeup =
        isPending && pendingWakeup.isBefore(roundEndsAt) ? pendingWakeup : roundEndsAt;
    return scheduledWakeup;
  }

  /**
   * Retries health checks, ends and starts rounds and expires suspicions that are due. After a
   * suspension of this process, pending checks are dropped and suspicions extended, since the
   * process could not receive answers meanwhile.
   *
   * @return the delay of the call if it exceeds {@link #SUSPENDED_AFTER_PERIODS}, else zero
   */
  TimeSpan onTimer(Timestamp now) {
    TimeSpan delay = scheduledWakeup == null ? TimeSpan.ZERO : now.since(scheduledWakeup);
    boolean wasSuspended =
        delay.compareTo(options.healthCheckInterval().times(SUSPENDED_AFTER_PERIODS)) > 0;
    if (wasSuspended) {
      local.health().worsen();
      healthChecks.clear();
      updates.extendSuspicions(delay);
      roundEndsAt = now;
    }
    if (isSilenced(now)) {
      roundEndsAt = now.plus(options.healthCheckInterval());
      return wasSuspended ? delay : TimeSpan.ZERO;
    }
    healthChecks.resendUnanswered(now);
    if (!now.isBefore(roundEndsAt)) {
      healthChecks.endRound(now);
      startRound(now);
    }
    if (hasSuspects()) {
      updates.expireSuspicions(now);
    }
    return wasSuspended ? delay : TimeSpan.ZERO;
  }

  private void startRound(Timestamp now) {
    roundCount++;
    roundEndsAt = now.plus(roundLength());
    healthChecks.startRound(roundCount, now);
    stateSync.startRound(roundCount, now);
  }

  private TimeSpan roundLength() {
    int periods = Math.min(MAX_ROUND_PERIODS, local.health().timeoutMultiplier());
    return options.healthCheckInterval().times(periods);
  }

  /**
   * Whether no message of any member was received for two rounds and one health check interval.
   * False before the first message.
   */
  boolean isIsolated(Timestamp now) {
    TimeSpan limit = roundLength().times(2).plus(options.healthCheckInterval());
    return lastReceivedAt != null && now.since(lastReceivedAt).compareTo(limit) > 0;
  }

  /** Sends a health check to each known member of these that is not dead and has not left. */
  void checkAll(Collection<Member> members, Timestamp now) {
    for (Member member : members) {
      Peer peer = peers.get(member.name());
      if (peer != null && !peer.isDeadOrLeft()) {
        healthChecks.check(peer, now);
      }
    }
  }

  /**
   * Processes the header of a message of a peer, of any module.
   *
   * @return whether the message is to be processed: false if it is of an earlier incarnation or
   *     start of the sender, or if another live process uses the sender's name
   */
  boolean acceptSender(MessageHeader header, Timestamp now) {
    Member sender = header.member();
    if (sender.name().equals(local.name())) {
      rejectDuplicateName(sender, now);
      return false;
    }
    Peer peer = peers.get(sender.name());
    if (peer != null && isFormerProcess(header, peer)) {
      output.send(
          sender.peerAddress(),
          new StatePart(local.header(), List.of(peer.toUpdate(local.name())), false));
      return false;
    }
    if (peer != null && isNameInUse(sender, peer, now)) {
      output.send(sender.peerAddress(), new NameTaken(local.header(), peer.member()));
      return false;
    }
    updates.apply(
        new MemberUpdate(sender, header.statusVersion(), MemberCondition.ALIVE, sender.name()),
        now);
    peer = peers.get(sender.name());
    if (peer == null) {
      return false;
    }
    if (!sender.peerAddress().equals(peer.member().peerAddress())) {
      peers.setMember(peer, sender);
    }
    peer.recordMessage(header.view(), now);
    lastReceivedAt = now;
    return true;
  }

  /** Notifies a process at another address that this process uses its name. */
  private void rejectDuplicateName(Member sender, Timestamp now) {
    if (!sender.incarnation().equals(self().incarnation())
        && !sender.peerAddress().equals(self().peerAddress())
        && !isSilenced(now)) {
      output.send(sender.peerAddress(), new NameTaken(local.header(), self()));
    }
  }

  /** Whether a message is of an earlier incarnation or start of the peer. */
  private static boolean isFormerProcess(MessageHeader header, Peer peer) {
    int order = header.member().incarnation().compareTo(peer.member().incarnation());
    boolean isFormerStart =
        LocalMember.startNumber(header.statusVersion())
            < LocalMember.startNumber(peer.statusVersion());
    return order < 0 || order == 0 && isFormerStart;
  }

  /** Whether an alive peer at another address has used the sender's name recently. */
  private boolean isNameInUse(Member sender, Peer peer, Timestamp now) {
    TimeSpan silenceLimit =
        minSuspicionTimeout().times(UpdateProcessor.UNCONFIRMED_SUSPICION_FACTOR);
    return !sender.peerAddress().equals(peer.member().peerAddress())
        && peer.isAlive()
        && peer.lastReceivedAt() != null
        && now.since(peer.lastReceivedAt()).compareTo(silenceLimit) < 0;
  }

  /** Processes a message of the failure detector whose sender {@link #acceptSender} accepted. */
  void receive(MembershipMessage message, Timestamp now) {
    Peer from = peers.get(message.from().member().name());
    if (message instanceof HealthCheck check) {
      applyAll(check.updates(), now);
      if (check.to().equals(local.name())) {
        output.send(
            from, new HealthCheckReply(local.header(), check.id(), true, updates.updatesFor(from)));
      }
    } else if (message instanceof HealthCheckRequest request) {
      applyAll(request.updates(), now);
      healthChecks.receiveRequest(request, from, now);
    } else if (message instanceof HealthCheckReply reply) {
      applyAll(reply.updates(), now);
      healthChecks.receiveReply(reply, from, now);
    } else if (message instanceof StateRequest request) {
      stateSync.sendPart(from, request.after());
    } else if (message instanceof StatePart part) {
      applyAll(part.state(), now);
      stateSync.requestNextPart(from, part);
    } else if (message instanceof NameTaken taken
        && !taken.owner().peerAddress().equals(self().peerAddress())) {
      local.silence(taken.owner(), now);
    }
  }

  private void applyAll(List<MemberUpdate> received, Timestamp now) {
    received.forEach(update -> updates.apply(update, now));
  }

  /**
   * Notifies up to {@link #MAX_LEAVE_MESSAGES} peers that this process leaves, so that none
   * suspects it.
   */
  void leave() {
    MemberUpdate update = local.statusUpdate(MemberCondition.LEFT);
    peers
        .sample(MAX_LEAVE_MESSAGES, Peer::isAlive)
        .forEach(peer -> output.send(peer, new StatePart(local.header(), List.of(update), false)));
  }

  /** Adds the unknown ones of these members as alive; health checks then verify them. */
  void addMembers(Collection<Member> members, Timestamp now) {
    for (Member member : members) {
      if (!member.name().equals(local.name()) && !peers.contains(member.name())) {
        updates.apply(new MemberUpdate(member, 0, MemberCondition.ALIVE, local.name()), now);
      }
    }
  }
}

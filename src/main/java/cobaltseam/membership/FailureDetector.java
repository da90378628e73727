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
 * The lower layer of membership: which members seem alive from this process. Health checks in
 * rounds, indirect checks before a suspicion, suspicions that need time and confirmation and can be
 * refuted (SWIM with the changes of Lifeguard). Its result differs between processes and may be
 * wrong; {@link Membership} turns it into agreed views. It does no I/O.
 */
final class FailureDetector {
  /** The longest round, in health check intervals, whatever the health score is. */
  private static final int MAX_ROUND_PERIODS = 3;

  private static final double LATE_AFTER_PERIODS = 0.5;
  private static final double PENDING_WAKEUP_PERIODS = 0.125;
  private static final int LEAVE_MESSAGES = 8;

  private final MembershipOptions options;
  private final DetectorOutput output;
  private final LocalMember local;
  private final PeerTable peers;
  private final UpdateProcessor updates;
  private final HealthChecks healthChecks;
  private final StateSync stateSync;
  private Timestamp roundEndsAt;
  private Timestamp promisedWakeup;
  private Timestamp lastReceivedAt;
  private long rounds;

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

  /** What this process reports of lineages that have ended. */
  void reportEndedView(ViewId last) {
    local.reportEndedView(last);
  }

  /** What this process reports of its view from now on. */
  void reportView(ViewId held, boolean hasMajority) {
    local.reportView(held, hasMajority);
  }

  /** A number that grows whenever the known peers, or the condition of one, change. */
  long version() {
    return peers.version();
  }

  Peer peer(MemberName name) {
    return peers.get(name);
  }

  Collection<Peer> peers() {
    return peers.all();
  }

  int healthScore() {
    return local.health().score();
  }

  /** Whether this very process, not another incarnation of its name, seems alive. */
  boolean isAlive(Member member) {
    if (member.name().equals(local.name())) {
      return member.incarnation().equals(self().incarnation());
    }
    Peer peer = peers.get(member.name());
    return peer != null && peer.isAlive() && peer.isSameProcess(member);
  }

  /** Whether this process is silent since another one holds its name. */
  boolean isSilenced(Timestamp now) {
    return local.isSilenced(now);
  }

  boolean hasSuspects() {
    return peers.suspectCount() > 0;
  }

  /** The least time that a member suspected by several has to refute. */
  TimeSpan minSuspicionTimeout() {
    return updates.minSuspicionTimeout();
  }

  void start(Timestamp now) {
    roundEndsAt = now;
    promisedWakeup = now;
  }

  /** Counts the starts of this member from one folder, this one included. */
  void resume(long starts) {
    local.resume(starts);
  }

  /** This process becomes another one: its former promises do not bind it. */
  void startNewIncarnation() {
    updates.startNewIncarnation();
  }

  /** The same, with an incarnation above that one and above its own. */
  void startIncarnationAbove(Incarnation other) {
    updates.startIncarnationAbove(other);
  }

  /** When {@link #onTimer} must be called next. */
  Timestamp nextWakeup(Timestamp now) {
    boolean isPending = hasSuspects() || healthChecks.hasUnanswered();
    Timestamp soon = now.plus(options.healthCheckInterval().times(PENDING_WAKEUP_PERIODS));
    promisedWakeup = isPending && soon.isBefore(roundEndsAt) ? soon : roundEndsAt;
    return promisedWakeup;
  }

  /**
   * Does what is due at this time. If this process was stopped for a while, nothing is concluded
   * from the silence of others meanwhile.
   *
   * @return how late the call is, if by more than half a health check interval; else zero
   */
  TimeSpan onTimer(Timestamp now) {
    TimeSpan late = promisedWakeup == null ? TimeSpan.ZERO : now.since(promisedWakeup);
    boolean wasStopped =
        late.compareTo(options.healthCheckInterval().times(LATE_AFTER_PERIODS)) > 0;
    if (wasStopped) {
      local.health().worsen();
      healthChecks.clear();
      updates.extendSuspicions(late);
      roundEndsAt = now;
    }
    if (isSilenced(now)) {
      roundEndsAt = now.plus(options.healthCheckInterval());
      return wasStopped ? late : TimeSpan.ZERO;
    }
    healthChecks.retryUnanswered(now);
    if (!now.isBefore(roundEndsAt)) {
      healthChecks.endRound(now);
      startRound(now);
    }
    if (hasSuspects()) {
      updates.expireSuspicions(now);
    }
    return wasStopped ? late : TimeSpan.ZERO;
  }

  private void startRound(Timestamp now) {
    rounds++;
    roundEndsAt = now.plus(roundLength());
    healthChecks.startRound(rounds, now);
    stateSync.startRound(rounds, now);
  }

  private TimeSpan roundLength() {
    int periods = Math.min(MAX_ROUND_PERIODS, local.health().timeoutMultiplier());
    return options.healthCheckInterval().times(periods);
  }

  /** Whether no member at all was heard for longer than two rounds, after one had been. */
  boolean isIsolated(Timestamp now) {
    TimeSpan limit = roundLength().times(2).plus(options.healthCheckInterval());
    return lastReceivedAt != null && now.since(lastReceivedAt).compareTo(limit) > 0;
  }

  /** Checks all these members at once, unless they are known to be gone. */
  void checkAll(Collection<Member> members, Timestamp now) {
    for (Member member : members) {
      Peer peer = peers.get(member.name());
      if (peer != null && !peer.isDeadOrLeft()) {
        healthChecks.check(peer, now);
      }
    }
  }

  /**
   * Records the sender of any message of a peer.
   *
   * @return whether the message counts: false for a former process, and for one whose name another
   *     live process holds
   */
  boolean acceptSender(MessageHeader header, Timestamp now) {
    Member sender = header.member();
    if (sender.name().equals(local.name())) {
      rejectNamesake(sender, now);
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

  private void rejectNamesake(Member sender, Timestamp now) {
    if (!sender.incarnation().equals(self().incarnation())
        && !sender.peerAddress().equals(self().peerAddress())
        && !isSilenced(now)) {
      output.send(sender.peerAddress(), new NameTaken(local.header(), self()));
    }
  }

  private static boolean isFormerProcess(MessageHeader header, Peer peer) {
    int order = header.member().incarnation().compareTo(peer.member().incarnation());
    boolean isFormerStart =
        LocalMember.startNumber(header.statusVersion())
            < LocalMember.startNumber(peer.statusVersion());
    return order < 0 || order == 0 && isFormerStart;
  }

  private boolean isNameInUse(Member sender, Peer peer, Timestamp now) {
    TimeSpan silentAfter =
        minSuspicionTimeout().times(UpdateProcessor.UNCONFIRMED_SUSPICION_FACTOR);
    return !sender.peerAddress().equals(peer.member().peerAddress())
        && peer.isAlive()
        && peer.lastReceivedAt() != null
        && now.since(peer.lastReceivedAt()).compareTo(silentAfter) < 0;
  }

  /** Processes a message of this layer whose sender {@link #acceptSender} accepted. */
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
    received.forEach(u -> updates.apply(u, now));
  }

  /** Tells some peers that this process leaves, so that none suspects it. */
  void leave() {
    MemberUpdate update = local.update(MemberCondition.LEFT);
    peers
        .sample(LEAVE_MESSAGES, Peer::isAlive)
        .forEach(p -> output.send(p, new StatePart(local.header(), List.of(update), false)));
  }

  /** Members of a view that are not known yet count as alive until they fail a health check. */
  void addMembers(Collection<Member> members, Timestamp now) {
    for (Member member : members) {
      if (!member.name().equals(local.name()) && !peers.contains(member.name())) {
        updates.apply(new MemberUpdate(member, 0, MemberCondition.ALIVE, local.name()), now);
      }
    }
  }
}

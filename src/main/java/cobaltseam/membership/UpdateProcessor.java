package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.StatePart;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies updates about members: suspicions and their deadlines, refutations, deaths, departures
 * and restarts. Refutes updates about this process. Updates that change the status of a member are
 * disseminated as gossip.
 */
final class UpdateProcessor {
  /** The maximum number of gossip updates in one message. */
  private static final int MAX_UPDATES_PER_MESSAGE = 8;

  /** The timeout of an unconfirmed suspicion, as a multiple of that of a confirmed one. */
  static final double UNCONFIRMED_SUSPICION_FACTOR = 2;

  /** The number of confirmations after which a suspicion has the minimum timeout. */
  private static final int MIN_TIMEOUT_CONFIRMATIONS = 2;

  private final MembershipOptions options;
  private final LocalMember local;
  private final PeerTable peers;
  private final DetectorOutput output;
  private final GossipQueue gossip = new GossipQueue();

  UpdateProcessor(
      MembershipOptions options, LocalMember local, PeerTable peers, DetectorOutput output) {
    this.options = options;
    this.local = local;
    this.peers = peers;
    this.output = output;
  }

  /** The minimum time within which a member that several others suspect can refute. */
  TimeSpan minSuspicionTimeout() {
    return options
        .healthCheckInterval()
        .times(options.suspicionTimeoutPeriods() + Math.log10(2 + peers.size()));
  }

  /** The gossip for the next message to a peer; an update about that peer itself comes first. */
  List<MemberUpdate> updatesFor(Peer recipient) {
    List<MemberUpdate> updates = gossip.next(MAX_UPDATES_PER_MESSAGE, peers.size() + 1);
    if (!recipient.isAlive()) {
      // The recipient can refute only updates that it receives.
      updates.add(0, recipient.toUpdate(local.name()));
    }
    return updates;
  }

  /** Changes to a higher incarnation, which is not bound by promises of the former one. */
  void startNewIncarnation() {
    startIncarnationAbove(local.member().incarnation());
  }

  /** Changes to an incarnation above {@code other} and not below the current one. */
  void startIncarnationAbove(Incarnation other) {
    local.advanceIncarnationAbove(other);
    gossip.add(local.aliveUpdate());
  }

  /** Suspects a peer on behalf of this process. */
  void suspect(Peer peer, Timestamp now) {
    apply(
        new MemberUpdate(
            peer.member(), peer.statusVersion(), MemberCondition.SUSPECT, local.name()),
        now);
  }

  /** Declares the suspects dead that did not refute in time. */
  void expireSuspicions(Timestamp now) {
    for (Peer peer : new ArrayList<>(peers.all())) {
      if (peer.isSuspect() && !now.isBefore(peer.suspicionExpiresAt())) {
        apply(
            new MemberUpdate(
                peer.member(), peer.statusVersion(), MemberCondition.DEAD, local.name()),
            now);
      }
    }
  }

  /**
   * Extends the deadline of every suspect by the time during which this process could not receive
   * refutations.
   */
  void extendSuspicions(TimeSpan extension) {
    peers.all().stream()
        .filter(Peer::isSuspect)
        .forEach(peer -> peer.setSuspicionExpiry(peer.suspicionExpiresAt().plus(extension)));
  }

  /**
   * Sets the deadline of a suspicion. The timeout decreases with the logarithm of the number of
   * confirmations, down to the minimum, and increases with the health score of this process
   * (Lifeguard).
   */
  private void updateSuspicionDeadline(Peer peer) {
    double minimumUs = minSuspicionTimeout().us() * (double) local.health().timeoutMultiplier();
    int neededConfirmations = Math.max(1, Math.min(MIN_TIMEOUT_CONFIRMATIONS, peers.size() - 1));
    double confirmedFraction =
        Math.log(peer.suspectedBy().size()) / Math.log(neededConfirmations + 1);
    double timeoutUs =
        minimumUs
            * (UNCONFIRMED_SUSPICION_FACTOR
                - (UNCONFIRMED_SUSPICION_FACTOR - 1) * Math.min(1, confirmedFraction));
    peer.setSuspicionExpiry(peer.suspectedAt().plus(new TimeSpan(Math.round(timeoutUs))));
  }

  /** Applies an update about any member, including this process. */
  void apply(MemberUpdate update, Timestamp now) {
    Member member = update.member();
    if (member.name().equals(local.name())) {
      applyToSelf(update, now);
      return;
    }
    Peer peer = peers.get(member.name());
    if (peer == null) {
      applyToUnknown(update, now);
      return;
    }
    int incarnationOrder = member.incarnation().compareTo(peer.member().incarnation());
    if (incarnationOrder > 0 && update.condition().compareTo(MemberCondition.DEAD) < 0) {
      replaceProcess(peer, update, now);
    } else if (incarnationOrder == 0) {
      applyToKnown(peer, update, now);
    }
  }

  private void applyToUnknown(MemberUpdate update, Timestamp now) {
    if (update.condition().compareTo(MemberCondition.DEAD) >= 0 || peers.isFull()) {
      return;
    }
    Member member = update.member();
    Peer peer = peers.add(member, update.statusVersion(), now);
    output.recordEvent(
        MembershipEvent.JOINED_SIGHT,
        member.name(),
        "at " + member.peerAddress() + ", incarnation " + member.incarnation());
    gossip.add(
        new MemberUpdate(member, peer.statusVersion(), MemberCondition.ALIVE, update.reportedBy()));
    if (update.condition() == MemberCondition.SUSPECT) {
      apply(update, now);
    }
  }

  private void applyToKnown(Peer peer, MemberUpdate update, Timestamp now) {
    int versionOrder = Long.compare(update.statusVersion(), peer.statusVersion());
    if (versionOrder == 0 && update.condition() == MemberCondition.SUSPECT && peer.isSuspect()) {
      if (peer.suspectedBy().size() <= MIN_TIMEOUT_CONFIRMATIONS
          && peer.suspectedBy().add(update.reportedBy())) {
        updateSuspicionDeadline(peer);
        gossip.add(update);
      }
      return;
    }
    boolean takesPrecedence =
        update.condition() == MemberCondition.ALIVE
            ? versionOrder > 0
            : versionOrder > 0
                || versionOrder == 0 && update.condition().compareTo(peer.condition()) > 0;
    if (!takesPrecedence || peer.condition() == MemberCondition.LEFT && versionOrder <= 0) {
      return;
    }
    boolean wasAlive = peer.isAlive();
    peer.setStatusVersion(update.statusVersion());
    peers.setCondition(peer, update.condition(), now);
    if (update.condition() == MemberCondition.SUSPECT) {
      peer.beginSuspicion(update.reportedBy(), now);
      updateSuspicionDeadline(peer);
    }
    recordConditionChange(peer, update, wasAlive);
    gossip.add(update);
  }

  private void recordConditionChange(Peer peer, MemberUpdate update, boolean wasAlive) {
    MemberName name = update.member().name();
    switch (update.condition()) {
      case SUSPECT ->
          output.recordEvent(MembershipEvent.SUSPECTED, name, "reported by " + update.reportedBy());
      case DEAD ->
          output.recordEvent(
              MembershipEvent.SEEMS_DEAD, name, "reported by " + update.reportedBy());
      case LEFT ->
          output.recordEvent(MembershipEvent.LEFT, name, "reported by " + update.reportedBy());
      default -> {
        if (!wasAlive) {
          output.recordEvent(
              MembershipEvent.REFUTED, name, "status version " + peer.statusVersion());
        }
      }
    }
  }

  private void replaceProcess(Peer peer, MemberUpdate update, Timestamp now) {
    Member successor = update.member();
    output.recordEvent(
        MembershipEvent.RESTARTED,
        successor.name(),
        "incarnation "
            + successor.incarnation()
            + " replaces "
            + peer.member().incarnation()
            + " at "
            + successor.peerAddress());
    peers.replaceProcess(peer, successor, update.statusVersion(), now);
    gossip.add(
        new MemberUpdate(
            successor, peer.statusVersion(), MemberCondition.ALIVE, update.reportedBy()));
  }

  private void applyToSelf(MemberUpdate update, Timestamp now) {
    Member member = update.member();
    Member self = local.member();
    int incarnationOrder = member.incarnation().compareTo(self.incarnation());
    if (incarnationOrder < 0) {
      return;
    }
    long ownStart = LocalMember.startNumber(local.statusVersion());
    long reportedStart = LocalMember.startNumber(update.statusVersion());
    if (!member.peerAddress().equals(self.peerAddress())) {
      local.silence(member, now);
    } else if (incarnationOrder > 0) {
      // The clock of a former process at this address was ahead; this process still replaces it.
      local.advanceIncarnationAbove(member.incarnation());
    } else if (reportedStart > ownStart && ownStart > 0) {
      // The state folder was restored from an old copy: a later start of this member may have made
      // promises that the copy does not contain.
      output.recordEvent(
          MembershipEvent.FOLDER_OLD,
          self.name(),
          "the folder contains start " + ownStart + ", but a peer reports start " + reportedStart);
      startNewIncarnation();
    } else if (update.condition() != MemberCondition.ALIVE
            && update.statusVersion() >= local.statusVersion()
        || update.statusVersion() > local.statusVersion()) {
      refute(update);
    }
  }

  private void refute(MemberUpdate update) {
    local.refute(update.statusVersion());
    gossip.add(local.aliveUpdate());
    // Also sent immediately, since gossip in the messages of the next round can arrive after the
    // suspicion has expired.
    peers
        .sample(options.relayCount(), Peer::isAlive)
        .forEach(
            peer ->
                output.send(
                    peer, new StatePart(local.header(), List.of(local.aliveUpdate()), false)));
  }
}

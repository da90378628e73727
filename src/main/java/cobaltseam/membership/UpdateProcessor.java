package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.StatePart;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies updates about members: suspicions with their deadlines, refutations, deaths, departures
 * and restarts; and refutes updates about this process. Updates that change something are spread
 * further as gossip.
 */
final class UpdateProcessor {
  private static final int MAX_UPDATES_PER_MESSAGE = 8;

  /** A suspicion that nobody confirms lasts this many times as long. */
  static final double UNCONFIRMED_SUSPICION_FACTOR = 2;

  private static final int CONFIRMATIONS = 2;

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

  /** The least time that a member suspected by several has to refute. */
  TimeSpan minSuspicionTimeout() {
    return options
        .healthCheckInterval()
        .times(options.suspicionTimeoutPeriods() + Math.log10(2 + peers.size()));
  }

  /** The gossip for the next message to a peer; what is said of the peer itself comes first. */
  List<MemberUpdate> updatesFor(Peer recipient) {
    List<MemberUpdate> updates = gossip.next(MAX_UPDATES_PER_MESSAGE, peers.size() + 1);
    if (!recipient.isAlive()) {
      // It can refute only what it receives.
      updates.add(0, recipient.toUpdate(local.name()));
    }
    return updates;
  }

  /** This process becomes another one: its former promises do not bind it. */
  void startNewIncarnation() {
    startIncarnationAbove(local.member().incarnation());
  }

  /** The same, with an incarnation above that one and above its own. */
  void startIncarnationAbove(Incarnation other) {
    local.takeIncarnationAbove(other);
    gossip.add(local.aliveUpdate());
  }

  void suspect(Peer peer, Timestamp now) {
    apply(
        new MemberUpdate(
            peer.member(), peer.statusVersion(), MemberCondition.SUSPECT, local.name()),
        now);
  }

  /** Declares dead whoever did not refute in time. */
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

  /** Gives every suspect more time, after this process could not receive its refutation. */
  void extendSuspicions(TimeSpan by) {
    peers.all().stream()
        .filter(Peer::isSuspect)
        .forEach(p -> p.setSuspicionExpiry(p.suspicionExpiresAt().plus(by)));
  }

  /** More confirmations bring the deadline of a suspicion forward, a bad health score back. */
  private void updateDeadline(Peer peer) {
    double minimumUs = minSuspicionTimeout().us() * (double) local.health().timeoutMultiplier();
    int needed = Math.max(1, Math.min(CONFIRMATIONS, peers.size() - 1));
    double confirmed = Math.log(peer.suspectedBy().size()) / Math.log(needed + 1);
    double timeoutUs =
        minimumUs
            * (UNCONFIRMED_SUSPICION_FACTOR
                - (UNCONFIRMED_SUSPICION_FACTOR - 1) * Math.min(1, confirmed));
    peer.setSuspicionExpiry(peer.suspectedAt().plus(new TimeSpan(Math.round(timeoutUs))));
  }

  /** Applies an update about any member, this process included, from any member. */
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
    int order = member.incarnation().compareTo(peer.member().incarnation());
    if (order > 0 && update.condition().compareTo(MemberCondition.DEAD) < 0) {
      replaceProcess(peer, update, now);
    } else if (order == 0) {
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
        member.peerAddress() + " incarnation " + member.incarnation());
    gossip.add(
        new MemberUpdate(member, peer.statusVersion(), MemberCondition.ALIVE, update.reportedBy()));
    if (update.condition() == MemberCondition.SUSPECT) {
      apply(update, now);
    }
  }

  private void applyToKnown(Peer peer, MemberUpdate update, Timestamp now) {
    int newer = Long.compare(update.statusVersion(), peer.statusVersion());
    if (newer == 0 && update.condition() == MemberCondition.SUSPECT && peer.isSuspect()) {
      if (peer.suspectedBy().size() <= CONFIRMATIONS
          && peer.suspectedBy().add(update.reportedBy())) {
        updateDeadline(peer);
        gossip.add(update);
      }
      return;
    }
    boolean overrules =
        update.condition() == MemberCondition.ALIVE
            ? newer > 0
            : newer > 0 || newer == 0 && update.condition().compareTo(peer.condition()) > 0;
    if (!overrules || peer.condition() == MemberCondition.LEFT && newer <= 0) {
      return;
    }
    boolean wasAlive = peer.isAlive();
    peer.setStatusVersion(update.statusVersion());
    peers.setCondition(peer, update.condition(), now);
    if (update.condition() == MemberCondition.SUSPECT) {
      peer.beginSuspicion(update.reportedBy(), now);
      updateDeadline(peer);
    }
    recordChange(peer, update, wasAlive);
    gossip.add(update);
  }

  private void recordChange(Peer peer, MemberUpdate update, boolean wasAlive) {
    MemberName name = update.member().name();
    switch (update.condition()) {
      case SUSPECT ->
          output.recordEvent(MembershipEvent.SUSPECTED, name, "by " + update.reportedBy());
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
    Member later = update.member();
    output.recordEvent(
        MembershipEvent.RESTARTED,
        later.name(),
        "incarnation "
            + later.incarnation()
            + " replaces "
            + peer.member().incarnation()
            + " at "
            + later.peerAddress());
    peers.replaceProcess(peer, later, update.statusVersion(), now);
    gossip.add(
        new MemberUpdate(later, peer.statusVersion(), MemberCondition.ALIVE, update.reportedBy()));
  }

  private void applyToSelf(MemberUpdate update, Timestamp now) {
    Member member = update.member();
    Member self = local.member();
    int order = member.incarnation().compareTo(self.incarnation());
    if (order < 0) {
      return;
    }
    long ownStart = LocalMember.startNumber(local.statusVersion());
    long reportedStart = LocalMember.startNumber(update.statusVersion());
    if (!member.peerAddress().equals(self.peerAddress())) {
      local.silence(member, now);
    } else if (order > 0) {
      // A former process at this address had a later clock; this one still succeeds it.
      local.takeIncarnationAbove(member.incarnation());
    } else if (reportedStart > ownStart && ownStart > 0) {
      // A folder restored from an old copy: a later start of this member may have made promises
      // that the copy does not contain.
      output.recordEvent(
          MembershipEvent.FOLDER_OLD,
          self.name(),
          "start " + ownStart + ", peers know " + reportedStart);
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
    // Sent at once as well, since gossip that waits for the next round can come too late.
    peers
        .sample(options.relayCount(), Peer::isAlive)
        .forEach(
            p ->
                output.send(p, new StatePart(local.header(), List.of(local.aliveUpdate()), false)));
  }
}

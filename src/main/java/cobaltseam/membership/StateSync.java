package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipMessage.StatePart;
import cobaltseam.membership.MembershipMessage.StateRequest;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Full state transfer between members (anti-entropy), in parts that fit a datagram. A process
 * periodically requests the state of an alive peer, and more often that of dead peers and seeds, so
 * that it detects when a partition has healed.
 */
final class StateSync {
  private static final int MAX_UPDATES_PER_PART = 24;
  private static final int MAX_SEEDS_PER_ROUND = 8;

  /** The number of rounds between two requests for the state of an alive peer. */
  private static final int SYNC_INTERVAL_ROUNDS = 16;

  /** The number of rounds between two requests for the state of dead peers and seeds. */
  private static final int HEAL_INTERVAL_ROUNDS = 4;

  /** The number of dead peers asked in one round while this process sees no majority. */
  private static final int DEAD_PEERS_PER_ROUND = 3;

  /** How long a peer must have been dead or have left before it is forgotten. */
  private static final int FORGET_AFTER_PERIODS = 120;

  private final MembershipOptions options;
  private final RandomGenerator random;
  private final LocalMember local;
  private final PeerTable peers;
  private final DetectorOutput output;

  StateSync(
      MembershipOptions options,
      RandomGenerator random,
      LocalMember local,
      PeerTable peers,
      DetectorOutput output) {
    this.options = options;
    this.random = random;
    this.local = local;
    this.peers = peers;
    this.output = output;
  }

  /**
   * Sends the state requests that are due in this round, and forgets peers that have been dead or
   * have left for long.
   *
   * @param round the number of the health check round, from 1
   */
  void startRound(long round, Timestamp now) {
    boolean hasNoAlivePeer = peers.all().stream().noneMatch(Peer::isAlive);
    boolean isSyncRound = round % SYNC_INTERVAL_ROUNDS == 0;
    if (hasNoAlivePeer || isSyncRound) {
      peers.sample(1, Peer::isAlive).forEach(this::requestState);
    }
    if (hasNoAlivePeer || !local.seesMajority() || round % HEAL_INTERVAL_ROUNDS == 0) {
      peers
          .sample(local.seesMajority() ? 1 : DEAD_PEERS_PER_ROUND, Peer::isDeadOrLeft)
          .forEach(this::requestState);
      requestFromSeeds(hasNoAlivePeer ? MAX_SEEDS_PER_ROUND : 1);
    }
    if (isSyncRound) {
      forgetDepartedPeers(now);
    }
  }

  private void requestState(Peer peer) {
    output.send(peer, new StateRequest(local.header(), null));
  }

  private void requestFromSeeds(int count) {
    List<InetSocketAddress> seeds = new ArrayList<>(options.seeds());
    for (int i = 0; i < count && !seeds.isEmpty(); i++) {
      InetSocketAddress seed = seeds.remove(random.nextInt(seeds.size()));
      boolean isKnown =
          peers.all().stream().anyMatch(p -> p.isAlive() && p.member().peerAddress().equals(seed));
      if (!isKnown && !seed.equals(local.member().peerAddress())) {
        output.send(seed, new StateRequest(local.header(), null));
      }
    }
  }

  private void forgetDepartedPeers(Timestamp now) {
    TimeSpan forgetAfter = options.healthCheckInterval().times(FORGET_AFTER_PERIODS);
    // While this process has no view, a dead peer that reported one is the evidence that a lineage
    // exists.
    peers.removeIf(
        p ->
            p.isDeadOrLeft()
                && (local.viewId().lineage() != 0 || p.viewId().lineage() == 0)
                && now.since(p.conditionSince()).compareTo(forgetAfter) > 0);
  }

  /** Sends the part of the state after a name; the first part if the name is null. */
  void sendPart(Peer to, MemberName after) {
    List<MemberUpdate> state = new ArrayList<>();
    if (after == null) {
      state.add(local.aliveUpdate());
    }
    Iterator<Peer> rest = peers.peersAfter(after).iterator();
    while (rest.hasNext() && state.size() < MAX_UPDATES_PER_PART) {
      state.add(rest.next().toUpdate(local.name()));
    }
    output.send(to, new StatePart(local.header(), state, rest.hasNext()));
  }

  /** Requests the part of the state that follows the received one, if there is one. */
  void requestNextPart(Peer from, StatePart part) {
    if (part.hasMore() && !part.state().isEmpty()) {
      MemberName last = part.state().get(part.state().size() - 1).member().name();
      output.send(from, new StateRequest(local.header(), last));
    }
  }
}

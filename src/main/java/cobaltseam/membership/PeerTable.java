package cobaltseam.membership;

import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The known peers of this process by name, and the selection of peers for health checks and other
 * messages.
 */
final class PeerTable {
  /** Bounds the memory that a peer can make this process use by reporting invented names. */
  private static final int MAX_PEERS = 4096;

  private final RandomGenerator random;
  private final TreeMap<MemberName, Peer> peers = new TreeMap<>();

  /** The peers still to be checked in the current pass, in reverse order. */
  private final List<Peer> checkOrder = new ArrayList<>();

  private int suspectCount;
  private long version;

  PeerTable(RandomGenerator random) {
    this.random = random;
  }

  Peer get(MemberName name) {
    return peers.get(name);
  }

  boolean contains(MemberName name) {
    return peers.containsKey(name);
  }

  Collection<Peer> all() {
    return peers.values();
  }

  /** The peers with a name after this one, by name; all peers if the name is null. */
  Collection<Peer> peersAfter(MemberName name) {
    return (name == null ? peers : peers.tailMap(name, false)).values();
  }

  int size() {
    return peers.size();
  }

  int suspectCount() {
    return suspectCount;
  }

  /** A number that increases whenever the set of peers or the condition of a peer changes. */
  long version() {
    return version;
  }

  boolean isFull() {
    return peers.size() >= MAX_PEERS;
  }

  /** Adds an alive peer, at a random position in the order of health checks. */
  Peer add(Member member, long statusVersion, Timestamp now) {
    Peer peer = new Peer(member, statusVersion, now);
    peers.put(member.name(), peer);
    version++;
    checkOrder.add(random.nextInt(checkOrder.size() + 1), peer);
    return peer;
  }

  /** Sets the condition of a peer and updates the number of suspects. */
  void setCondition(Peer peer, MemberCondition to, Timestamp now) {
    suspectCount += (to == MemberCondition.SUSPECT ? 1 : 0) - (peer.isSuspect() ? 1 : 0);
    if (peer.condition() != to) {
      version++;
    }
    peer.setCondition(to, now);
  }

  /** Replaces the process of a peer by a later one of the same name, which counts as alive. */
  void replaceProcess(Peer peer, Member successor, long statusVersion, Timestamp now) {
    version++;
    setCondition(peer, MemberCondition.ALIVE, now);
    peer.replaceProcess(successor, statusVersion, now);
  }

  /** Sets the current identity and address of a peer. */
  void setMember(Peer peer, Member current) {
    peer.setMember(current);
    version++;
  }

  /** Removes the peers that match; increases the version even if none matches. */
  void removeIf(Predicate<Peer> condition) {
    version++;
    peers.values().removeIf(condition);
  }

  /** The first alive peer after a name in cyclic name order; null if no peer is alive. */
  Peer successorOf(MemberName name) {
    for (Map<MemberName, Peer> segment :
        List.of(peers.tailMap(name, false), peers.headMap(name, false))) {
      for (Peer peer : segment.values()) {
        if (peer.isAlive()) {
          return peer;
        }
      }
    }
    return null;
  }

  /**
   * The next alive peer in a random permutation, which is shuffled again after each pass. This
   * bounds the time between two health checks of one peer (SWIM). Null if no peer is alive.
   */
  Peer nextToCheck() {
    for (int pass = 0; pass < 2; pass++) {
      while (!checkOrder.isEmpty()) {
        Peer peer = checkOrder.remove(checkOrder.size() - 1);
        if (peers.get(peer.member().name()) == peer && peer.isAlive()) {
          return peer;
        }
      }
      peers.values().stream().filter(Peer::isAlive).forEach(checkOrder::add);
      Collections.shuffle(checkOrder, new Random(random.nextLong()));
    }
    return null;
  }

  /** Up to {@code count} distinct peers that match, sampled uniformly at random. */
  List<Peer> sample(int count, Predicate<Peer> condition) {
    List<Peer> candidates = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (condition.test(peer)) {
        candidates.add(peer);
      }
    }
    List<Peer> sampled = new ArrayList<>();
    while (sampled.size() < count && !candidates.isEmpty()) {
      sampled.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return sampled;
  }
}

package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import cobaltseam.membership.MembershipMessage.HealthCheck;
import cobaltseam.membership.MembershipMessage.HealthCheckReply;
import cobaltseam.membership.MembershipMessage.HealthCheckRequest;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.NameTaken;
import cobaltseam.membership.MembershipMessage.StatePart;
import cobaltseam.membership.MembershipMessage.StateRequest;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The first layer: who seems alive, seen from here. Probes in rounds, indirect probes before a
 * suspicion, suspicions that need time and others' confirmation and can be refuted (SWIM with
 * Lifeguard's changes). What it says differs from process to process and may be wrong; {@link
 * Membership} makes agreed views of it.
 */
final class FailureDetector {
  /** What is known of another process. */
  static final class Peer {
    Member member;
    long incarnation;
    MemberCondition condition;
    Timestamp since;

    /** When it last spoke to us itself; null if never. */
    Timestamp heard;

    /** While suspected: from when, until when it may refute, and who suspects it. */
    Timestamp suspected, expires;

    final Set<MemberName> by = new HashSet<>();
    TimeSpan roundTrip;
    ViewId view = ViewId.NONE;
    boolean majority;

    MemberUpdate news(MemberName self) {
      return new MemberUpdate(
          member, incarnation, condition, by.isEmpty() ? self : by.iterator().next());
    }
  }

  private static final class PendingCheck {
    Peer target;
    Timestamp sent, again;
    boolean indirect, answered, favour;
    int helpers, helped;
  }

  /** A probe for another: who asked, and under which id. */
  private record RelayedCheck(Member asker, long id, Timestamp until) {}

  /** Guards against a peer that invents names without end. */
  private static final int MOST_PEERS = 4096;

  private static final int MOST_FAVOURS = 1024;
  private static final int MOST_NEWS = 8;
  private static final int MOST_PART = 24;

  /** The part of a round after which helpers are asked. */
  private static final double DIRECT = 0.3;

  private static final double AGAIN = 0.6;

  /** A probe is judged at the end of a round if it had this part of one. */
  private static final double JUDGED_FROM = 0.6;

  private static final double FAVOUR_FOR = 2;

  /** However badly this process runs, its rounds are no longer than so many periods. */
  private static final int SLOWEST_ROUND = 3;

  private static final int CALLED_BACK = 3;

  /** One that nobody else suspects has this many times as long to refute. */
  private static final double ALONE = 2;

  private static final int CONFIRMATIONS = 2;
  private static final int SYNC_ROUNDS = 16;
  private static final int HEAL_ROUNDS = 4;
  private static final int FORGET_PERIODS = 120;
  private static final int QUIET_PERIODS = 10;
  private static final int REPROBED = 3;

  /** Refutations that one start of a member with a folder has; the next start begins above them. */
  private static final int REFUTATIONS_A_START = 20;

  /** What the layer says, as it says it. */
  interface DetectorOutput {
    void tell(InetSocketAddress to, MembershipMessage message);

    void note(MembershipEvent event, MemberName who, String detail);
  }

  private final MembershipOptions terms;
  private final RandomGenerator chance;
  private final DetectorOutput out;
  private final GossipQueue updates = new GossipQueue();
  private final TreeMap<MemberName, Peer> peers = new TreeMap<>();
  private final Map<Long, PendingCheck> probing = new LinkedHashMap<>();
  private final Map<Long, RelayedCheck> favours = new LinkedHashMap<>();
  private final OwnHealth health = new OwnHealth();
  private final List<Peer> order = new ArrayList<>();
  private Member self;
  private long incarnation;
  private ViewId view = ViewId.NONE;
  private boolean majority;
  private Timestamp roundEnds, quietUntil, promised, lastHeard;
  private int width = 1;
  private long rounds;
  private int suspects;
  private ViewId ended = ViewId.NONE;

  /** Goes up whenever who is known, or how one seems, changes. */
  private long version;

  FailureDetector(
      MembershipOptions terms, Member self, RandomGenerator chance, DetectorOutput out) {
    this.terms = terms;
    this.self = self;
    this.chance = chance;
    this.out = out;
  }

  // ---- what is asked

  Member self() {
    return self;
  }

  MessageHeader teller() {
    return new MessageHeader(self, incarnation, view, majority, ended);
  }

  /** What this process tells of lines that have ended. */
  void ended(ViewId last) {
    ended = last;
  }

  long version() {
    return version;
  }

  /** What this process tells of itself from now on. */
  void holds(ViewId now, boolean withMajority) {
    view = now;
    majority = withMajority;
  }

  Peer peer(MemberName name) {
    return peers.get(name);
  }

  Collection<Peer> peers() {
    return peers.values();
  }

  int health() {
    return health.score();
  }

  /** Whether this very process seems alive from here. */
  boolean alive(Member m) {
    if (m.name().equals(self.name())) {
      return m.incarnation().equals(self.incarnation());
    }
    Peer p = peers.get(m.name());
    return p != null
        && p.condition == MemberCondition.ALIVE
        && p.member.incarnation().equals(m.incarnation());
  }

  boolean isQuiet(Timestamp now) {
    return quietUntil != null && now.isBefore(quietUntil);
  }

  int suspects() {
    return suspects;
  }

  /** The time that one suspected by several has to refute, at least. */
  TimeSpan refutesWithin() {
    return terms
        .healthCheckInterval()
        .times(terms.healthCheckTimeout() + Math.log10(2 + peers.size()));
  }

  // ---- rounds

  void start(Timestamp now) {
    roundEnds = now;
    promised = now;
  }

  /** This member was so many processes with one folder, this one included. */
  void resumes(long starts) {
    incarnation = starts << REFUTATIONS_A_START;
  }

  /** Which start of a member with a folder an incarnation belongs to; zero without one. */
  private static long start(long incarnation) {
    return incarnation >>> REFUTATIONS_A_START;
  }

  /** From now on this is another process: what it promised before is not to be kept to. */
  void beginAnew() {
    self =
        new Member(self.name(), self.incarnation().above(self.incarnation()), self.peerAddress());
    incarnation = 0;
    updates.add(new MemberUpdate(self, incarnation, MemberCondition.ALIVE, self.name()));
  }

  /** When it is to be asked again. */
  Timestamp wake(Timestamp now) {
    boolean pending = suspects > 0 || probing.values().stream().anyMatch(p -> !p.answered);
    Timestamp soon = now.plus(terms.healthCheckInterval().times(0.125));
    promised = pending && soon.isBefore(roundEnds) ? soon : roundEnds;
    return promised;
  }

  /**
   * What time brings. Where this process was held up, nothing is concluded from silence meanwhile.
   *
   * @return how much later than promised it was asked, if that is more than half a period; else
   *     zero
   */
  TimeSpan due(Timestamp now) {
    TimeSpan late = promised == null ? TimeSpan.ZERO : now.since(promised);
    boolean held = late.compareTo(terms.healthCheckInterval().times(0.5)) > 0;
    if (held) {
      // Guards against a process that stood still: what it did not hear, it could not hear.
      health.worse();
      probing.clear();
      peers.values().stream()
          .filter(p -> p.condition == MemberCondition.SUSPECT)
          .forEach(p -> p.expires = p.expires.plus(late));
      roundEnds = now;
    }
    if (isQuiet(now)) {
      roundEnds = now.plus(terms.healthCheckInterval());
      return held ? late : TimeSpan.ZERO;
    }
    askHelpers(now);
    if (!now.isBefore(roundEnds)) {
      endRound(now);
      round(now);
    }
    if (suspects > 0) {
      expire(now);
    }
    return held ? late : TimeSpan.ZERO;
  }

  private TimeSpan roundLength() {
    return terms.healthCheckInterval().times(Math.min(SLOWEST_ROUND, health.slower()));
  }

  /** Whether nobody at all spoke for longer than two rounds, though some were asked. */
  boolean hearsNobody(Timestamp now) {
    return lastHeard != null
        && now.since(lastHeard).compareTo(roundLength().times(2).plus(terms.healthCheckInterval()))
            > 0;
  }

  private void askHelpers(Timestamp now) {
    TimeSpan direct = terms.healthCheckInterval().times(DIRECT * health.slower());
    probing.forEach(
        (id, p) -> {
          if (p.answered || now.isBefore(p.again)) {
            return;
          }
          // Once more itself too: where datagrams are lost at random, the next may come through.
          p.again = now.plus(direct.times(AGAIN));
          say(p.target, new HealthCheck(teller(), id, p.target.member.name(), newsFor(p.target)));
          if (p.indirect) {
            return;
          }
          p.indirect = true;
          for (Peer helper :
              drawn(
                  terms.relayCount(), h -> h.condition == MemberCondition.ALIVE && h != p.target)) {
            p.helpers++;
            say(helper, new HealthCheckRequest(teller(), id, p.target.member, newsFor(helper)));
          }
        });
  }

  private void endRound(Timestamp now) {
    int failed = 0;
    int judged = 0;
    boolean own = false;
    TimeSpan least = terms.healthCheckInterval().times(JUDGED_FROM * health.slower());
    for (Iterator<PendingCheck> all = probing.values().iterator(); all.hasNext(); ) {
      PendingCheck p = all.next();
      if (!p.answered && now.since(p.sent).compareTo(least) < 0) {
        // Asked in the middle of the round, and had no time yet.
        continue;
      }
      all.remove();
      judged++;
      if (p.answered || p.target.heard != null && !p.target.heard.isBefore(p.sent)) {
        continue;
      }
      failed++;
      // Helpers that do not even say that they failed: it may well be us.
      own |= !p.favour && (p.helped < p.helpers || p.helpers == 0);
      suspect(p.target, self.name(), now);
    }
    if (own) {
      health.worse();
    } else if (failed == 0 && judged > 0) {
      health.better();
    }
    // Guards against learning of a split one silent member a round: the fewer answer, the more are
    // asked.
    width = 2 * failed > judged ? Math.min(2 * width, Math.max(1, peers.size())) : 1;
    favours.values().removeIf(f -> f.until.isBefore(now));
  }

  private void round(Timestamp now) {
    rounds++;
    roundEnds = now.plus(roundLength());
    for (int i = 0; i < width; i++) {
      // Every other round the next in the ring of names, so that each has one who asks it every two
      // periods at the latest.
      Peer target = i == 0 && rounds % 2 == 0 ? successor() : nextTarget();
      if (target != null) {
        probe(target, now);
      }
    }
    drawn(REPROBED, p -> p.condition == MemberCondition.SUSPECT).forEach(p -> probe(p, now));
    boolean alone = peers.values().stream().noneMatch(p -> p.condition == MemberCondition.ALIVE);
    if (alone || rounds % SYNC_ROUNDS == 0) {
      drawn(1, p -> p.condition == MemberCondition.ALIVE)
          .forEach(p -> say(p, new StateRequest(teller(), null)));
    }
    if (alone || !majority || rounds % HEAL_ROUNDS == 0) {
      // Guards against a split that heals and that nobody notices, as nobody talks to the dead.
      drawn(majority ? 1 : CALLED_BACK, p -> p.condition.compareTo(MemberCondition.DEAD) >= 0)
          .forEach(p -> say(p, new StateRequest(teller(), null)));
      List<InetSocketAddress> seeds = new ArrayList<>(terms.seeds());
      for (int i = 0; i < (alone ? MOST_NEWS : 1) && !seeds.isEmpty(); i++) {
        InetSocketAddress seed = seeds.remove(chance.nextInt(seeds.size()));
        boolean known =
            peers.values().stream()
                .anyMatch(
                    p ->
                        p.condition == MemberCondition.ALIVE
                            && p.member.peerAddress().equals(seed));
        if (!known && !seed.equals(self.peerAddress())) {
          out.tell(seed, new StateRequest(teller(), null));
        }
      }
    }
    if (rounds % SYNC_ROUNDS == 0) {
      // One that told of a view is kept while none is held here: it says that there is one.
      version++;
      peers
          .values()
          .removeIf(
              p ->
                  p.condition.compareTo(MemberCondition.DEAD) >= 0
                      && (view.lineage() != 0 || p.view.lineage() == 0)
                      && now.since(p.since)
                              .compareTo(terms.healthCheckInterval().times(FORGET_PERIODS))
                          > 0);
    }
  }

  private Peer successor() {
    for (Map<MemberName, Peer> part :
        List.of(peers.tailMap(self.name(), false), peers.headMap(self.name(), false))) {
      for (Peer p : part.values()) {
        if (p.condition == MemberCondition.ALIVE) {
          return p;
        }
      }
    }
    return null;
  }

  /**
   * Each in turn, in an order drawn anew each time through, so that the time to the next probe of
   * one is bounded.
   */
  private Peer nextTarget() {
    for (int tries = 0; tries < 2; tries++) {
      while (!order.isEmpty()) {
        Peer p = order.remove(order.size() - 1);
        if (peers.get(p.member.name()) == p && p.condition == MemberCondition.ALIVE) {
          return p;
        }
      }
      peers.values().stream().filter(p -> p.condition == MemberCondition.ALIVE).forEach(order::add);
      java.util.Collections.shuffle(order, new java.util.Random(chance.nextLong()));
    }
    return null;
  }

  private List<Peer> drawn(int number, Predicate<Peer> which) {
    List<Peer> all = new ArrayList<>();
    for (Peer p : peers.values()) {
      if (which.test(p)) {
        all.add(p);
      }
    }
    List<Peer> some = new ArrayList<>();
    while (some.size() < number && !all.isEmpty()) {
      some.add(all.remove(chance.nextInt(all.size())));
    }
    return some;
  }

  long probe(Peer target, Timestamp now) {
    PendingCheck p = new PendingCheck();
    p.target = target;
    p.sent = now;
    p.again = now.plus(terms.healthCheckInterval().times(DIRECT * health.slower()));
    long id = chance.nextLong();
    probing.put(id, p);
    say(target, new HealthCheck(teller(), id, target.member.name(), newsFor(target)));
    return id;
  }

  /** Asks all these at once: after standing still, or to find all that fell silent together. */
  void rollCall(Collection<Member> members, Timestamp now) {
    for (Member m : members) {
      Peer p = peers.get(m.name());
      if (p != null && p.condition.compareTo(MemberCondition.DEAD) < 0) {
        probe(p, now);
      }
    }
  }

  private void say(Peer to, MembershipMessage message) {
    out.tell(to.member.peerAddress(), message);
  }

  /** What is said of the one spoken to comes first, so that it can refute it. */
  private List<MemberUpdate> newsFor(Peer to) {
    List<MemberUpdate> news = updates.next(MOST_NEWS, peers.size() + 1);
    if (to.condition != MemberCondition.ALIVE) {
      news.add(0, to.news(self.name()));
    }
    return news;
  }

  // ---- judging

  private void suspect(Peer p, MemberName by, Timestamp now) {
    told(new MemberUpdate(p.member, p.incarnation, MemberCondition.SUSPECT, by), now);
  }

  private void expire(Timestamp now) {
    for (Peer p : new ArrayList<>(peers.values())) {
      if (p.condition == MemberCondition.SUSPECT && !now.isBefore(p.expires)) {
        told(new MemberUpdate(p.member, p.incarnation, MemberCondition.DEAD, self.name()), now);
      }
    }
  }

  private void set(Peer p, MemberCondition to, Timestamp now) {
    suspects +=
        (to == MemberCondition.SUSPECT ? 1 : 0) - (p.condition == MemberCondition.SUSPECT ? 1 : 0);
    if (p.condition != to) {
      p.since = now;
      version++;
    }
    p.condition = to;
    if (to != MemberCondition.SUSPECT) {
      p.by.clear();
    }
  }

  /** More who suspect, or longer own trouble, move the moment until which one may refute. */
  private void deadline(Peer p) {
    double least = refutesWithin().us() * (double) health.slower();
    int needed = Math.max(1, Math.min(CONFIRMATIONS, peers.size() - 1));
    double confirmed = Math.log(p.by.size()) / Math.log(needed + 1);
    double span = least * (ALONE - (ALONE - 1) * Math.min(1, confirmed));
    p.expires = p.suspected.plus(new TimeSpan(Math.round(span)));
  }

  /** News of anybody, from anybody. */
  void told(MemberUpdate news, Timestamp now) {
    Member m = news.member();
    if (m.name().equals(self.name())) {
      ofUs(news, now);
      return;
    }
    Peer p = peers.get(m.name());
    if (p == null) {
      if (news.condition().compareTo(MemberCondition.DEAD) < 0 && peers.size() < MOST_PEERS) {
        p = new Peer();
        p.member = m;
        p.incarnation = news.statusVersion();
        p.condition = MemberCondition.ALIVE;
        p.since = now;
        peers.put(m.name(), p);
        version++;
        order.add(chance.nextInt(order.size() + 1), p);
        out.note(
            MembershipEvent.JOINED_SIGHT, m.name(), m.peerAddress() + " birth " + m.incarnation());
        updates.add(new MemberUpdate(m, p.incarnation, MemberCondition.ALIVE, news.reportedBy()));
        if (news.condition() == MemberCondition.SUSPECT) {
          told(news, now);
        }
      }
      return;
    }
    int birth = m.incarnation().compareTo(p.member.incarnation());
    if (birth < 0) {
      return;
    }
    if (birth > 0) {
      if (news.condition().compareTo(MemberCondition.DEAD) < 0) {
        replaced(p, m, news, now);
      }
      return;
    }
    int newer = Long.compare(news.statusVersion(), p.incarnation);
    boolean overrules =
        news.condition() == MemberCondition.ALIVE
            ? newer > 0
            : newer > 0 || newer == 0 && news.condition().compareTo(p.condition) > 0;
    if (newer == 0
        && news.condition() == MemberCondition.SUSPECT
        && p.condition == MemberCondition.SUSPECT) {
      if (p.by.size() <= CONFIRMATIONS && p.by.add(news.reportedBy())) {
        deadline(p);
        updates.add(news);
      }
      return;
    }
    if (!overrules || p.condition == MemberCondition.LEFT && newer <= 0) {
      return;
    }
    MemberCondition was = p.condition;
    p.incarnation = news.statusVersion();
    set(p, news.condition(), now);
    switch (news.condition()) {
      case SUSPECT -> {
        p.by.clear();
        p.by.add(news.reportedBy());
        p.suspected = now;
        deadline(p);
        out.note(MembershipEvent.SUSPECTED, m.name(), "by " + news.reportedBy());
      }
      case DEAD -> out.note(MembershipEvent.SEEMS_DEAD, m.name(), "found by " + news.reportedBy());
      case LEFT -> out.note(MembershipEvent.LEFT, m.name(), "told by " + news.reportedBy());
      default -> {
        if (was != MemberCondition.ALIVE) {
          out.note(MembershipEvent.REFUTED, m.name(), "incarnation " + p.incarnation);
        }
      }
    }
    updates.add(news);
  }

  /** A later process of a known name. */
  private void replaced(Peer p, Member m, MemberUpdate news, Timestamp now) {
    out.note(
        MembershipEvent.RESTARTED,
        m.name(),
        "birth " + m.incarnation() + " for " + p.member.incarnation() + " at " + m.peerAddress());
    p.member = m;
    version++;
    p.incarnation = news.statusVersion();
    p.heard = null;
    p.view = ViewId.NONE;
    set(p, MemberCondition.ALIVE, now);
    p.since = now;
    updates.add(new MemberUpdate(m, p.incarnation, MemberCondition.ALIVE, news.reportedBy()));
  }

  private void ofUs(MemberUpdate news, Timestamp now) {
    Member m = news.member();
    int birth = m.incarnation().compareTo(self.incarnation());
    if (birth < 0) {
      return;
    }
    if (!m.peerAddress().equals(self.peerAddress())) {
      taken(m, now);
    } else if (birth > 0) {
      // A former process here had a later clock: ours comes after it all the same.
      self = new Member(self.name(), self.incarnation().above(m.incarnation()), self.peerAddress());
      incarnation = 0;
    } else if (birth == 0
        && start(news.statusVersion()) > start(incarnation)
        && start(incarnation) > 0) {
      // Guards against a folder copied back from an earlier time: a later process has been this
      // member, and may have
      // promised what this one knows nothing of.
      out.note(
          MembershipEvent.FOLDER_OLD,
          self.name(),
          "start " + start(incarnation) + ", peers know " + start(news.statusVersion()));
      beginAnew();
    } else if (news.condition() != MemberCondition.ALIVE && news.statusVersion() >= incarnation
        || news.statusVersion() > incarnation) {
      incarnation = news.statusVersion() + 1;
      health.worse();
      updates.add(new MemberUpdate(self, incarnation, MemberCondition.ALIVE, self.name()));
      // Told to some at once: spread at the pace of rounds, it could come too late.
      drawn(terms.relayCount(), p -> p.condition == MemberCondition.ALIVE)
          .forEach(
              p ->
                  say(
                      p,
                      new StatePart(
                          teller(),
                          List.of(
                              new MemberUpdate(
                                  self, incarnation, MemberCondition.ALIVE, self.name())),
                          false)));
    }
  }

  private void taken(Member holder, Timestamp now) {
    if (!isQuiet(now)) {
      out.note(
          MembershipEvent.NAME_TAKEN,
          self.name(),
          "held by the process at " + holder.peerAddress());
    }
    quietUntil = now.plus(terms.healthCheckInterval().times(QUIET_PERIODS));
  }

  // ---- what comes

  /**
   * A process has spoken. False if what it says does not count: it is a former one, or its name is
   * another's.
   */
  boolean spoke(MessageHeader t, Timestamp now) {
    Member m = t.member();
    if (m.name().equals(self.name())) {
      if (!m.incarnation().equals(self.incarnation())
          && !m.peerAddress().equals(self.peerAddress())
          && !isQuiet(now)) {
        out.tell(m.peerAddress(), new NameTaken(teller(), self));
      }
      return false;
    }
    Peer p = peers.get(m.name());
    boolean former =
        p != null
            && m.incarnation().equals(p.member.incarnation())
            && start(t.statusVersion()) < start(p.incarnation);
    if (p != null && m.incarnation().compareTo(p.member.incarnation()) < 0 || former) {
      out.tell(m.peerAddress(), new StatePart(teller(), List.of(p.news(self.name())), false));
      return false;
    }
    if (p != null
        && !m.peerAddress().equals(p.member.peerAddress())
        && p.condition == MemberCondition.ALIVE
        && p.heard != null
        && now.since(p.heard).compareTo(refutesWithin().times(ALONE)) < 0) {
      out.tell(m.peerAddress(), new NameTaken(teller(), p.member));
      return false;
    }
    told(new MemberUpdate(m, t.statusVersion(), MemberCondition.ALIVE, m.name()), now);
    p = peers.get(m.name());
    if (p == null) {
      return false;
    }
    if (!m.peerAddress().equals(p.member.peerAddress())) {
      p.member = m;
      version++;
    }
    p.heard = now;
    lastHeard = now;
    p.view = t.view();
    p.majority = t.seesMajority();
    return true;
  }

  /** A message of this layer, from a teller that counts. */
  void heard(MembershipMessage message, Timestamp now) {
    Peer from = peers.get(message.from().member().name());
    if (message instanceof HealthCheck probe) {
      probe.updates().forEach(n -> told(n, now));
      if (probe.to().equals(self.name())) {
        say(from, new HealthCheckReply(teller(), probe.id(), true, newsFor(from)));
      }
    } else if (message instanceof HealthCheckRequest relay) {
      relay.updates().forEach(n -> told(n, now));
      Peer target = peers.get(relay.target().name());
      if (target != null && favours.size() < MOST_FAVOURS) {
        // Its own probe too: what it does not reach, it suspects as well, and so confirms.
        long id = probe(target, now);
        probing.get(id).indirect = true;
        probing.get(id).favour = true;
        favours.put(
            id,
            new RelayedCheck(
                from.member, relay.id(), now.plus(terms.healthCheckInterval().times(FAVOUR_FOR))));
      }
      // That it heard of the wish at least: the other then knows that not all of this is about
      // itself.
      say(from, new HealthCheckReply(teller(), relay.id(), false, List.of()));
    } else if (message instanceof HealthCheckReply answer) {
      answer.updates().forEach(n -> told(n, now));
      answered(answer, from, now);
    } else if (message instanceof StateRequest ask) {
      part(from, ask.after());
    } else if (message instanceof StatePart part) {
      part.state().forEach(n -> told(n, now));
      if (part.more() && !part.state().isEmpty()) {
        say(
            from,
            new StateRequest(teller(), part.state().get(part.state().size() - 1).member().name()));
      }
    } else if (message instanceof NameTaken no
        && !no.holder().peerAddress().equals(self.peerAddress())) {
      taken(no.holder(), now);
    }
  }

  private void answered(HealthCheckReply answer, Peer from, Timestamp now) {
    RelayedCheck favour = favours.get(answer.id());
    if (favour != null && answer.reached()) {
      favours.remove(answer.id());
      out.tell(
          favour.asker.peerAddress(),
          new HealthCheckReply(teller(), favour.id, true, List.of(from.news(self.name()))));
    }
    PendingCheck p = probing.get(answer.id());
    if (p == null) {
      return;
    }
    if (!answer.reached()) {
      p.helped++;
    } else {
      p.answered = true;
      if (p.target == from) {
        from.roundTrip = now.since(p.sent);
      }
    }
  }

  private void part(Peer to, MemberName after) {
    List<MemberUpdate> state = new ArrayList<>();
    if (after == null) {
      state.add(new MemberUpdate(self, incarnation, MemberCondition.ALIVE, self.name()));
    }
    Iterator<Peer> rest = (after == null ? peers : peers.tailMap(after, false)).values().iterator();
    while (rest.hasNext() && state.size() < MOST_PART) {
      state.add(rest.next().news(self.name()));
    }
    say(to, new StatePart(teller(), state, rest.hasNext()));
  }

  /** Tells some that this process leaves; no suspicion follows. */
  void leave() {
    MemberUpdate news = new MemberUpdate(self, incarnation, MemberCondition.LEFT, self.name());
    drawn(MOST_NEWS, p -> p.condition == MemberCondition.ALIVE)
        .forEach(p -> say(p, new StatePart(teller(), List.of(news), false)));
  }

  /** Members of a view that were not known here count as alive until they do not answer. */
  void learn(Collection<Member> members, Timestamp now) {
    for (Member m : members) {
      if (!m.name().equals(self.name()) && !peers.containsKey(m.name())) {
        told(new MemberUpdate(m, 0, MemberCondition.ALIVE, self.name()), now);
      }
    }
  }

  /** So many members, by how they seem. */
  Map<MemberCondition, Integer> counts() {
    Map<MemberCondition, Integer> counts = new HashMap<>();
    peers.values().forEach(p -> counts.merge(p.condition, 1, Integer::sum));
    return counts;
  }
}

package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.LeaseMessage.LeaseGrant;
import cobaltseam.membership.LeaseMessage.LeaseRenewal;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Whether this process may act on its view. It does no I/O. A majority of the view says, at a
 * moment after it was asked, that the view has no successor yet; from the moment of asking that
 * counts for a stated time by the own clock. Whatever follows a view was accepted by a majority of
 * it, and that and the answering majority share a member, who answered before it accepted: so
 * within that time after a successor is chosen, nobody acts on the view any more. Nobody has to
 * remember a lease.
 */
public final class Lease {
  /**
   * What it is set to.
   *
   * @param duration for so long after it was asked for
   * @param maxClockRateRatio by which part the rates of two clocks differ at most
   */
  public record LeaseOptions(TimeSpan duration, double maxClockRateRatio) {
    public LeaseOptions {
      if (!duration.isPositive()) {
        throw new IllegalArgumentException("a lease lasts longer than no time");
      }
    }
  }

  /** A datagram to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, LeaseMessage word) {}

  /** The part of a lease after which it is asked for again. */
  private static final double RENEW = 0.25;

  private static final int MOST_ROUNDS = 8;

  private static final class Round {
    ViewId view;
    Timestamp sent;
    final Set<MemberName> grants = new HashSet<>();
  }

  private final LeaseOptions terms;
  private final Membership membership;
  private final RandomGenerator chance;
  private final Map<Long, Round> rounds = new LinkedHashMap<>();
  private View held;
  private Timestamp until, renewAt;

  public Lease(LeaseOptions terms, Membership membership, RandomGenerator chance) {
    this.terms = terms;
    this.membership = membership;
    this.chance = chance;
  }

  /** Until when this process may act without hearing from a majority; null if it may not. */
  public Timestamp until() {
    return until;
  }

  public TimeSpan left(Timestamp now) {
    return until == null || !now.isBefore(until) ? TimeSpan.ZERO : until.since(now);
  }

  /** After so long all leases that were given before have ended, whichever clock is the slower. */
  public TimeSpan outlasts() {
    return terms.duration().times(1 + 2 * terms.maxClockRateRatio());
  }

  public LeaseOptions terms() {
    return terms;
  }

  /** When {@link #follow} is to be asked again; null where there is no view. */
  public Timestamp wake(Timestamp now) {
    return renewAt == null
        ? null
        : now.isBefore(renewAt) ? renewAt : now.plus(terms.duration().times(RENEW / 2));
  }

  /** What follows from the view and from time. */
  public List<OutgoingMessage> follow(Timestamp now) {
    View view = membership.view();
    if (view != held) {
      boolean sameLine = view != null && held != null && view.id().lineage() == held.id().lineage();
      until = sameLine ? until : null;
      held = view;
      renewAt = view == null ? null : now;
    }
    List<OutgoingMessage> tells = new ArrayList<>();
    if (view == null || now.isBefore(renewAt) || !membership.isNewest()) {
      return tells;
    }
    renewAt = now.plus(terms.duration().times(RENEW));
    Round round = new Round();
    round.view = view.id();
    round.sent = now;
    long id = chance.nextLong();
    rounds.put(id, round);
    if (rounds.size() > MOST_ROUNDS) {
      rounds.remove(rounds.keySet().iterator().next());
    }
    for (Member m : view.members()) {
      if (!m.name().equals(membership.self().name())) {
        tells.add(new OutgoingMessage(m.peerAddress(), new LeaseRenewal(membership.teller(), id)));
      }
    }
    granted(round, membership.self(), view);
    return tells;
  }

  /** One of a round's view says that at a moment after it was asked the view had no successor. */
  private void granted(Round round, Member by, View view) {
    round.grants.add(by.name());
    if (round.grants.size() >= view.majority()) {
      Timestamp ends = round.sent.plus(terms.duration());
      until = until == null || until.isBefore(ends) ? ends : until;
    }
  }

  /**
   * What to tell after a word that its carrier found whole; the caller has asked {@link
   * Membership#spoke}.
   */
  public List<OutgoingMessage> heard(LeaseMessage word, Timestamp now) {
    View view = membership.view();
    Member from = word.from().member();
    if (view == null || !view.contains(from.name(), from.incarnation())) {
      return List.of();
    }
    if (word instanceof LeaseRenewal r
        && membership.isNewest()
        && r.from().view().equals(view.id())) {
      return List.of(
          new OutgoingMessage(from.peerAddress(), new LeaseGrant(membership.teller(), r.id())));
    }
    Round round = word instanceof LeaseGrant g ? rounds.get(g.id()) : null;
    if (round != null && round.view.equals(view.id()) && word.from().view().equals(round.view)) {
      granted(round, from, view);
    }
    return List.of();
  }
}

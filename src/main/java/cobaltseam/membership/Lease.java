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
 * The lease under which this process may act on its view. It does no I/O and is not thread-safe.
 *
 * <p>A majority of the view confirms, after it was asked, that it has accepted no successor. That
 * counts for {@link LeaseOptions#duration} from the time of asking, by the local clock. A successor
 * is accepted by a majority too, and the two majorities share a member, which confirmed before it
 * accepted. So once that duration has passed after a successor is chosen, nobody acts on the former
 * view. No member has to remember a lease.
 */
public final class Lease {
  /**
   * The settings of a lease.
   *
   * @param duration how long a lease lasts from the time at which it was requested; more than zero
   * @param maxClockRateRatio by which part the rates of two clocks differ at most
   */
  public record LeaseOptions(TimeSpan duration, double maxClockRateRatio) {
    /** Throws {@link IllegalArgumentException} if the duration is not positive. */
    public LeaseOptions {
      if (!duration.isPositive()) {
        throw new IllegalArgumentException("the duration of a lease must be more than zero");
      }
    }
  }

  /** A datagram to send; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, LeaseMessage message) {}

  /** The part of its duration after which a lease is renewed. */
  private static final double RENEW_AFTER_FRACTION = 0.25;

  private static final int MAX_ROUNDS = 8;

  private static final class Round {
    final ViewId viewId;
    final Timestamp sentAt;
    final Set<MemberName> grantedBy = new HashSet<>();

    Round(ViewId viewId, Timestamp sentAt) {
      this.viewId = viewId;
      this.sentAt = sentAt;
    }
  }

  private final LeaseOptions options;
  private final Membership membership;
  private final RandomGenerator random;
  private final Map<Long, Round> rounds = new LinkedHashMap<>();
  private View leasedView;
  private Timestamp expiresAt;
  private Timestamp renewAt;

  /** A lease that is not held yet. */
  public Lease(LeaseOptions options, Membership membership, RandomGenerator random) {
    this.options = options;
    this.membership = membership;
    this.random = random;
  }

  /** Until when this process may act without hearing from a majority; null if it may not. */
  public Timestamp expiresAt() {
    return expiresAt;
  }

  /** How long this process may still act; zero if it may not. */
  public TimeSpan remaining(Timestamp now) {
    return expiresAt == null || !now.isBefore(expiresAt) ? TimeSpan.ZERO : expiresAt.since(now);
  }

  /** After this time all leases granted before have ended, whichever clock is the slower. */
  public TimeSpan maxDuration() {
    return options.duration().times(1 + 2 * options.maxClockRateRatio());
  }

  /** The settings. */
  public LeaseOptions options() {
    return options;
  }

  /** When {@link #onTimer} must be called next; null without a view. */
  public Timestamp nextWakeup(Timestamp now) {
    if (renewAt == null || now.isBefore(renewAt)) {
      return renewAt;
    }
    return now.plus(options.duration().times(RENEW_AFTER_FRACTION / 2));
  }

  /** Follows changes of the view, and requests a renewal if one is due. */
  public List<OutgoingMessage> onTimer(Timestamp now) {
    View view = membership.view();
    if (view != leasedView) {
      boolean isSameLineage =
          view != null && leasedView != null && view.id().lineage() == leasedView.id().lineage();
      expiresAt = isSameLineage ? expiresAt : null;
      leasedView = view;
      renewAt = view == null ? null : now;
    }
    List<OutgoingMessage> messages = new ArrayList<>();
    if (view == null || now.isBefore(renewAt) || !membership.hasAcceptedNoSuccessor()) {
      return messages;
    }
    renewAt = now.plus(options.duration().times(RENEW_AFTER_FRACTION));
    Round round = new Round(view.id(), now);
    long id = random.nextLong();
    rounds.put(id, round);
    if (rounds.size() > MAX_ROUNDS) {
      rounds.remove(rounds.keySet().iterator().next());
    }
    for (Member member : view.members()) {
      if (!member.name().equals(membership.self().name())) {
        messages.add(
            new OutgoingMessage(member.peerAddress(), new LeaseRenewal(membership.header(), id)));
      }
    }
    addGrant(round, membership.self(), view);
    return messages;
  }

  /** Counts a member that confirmed, after the request, that the view has no successor. */
  private void addGrant(Round round, Member grantor, View view) {
    round.grantedBy.add(grantor.name());
    if (round.grantedBy.size() >= view.majority()) {
      Timestamp endsAt = round.sentAt.plus(options.duration());
      expiresAt = expiresAt == null || expiresAt.isBefore(endsAt) ? endsAt : expiresAt;
    }
  }

  /**
   * Processes a message whose sender {@link Membership#acceptSender} accepted.
   *
   * @return the messages to send
   */
  public List<OutgoingMessage> receive(LeaseMessage message, Timestamp now) {
    View view = membership.view();
    Member from = message.from().member();
    if (view == null || !view.contains(from.name(), from.incarnation())) {
      return List.of();
    }
    if (message instanceof LeaseRenewal renewal
        && membership.hasAcceptedNoSuccessor()
        && renewal.from().view().equals(view.id())) {
      return List.of(
          new OutgoingMessage(
              from.peerAddress(), new LeaseGrant(membership.header(), renewal.id())));
    }
    Round round = message instanceof LeaseGrant grant ? rounds.get(grant.id()) : null;
    if (round != null
        && round.viewId.equals(view.id())
        && message.from().view().equals(round.viewId)) {
      addGrant(round, from, view);
    }
    return List.of();
  }
}

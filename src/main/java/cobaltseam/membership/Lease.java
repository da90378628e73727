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
 * The lease under which this process may rely on its view. This class does no I/O and is not
 * thread-safe.
 *
 * <p>A majority of the view confirms, on request, that it has accepted no successor of the view.
 * The lease then lasts for {@link LeaseOptions#duration} from the time of the request, by the local
 * clock. A successor needs a majority of acceptances too, and the two majorities share a member,
 * which granted the lease before it accepted the successor. So once that duration has passed after
 * a successor was chosen, no process relies on the former view. Members store no leases.
 */
public final class Lease {
  /**
   * The settings of a lease.
   *
   * @param duration how long a lease lasts from the time of its request; more than zero
   * @param maxClockRateRatio the largest difference between the rates of two clocks, as a ratio
   */
  public record LeaseOptions(TimeSpan duration, double maxClockRateRatio) {
    /** Throws {@link IllegalArgumentException} if the duration is not positive. */
    public LeaseOptions {
      if (!duration.isPositive()) {
        throw new IllegalArgumentException("the lease duration must be more than zero");
      }
    }
  }

  /** A message to send as a datagram, which may be lost. */
  public record OutgoingMessage(InetSocketAddress to, LeaseMessage message) {}

  /** The fraction of its duration after which a lease is renewed. */
  private static final double RENEW_AFTER_FRACTION = 0.25;

  /** The most renewal rounds kept to count grants; the oldest is dropped first. */
  private static final int MAX_OPEN_ROUNDS = 8;

  /** One renewal request to all members of the view, and the members that granted it. */
  private static final class RenewalRound {
    final ViewId viewId;
    final Timestamp sentAt;
    final Set<MemberName> grantedBy = new HashSet<>();

    RenewalRound(ViewId viewId, Timestamp sentAt) {
      this.viewId = viewId;
      this.sentAt = sentAt;
    }
  }

  private final LeaseOptions options;
  private final Membership membership;
  private final RandomGenerator random;
  private final Map<Long, RenewalRound> rounds = new LinkedHashMap<>();
  private View leasedView;
  private Timestamp expiresAt;
  private Timestamp renewAt;

  /** Creates a lease that no majority has granted yet. */
  public Lease(LeaseOptions options, Membership membership, RandomGenerator random) {
    this.options = options;
    this.membership = membership;
    this.random = random;
  }

  /**
   * The time until which this process may rely on its view without further grants; null if no lease
   * was granted in the lineage of the view.
   */
  public Timestamp expiresAt() {
    return expiresAt;
  }

  /** The time left until the lease expires; zero without a valid lease. */
  public TimeSpan remaining(Timestamp now) {
    return expiresAt == null || !now.isBefore(expiresAt) ? TimeSpan.ZERO : expiresAt.since(now);
  }

  /**
   * The time after which all leases granted before have expired, by the clock of any process. The
   * bound includes the largest difference between the rates of two clocks.
   */
  public TimeSpan maxDuration() {
    return options.duration().times(1 + 2 * options.maxClockRateRatio());
  }

  /** The settings of this lease. */
  public LeaseOptions options() {
    return options;
  }

  /** The time by which {@link #onTimer} must be called next; null without a view. */
  public Timestamp nextWakeup(Timestamp now) {
    if (renewAt == null || now.isBefore(renewAt)) {
      return renewAt;
    }
    return now.plus(options.duration().times(RENEW_AFTER_FRACTION / 2));
  }

  /**
   * Requests a renewal if one is due. On a change of view a renewal is due at once; the current
   * lease is kept only if both views are of the same lineage.
   */
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
    RenewalRound round = new RenewalRound(view.id(), now);
    long id = random.nextLong();
    rounds.put(id, round);
    if (rounds.size() > MAX_OPEN_ROUNDS) {
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

  /** Counts a grant of a renewal round; grants by a majority of the view extend the lease. */
  private void addGrant(RenewalRound round, Member grantor, View view) {
    round.grantedBy.add(grantor.name());
    if (round.grantedBy.size() >= view.majority()) {
      Timestamp endsAt = round.sentAt.plus(options.duration());
      expiresAt = expiresAt == null || expiresAt.isBefore(endsAt) ? endsAt : expiresAt;
    }
  }

  /**
   * Grants a renewal, or counts a grant. The caller has checked the sender with {@link
   * Membership#acceptSender}.
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
    RenewalRound round = message instanceof LeaseGrant grant ? rounds.get(grant.id()) : null;
    if (round != null
        && round.viewId.equals(view.id())
        && message.from().view().equals(round.viewId)) {
      addGrant(round, from, view);
    }
    return List.of();
  }
}

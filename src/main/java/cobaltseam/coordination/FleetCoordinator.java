package cobaltseam.coordination;

import cobaltseam.agreement.AgreementEffect;
import cobaltseam.agreement.AgreementMessage;
import cobaltseam.agreement.ConfigurationAgreement;
import cobaltseam.capacity.CapacityLeaseMessage;
import cobaltseam.capacity.CapacityLeases;
import cobaltseam.capacity.LoadReportMessage;
import cobaltseam.capacity.LoadReports;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Lease;
import cobaltseam.membership.LeaseMessage;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Membership;
import cobaltseam.membership.MembershipAction;
import cobaltseam.membership.MembershipMessage;
import cobaltseam.membership.PeerMessage;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import cobaltseam.retrybudget.RetryBudget;
import cobaltseam.retrybudget.RetryBudgetMessage;
import cobaltseam.sharing.KnownFigures;
import cobaltseam.sharing.SharingPeerMessage;
import cobaltseam.sharing.StateGossip;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Joins the modules that decide together with other members. It routes each message to its module,
 * and after each step lets the modules follow what they depend on: membership first, then the
 * lease, then the modules that act under it. It does no I/O and decides nothing itself, so the
 * service and the fleets in virtual time can't differ in how modules are joined. Modules that are
 * null are off.
 */
public final class FleetCoordinator {
  /** Carries out what the modules ask for. */
  public interface EffectSink {
    /** Sends a message to a member; it may be lost. */
    void send(InetSocketAddress to, PeerMessage message);

    /** An action of membership other than a message. */
    void handleMembership(MembershipAction act);

    /** An effect of the agreement: an activation or a recorded event. */
    void handleAgreement(AgreementEffect doing);
  }

  /** How many attempts this process made so far. */
  public interface AttemptCounts {
    /** First attempts of requests. */
    long firstAttempts();

    /** Retries, and those that it would have made if the budget had allowed them. */
    long wantedRetries();
  }

  /**
   * The name of the figure that says how many retries others may request of a member, in
   * thousandths.
   */
  public static final String SPARE_RETRIES_FIGURE = "repeats.spare";

  /** The name of the figure that says the demand of a member. */
  public static final String DEMAND_FIGURE = "spread.demand";

  /** Figures are integers; a demand of one is this figure. */
  private static final double DEMAND_UNITS = 1000;

  private final Membership membership;
  private final Lease lease;
  private final ConfigurationAgreement agreement;
  private final StateGossip gossip;
  private CapacityLeases capacityLeases;
  private LoadReports loadReports;
  private RetryBudget retryBudget;
  private AttemptCounts attemptCounts;
  private final EffectSink effects;
  private View gossipView;
  private boolean isFollowing;
  private Timestamp lastFollowAt;

  /**
   * @param lease null if nothing of this needs one
   * @param gossip null if members share no figures
   */
  public FleetCoordinator(
      Membership membership,
      Lease lease,
      ConfigurationAgreement agreement,
      StateGossip gossip,
      EffectSink effects) {
    this.membership = membership;
    this.lease = lease;
    this.agreement = agreement;
    this.gossip = gossip;
    this.effects = effects;
  }

  /** Turns on capacity leases; they need a lease and gossip. */
  public void setCapacityLeases(CapacityLeases leases) {
    capacityLeases = leases;
  }

  /** Turns on the exchange of load reports. */
  public void setLoadReports(LoadReports reports) {
    loadReports = reports;
  }

  /** Turns on the retry budget; it needs gossip. */
  public void setRetryBudget(RetryBudget budget, AttemptCounts counts) {
    retryBudget = budget;
    attemptCounts = counts;
  }

  /** What capacity leases depend on: the view, the lease and the demand of members. */
  public CapacityLeases.LeaseContext leaseContext() {
    return new CapacityLeases.LeaseContext() {
      @Override
      public View view() {
        return membership.view();
      }

      @Override
      public Member self() {
        return membership.self();
      }

      @Override
      public MembershipMessage.MessageHeader messageHeader() {
        return membership.header();
      }

      @Override
      public Timestamp leaseUntil() {
        return lease.expiresAt();
      }

      @Override
      public TimeSpan maxLeaseDuration() {
        return lease.maxDuration();
      }

      @Override
      public double maxClockRateRatio() {
        return lease.options().maxClockRateRatio();
      }

      @Override
      public Double demand(MemberName of) {
        KnownFigures known = gossip.figuresOf(of, lastFollowAt);
        Long said = known == null ? null : known.figures().byName().get(DEMAND_FIGURE);
        return said == null || said < 0 ? null : FleetCoordinator.figureToDemand(said.longValue());
      }
    };
  }

  /** The figure that says a demand. */
  public static long demandToFigure(double demand) {
    return Math.round(Math.min(demand, Integer.MAX_VALUE) * DEMAND_UNITS);
  }

  /** The demand that a figure says. */
  public static double figureToDemand(long figure) {
    return figure / DEMAND_UNITS;
  }

  // ---- input

  /** Starts membership; to be called once, before anything else. */
  public void start(Timestamp now) {
    handleActions(membership.start(now), now);
  }

  /** Leaves the fleet and tells the other members. */
  public void leave(Timestamp now) {
    handleActions(membership.leave(now), now);
  }

  /** The persistent state with this number, and all before it, is on disk. */
  public void persisted(long number, Timestamp now) {
    handleActions(membership.onStateWritten(number), now);
  }

  /** State could not be persisted, with the reason. */
  public void persistFailed(String why, Timestamp now) {
    handleActions(membership.onStateWriteFailed(why, now), now);
  }

  /** An operator asks for a new lineage in place of this view, whose majority is gone. */
  public void rebootstrap(ViewId said, Timestamp now) {
    handleActions(membership.rebootstrap(said, now), now);
  }

  /** Time has passed. */
  public void advance(Timestamp now) {
    handleActions(membership.onTimer(now), now);
  }

  /** Handles an authenticated message of a member of this fleet. */
  public void receive(PeerMessage message, Timestamp now) {
    if (message instanceof MembershipMessage membershipMessage) {
      handleActions(membership.receive(membershipMessage, now), now);
    } else if (message instanceof AgreementMessage word) {
      if (agreement != null) {
        handleEffects(agreement.receive(word, now), now);
      }
    } else if (membership.acceptSender(message, now)) {
      lastFollowAt = now;
      if (message instanceof LeaseMessage word && lease != null) {
        lease.receive(word, now).forEach(t -> effects.send(t.to(), t.message()));
      } else if (message instanceof SharingPeerMessage said && gossip != null) {
        sendGossip(gossip.receive(said.body(), now));
      } else if (message instanceof CapacityLeaseMessage word && capacityLeases != null) {
        capacityLeases.receive(word, now).forEach(t -> effects.send(t.to(), t.message()));
      } else if (message instanceof RetryBudgetMessage word && retryBudget != null) {
        retryBudget
            .receive(word, membership.view(), membership.header(), now)
            .forEach(t -> effects.send(t.to(), t.message()));
      } else if (message instanceof LoadReportMessage word && loadReports != null) {
        loadReports
            .receive(word, membership.view(), membership.header(), now)
            .forEach(t -> effects.send(t.to(), t.message()));
      }
    }
    follow(now);
  }

  /** When {@link #advance} is to be asked next; null once this process has left. */
  public Timestamp nextAdvanceAt(Timestamp now) {
    Timestamp wake = membership.nextWakeup(now);
    if (wake == null) {
      return null;
    }
    wake = lease == null ? wake : earlier(wake, lease.nextWakeup(now));
    wake = agreement == null ? wake : earlier(wake, agreement.nextFollowAt(now));
    wake = gossip == null ? wake : earlier(wake, gossip.nextRoundAt());
    wake = retryBudget == null ? wake : earlier(wake, retryBudget.nextUpdateAt(now));
    wake = loadReports == null ? wake : earlier(wake, loadReports.nextRoundAt());
    return capacityLeases == null ? wake : earlier(wake, capacityLeases.nextUpdateAt(now));
  }

  private static Timestamp earlier(Timestamp one, Timestamp other) {
    return other == null || one.isBefore(other) ? one : other;
  }

  // ---- results

  private void handleActions(List<MembershipAction> acts, Timestamp now) {
    for (MembershipAction act : acts) {
      if (act instanceof MembershipAction.Send tell) {
        effects.send(tell.to(), tell.message());
      } else {
        effects.handleMembership(act);
      }
    }
    follow(now);
  }

  private void handleEffects(List<AgreementEffect> doings, Timestamp now) {
    List<MembershipAction> acts = new ArrayList<>();
    for (AgreementEffect doing : doings) {
      if (doing instanceof AgreementEffect.Send tell) {
        effects.send(tell.to(), tell.message());
      } else if (doing instanceof AgreementEffect.MembershipEffect of) {
        acts.add(of.action());
      } else {
        effects.handleAgreement(doing);
      }
    }
    if (!acts.isEmpty()) {
      handleActions(acts, now);
    }
  }

  private Map<MemberName, Long> spareRetries(Timestamp now) {
    Map<MemberName, Long> spares = new HashMap<>();
    for (Member m : membership.view() == null ? List.<Member>of() : membership.view().members()) {
      KnownFigures known = gossip.figuresOf(m.name(), now);
      Long said = known == null ? null : known.figures().byName().get(SPARE_RETRIES_FIGURE);
      if (said != null) {
        spares.put(m.name(), said);
      }
    }
    return spares;
  }

  private void sendGossip(List<StateGossip.OutgoingMessage> sends) {
    View view = membership.view();
    for (StateGossip.OutgoingMessage send : sends) {
      Member to = view == null ? null : view.memberNamed(send.to());
      if (to != null) {
        effects.send(to.peerAddress(), SharingPeerMessage.of(membership.header(), send.message()));
      }
    }
  }

  /**
   * Lets each module follow what it depends on, in a fixed order; to be called after any module was
   * called directly.
   */
  public void follow(Timestamp now) {
    if (isFollowing) {
      return;
    }
    isFollowing = true;
    lastFollowAt = now;
    if (lease != null) {
      lease.onTimer(now).forEach(t -> effects.send(t.to(), t.message()));
    }
    if (agreement != null) {
      handleEffects(agreement.follow(now), now);
    }
    if (gossip != null) {
      gossip.setIncarnation(membership.self().incarnation());
      if (membership.view() != gossipView) {
        gossipView = membership.view();
        Set<MemberName> names =
            gossipView == null
                ? Set.of()
                : gossipView.members().stream().map(Member::name).collect(Collectors.toSet());
        gossip.setView(names);
      }
      sendGossip(gossip.runRound(now));
    }
    if (capacityLeases != null) {
      capacityLeases.update(now).forEach(t -> effects.send(t.to(), t.message()));
    }
    if (retryBudget != null && retryBudget.isDue(now)) {
      retryBudget
          .update(
              attemptCounts.firstAttempts(),
              attemptCounts.wantedRetries(),
              spareRetries(now),
              membership.view(),
              membership.header(),
              now)
          .forEach(t -> effects.send(t.to(), t.message()));
    }
    if (loadReports != null) {
      loadReports
          .runRound(membership.view(), membership.header(), now)
          .forEach(t -> effects.send(t.to(), t.message()));
    }
    isFollowing = false;
  }
}

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
 * Connects the modules that decide together with other members. Routes each message to its module,
 * and after each step updates the modules in the order of their dependencies: membership first,
 * then the lease, then the modules that act under the lease. This class does no I/O and makes no
 * decisions. The service and the fleets simulated in virtual time share it, so that both connect
 * the modules in the same way. A module that is null is disabled.
 */
public final class FleetCoordinator {
  /** Carries out the effects of the modules. */
  public interface EffectSink {
    /** Sends a message to a member; it may be lost. */
    void send(InetSocketAddress to, PeerMessage message);

    /** Handles an action of membership other than a message. */
    void handleMembership(MembershipAction action);

    /** Handles an effect of the agreement: an activation or a recorded event. */
    void handleAgreement(AgreementEffect effect);
  }

  /** The numbers of attempts that this process has made since it started. */
  public interface AttemptCounts {
    /** The number of first attempts of requests. */
    long firstAttempts();

    /** The number of retries made, plus those that the retry budget did not allow. */
    long wantedRetries();
  }

  /**
   * The name of the figure that holds the number of retries that other members may request from a
   * member, in thousandths.
   */
  public static final String SPARE_RETRIES_FIGURE = "repeats.spare";

  /** The name of the figure that holds the demand of a member. */
  public static final String DEMAND_FIGURE = "spread.demand";

  /** The figure that represents a demand of 1; figures are integers. */
  private static final double DEMAND_FIGURE_SCALE = 1000;

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
  private boolean isUpdating;
  private Timestamp lastUpdateAt;

  /**
   * @param lease the lease on the view, or null if no module needs one
   * @param agreement the agreement on the configuration, or null if it is disabled
   * @param gossip the exchange of figures, or null if members share none
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

  /** Enables capacity leases, which require the lease on the view and gossip. */
  public void setCapacityLeases(CapacityLeases leases) {
    capacityLeases = leases;
  }

  /** Enables the exchange of load reports. */
  public void setLoadReports(LoadReports reports) {
    loadReports = reports;
  }

  /** Enables the retry budget, which requires gossip. */
  public void setRetryBudget(RetryBudget budget, AttemptCounts counts) {
    retryBudget = budget;
    attemptCounts = counts;
  }

  /** The inputs of capacity leases: the view, the lease on it and the demand of members. */
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
        KnownFigures known = gossip.figuresOf(of, lastUpdateAt);
        Long figure = known == null ? null : known.figures().byName().get(DEMAND_FIGURE);
        return figure == null || figure < 0
            ? null
            : FleetCoordinator.figureToDemand(figure.longValue());
      }
    };
  }

  /** Converts a demand to a figure. */
  public static long demandToFigure(double demand) {
    return Math.round(Math.min(demand, Integer.MAX_VALUE) * DEMAND_FIGURE_SCALE);
  }

  /** Converts a figure to a demand. */
  public static double figureToDemand(long figure) {
    return figure / DEMAND_FIGURE_SCALE;
  }

  // ---- input

  /** Starts membership. Must be called once, before any other input. */
  public void start(Timestamp now) {
    handleActions(membership.start(now), now);
  }

  /** Leaves the fleet and notifies the other members. */
  public void leave(Timestamp now) {
    handleActions(membership.leave(now), now);
  }

  /** Handles that the persistent state with this number, and all before it, is on disk. */
  public void persisted(long number, Timestamp now) {
    handleActions(membership.onStateWritten(number), now);
  }

  /** Handles that state could not be persisted, for this reason. */
  public void persistFailed(String reason, Timestamp now) {
    handleActions(membership.onStateWriteFailed(reason, now), now);
  }

  /**
   * Handles an operator's request to bootstrap a new lineage.
   *
   * @param lostView the view whose majority is permanently lost
   */
  public void rebootstrap(ViewId lostView, Timestamp now) {
    handleActions(membership.rebootstrap(lostView, now), now);
  }

  /** Handles all timers that are due. */
  public void advance(Timestamp now) {
    handleActions(membership.onTimer(now), now);
  }

  /** Handles an authenticated message from a member of this fleet. */
  public void receive(PeerMessage message, Timestamp now) {
    if (message instanceof MembershipMessage membershipMessage) {
      handleActions(membership.receive(membershipMessage, now), now);
    } else if (message instanceof AgreementMessage agreementMessage) {
      if (agreement != null) {
        handleEffects(agreement.receive(agreementMessage, now), now);
      }
    } else if (membership.acceptSender(message, now)) {
      lastUpdateAt = now;
      if (message instanceof LeaseMessage leaseMessage && lease != null) {
        lease
            .receive(leaseMessage, now)
            .forEach(outgoing -> effects.send(outgoing.to(), outgoing.message()));
      } else if (message instanceof SharingPeerMessage sharingMessage && gossip != null) {
        sendGossip(gossip.receive(sharingMessage.body(), now));
      } else if (message instanceof CapacityLeaseMessage capacityMessage
          && capacityLeases != null) {
        capacityLeases
            .receive(capacityMessage, now)
            .forEach(outgoing -> effects.send(outgoing.to(), outgoing.message()));
      } else if (message instanceof RetryBudgetMessage budgetMessage && retryBudget != null) {
        retryBudget
            .receive(budgetMessage, membership.view(), membership.header(), now)
            .forEach(outgoing -> effects.send(outgoing.to(), outgoing.message()));
      } else if (message instanceof LoadReportMessage reportMessage && loadReports != null) {
        loadReports
            .receive(reportMessage, membership.view(), membership.header(), now)
            .forEach(outgoing -> effects.send(outgoing.to(), outgoing.message()));
      }
    }
    update(now);
  }

  /** When {@link #advance} must be called next; null once this process has left. */
  public Timestamp nextAdvanceAt(Timestamp now) {
    Timestamp next = membership.nextWakeup(now);
    if (next == null) {
      return null;
    }
    next = lease == null ? next : earlier(next, lease.nextWakeup(now));
    next = agreement == null ? next : earlier(next, agreement.nextUpdateAt(now));
    next = gossip == null ? next : earlier(next, gossip.nextRoundAt());
    next = retryBudget == null ? next : earlier(next, retryBudget.nextUpdateAt(now));
    next = loadReports == null ? next : earlier(next, loadReports.nextRoundAt());
    return capacityLeases == null ? next : earlier(next, capacityLeases.nextUpdateAt(now));
  }

  private static Timestamp earlier(Timestamp one, Timestamp other) {
    return other == null || one.isBefore(other) ? one : other;
  }

  // ---- results

  private void handleActions(List<MembershipAction> actions, Timestamp now) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send outgoing) {
        effects.send(outgoing.to(), outgoing.message());
      } else {
        effects.handleMembership(action);
      }
    }
    update(now);
  }

  private void handleEffects(List<AgreementEffect> agreementEffects, Timestamp now) {
    List<MembershipAction> actions = new ArrayList<>();
    for (AgreementEffect effect : agreementEffects) {
      if (effect instanceof AgreementEffect.Send outgoing) {
        effects.send(outgoing.to(), outgoing.message());
      } else if (effect instanceof AgreementEffect.MembershipEffect membershipEffect) {
        actions.add(membershipEffect.action());
      } else {
        effects.handleAgreement(effect);
      }
    }
    if (!actions.isEmpty()) {
      handleActions(actions, now);
    }
  }

  /** The spare retries of each member that has reported them, in thousandths. */
  private Map<MemberName, Long> spareRetries(Timestamp now) {
    Map<MemberName, Long> spareRetries = new HashMap<>();
    for (Member member :
        membership.view() == null ? List.<Member>of() : membership.view().members()) {
      KnownFigures known = gossip.figuresOf(member.name(), now);
      Long figure = known == null ? null : known.figures().byName().get(SPARE_RETRIES_FIGURE);
      if (figure != null) {
        spareRetries.put(member.name(), figure);
      }
    }
    return spareRetries;
  }

  private void sendGossip(List<StateGossip.OutgoingMessage> messages) {
    View view = membership.view();
    for (StateGossip.OutgoingMessage outgoing : messages) {
      Member to = view == null ? null : view.memberNamed(outgoing.to());
      if (to != null) {
        effects.send(
            to.peerAddress(), SharingPeerMessage.of(membership.header(), outgoing.message()));
      }
    }
  }

  /**
   * Updates each module from the modules that it depends on, in a fixed order. Must be called after
   * any direct call to a module.
   */
  public void update(Timestamp now) {
    if (isUpdating) {
      return;
    }
    isUpdating = true;
    lastUpdateAt = now;
    if (lease != null) {
      lease.onTimer(now).forEach(outgoing -> effects.send(outgoing.to(), outgoing.message()));
    }
    if (agreement != null) {
      handleEffects(agreement.update(now), now);
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
      capacityLeases
          .update(now)
          .forEach(outgoing -> effects.send(outgoing.to(), outgoing.message()));
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
          .forEach(outgoing -> effects.send(outgoing.to(), outgoing.message()));
    }
    if (loadReports != null) {
      loadReports
          .runRound(membership.view(), membership.header(), now)
          .forEach(outgoing -> effects.send(outgoing.to(), outgoing.message()));
    }
    isUpdating = false;
  }
}

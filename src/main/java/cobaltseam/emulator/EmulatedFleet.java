package cobaltseam.emulator;

import cobaltseam.capacity.CapacityLeaseMessage;
import cobaltseam.capacity.CapacityLeases;
import cobaltseam.capacity.CapacityOptions;
import cobaltseam.capacity.DemandEstimate;
import cobaltseam.capacity.LoadReports;
import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Dispatcher;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import cobaltseam.sharing.KnownFigures;
import cobaltseam.sharing.MemberFigures;
import cobaltseam.sharing.StateGossip;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The emulated dispatchers as one fleet that divides capacity by demand: the real state gossip,
 * load reports and capacity leases, with a fixed view and a lease on it that never ends. Failures
 * of views and leases are not emulated here; the package {@code fleet} tests them with real
 * processes.
 */
final class EmulatedFleet {
  private static final long TOTAL_CAPACITY = 1_000_000_000L;
  private static final TimeSpan LEASE = new TimeSpan(2_000_000);
  private static final TimeSpan GOSSIP_ROUND = new TimeSpan(1_000_000);
  private static final TimeSpan DEMAND_WINDOW = new TimeSpan(8_000_000);
  private static final double MAX_CLOCK_RATE_RATIO = 0.001;

  /** The mean time of a message between two members; it varies by half. */
  private static final double ONE_WAY_US = 1000;

  private static final int MAX_GOSSIP_BYTES = 8192;
  private static final int GOSSIP_REQUESTS_PER_ROUND = 3;
  private static final int REPORT_REQUESTS_PER_ROUND = 1;
  private static final TimeSpan MAX_REPORT_AGE = new TimeSpan(3_000_000);

  private static final class FleetMember {
    Dispatcher dispatcher;
    StateGossip gossip;
    CapacityLeases capacityLeases;
    DemandEstimate demand = new DemandEstimate(DEMAND_WINDOW);
    LoadReports loadReports;
    int incarnation;
  }

  private final Timeline time;
  private final SplittableRandom random = new SplittableRandom(7);
  private final View view;
  private final FleetMember[] members;
  private final boolean sharesCapacity;
  private final TimeSpan reportInterval;

  /**
   * Creates the fleet of a site; dispatchers join it when they start.
   *
   * @param sharesCapacity whether the members' shares of the capacity follow their demand
   * @param reportIntervalMs the time between two rounds of exchanging load reports; 0 for no
   *     exchange
   */
  EmulatedFleet(EmulatedSite site, Timeline time, boolean sharesCapacity, double reportIntervalMs) {
    this.time = time;
    this.sharesCapacity = sharesCapacity;
    reportInterval = reportIntervalMs > 0 ? EmulatedSite.ms(reportIntervalMs) : null;
    List<Member> viewMembers = new ArrayList<>();
    members = new FleetMember[site.dispatchers()];
    for (int index = 0; index < members.length; index++) {
      members[index] = new FleetMember();
      viewMembers.add(new Member(name(index), new Incarnation(1), address(index)));
    }
    view = new View(new ViewId(1, 1), viewMembers, null);
  }

  private static MemberName name(int index) {
    return new MemberName(String.format("n%05d", index));
  }

  private static InetSocketAddress address(int index) {
    try {
      return new InetSocketAddress(
          InetAddress.getByAddress(
              new byte[] {10, (byte) (index >> 16), (byte) (index >> 8), (byte) index}),
          1);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Adds a dispatcher that starts or restarts, as the same member of the view.
   *
   * @return the policy that the dispatcher has to run
   */
  Policy join(Deployment deployment, Dispatcher dispatcher, long seed) {
    int index = deployment.dispatcherIndex();
    FleetMember member = members[index];
    member.incarnation++;
    member.dispatcher = dispatcher;
    member.demand = new DemandEstimate(DEMAND_WINDOW);
    SplittableRandom ownRandom = new SplittableRandom(seed);
    if (reportInterval != null) {
      member.loadReports =
          new LoadReports(
              new LoadReports.LoadReportOptions(
                  reportInterval, REPORT_REQUESTS_PER_ROUND, MAX_REPORT_AGE, MAX_CLOCK_RATE_RATIO),
              ownRandom.split(),
              time.now());
      runReportRound(index, member.incarnation);
    }
    if (!sharesCapacity) {
      return withLoadReports(member, Policy.ofDispatcher(dispatcher));
    }
    member.gossip =
        new StateGossip(
            name(index),
            new Incarnation(1),
            new cobaltseam.sharing.GossipOptions(
                GOSSIP_ROUND,
                GOSSIP_REQUESTS_PER_ROUND,
                GOSSIP_ROUND.times(10),
                MAX_GOSSIP_BYTES,
                MAX_CLOCK_RATE_RATIO),
            ownRandom.split(),
            time.now());
    member.gossip.setView(
        new java.util.HashSet<>(view.members().stream().map(Member::name).toList()));
    member.capacityLeases =
        new CapacityLeases(
            new CapacityOptions(TOTAL_CAPACITY, 0.1, members.length, 0.25, LEASE.times(0.25), 16),
            leaseContext(index),
            ownRandom.split());
    if (member.incarnation == 1) {
      // The fleet was formed long before the run, so that waits for earlier leases have passed.
      member.capacityLeases.update(time.now().minus(LEASE.times(2)));
    }
    dispatcher.setSharingDispatchers(
        (double) TOTAL_CAPACITY / member.capacityLeases.usableAmount(time.now()));
    runRound(index, member.incarnation);
    return withLoadReports(member, Policy.ofDispatcher(dispatcher));
  }

  /** A policy that also passes the engines' load reports to the fleet. */
  private Policy withLoadReports(FleetMember member, Policy policy) {
    if (member.loadReports == null) {
      return policy;
    }
    return new Policy.DelegatingPolicy(policy) {
      @Override
      public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
        if (outcome.inFlightAtEngine() >= 0) {
          member.loadReports.addLocalReport(
              new LoadReports.LoadReport(
                  outcome.engine(),
                  Math.max(0, outcome.inFlightAtEngine() - Math.max(0, outcome.queuedAtEngine())),
                  now));
        }
        return super.completeAttempt(outcome, now);
      }
    };
  }

  private void runReportRound(int index, int incarnation) {
    if (members[index].incarnation == incarnation) {
      sendReports(members[index].loadReports.runRound(view, header(index), time.now()));
      time.at(
          members[index].loadReports.nextRoundAt().us(), () -> runReportRound(index, incarnation));
    }
  }

  private MessageHeader header(int index) {
    return new MessageHeader(view.members().get(index), 0, view.id(), true);
  }

  private void sendReports(List<LoadReports.OutgoingMessage> messages) {
    for (LoadReports.OutgoingMessage outgoing : messages) {
      int to = indexOf(outgoing.to());
      deliver(
          to,
          () -> {
            sendReports(
                members[to].loadReports.receive(outgoing.message(), view, header(to), time.now()));
            members[to]
                .loadReports
                .takeReceivedReports()
                .forEach(
                    report ->
                        members[to].dispatcher.updateEngineLoad(
                            report.engine(), report.inFlight(), report.measuredAt()));
          });
    }
  }

  private static int indexOf(InetSocketAddress address) {
    byte[] bytes = address.getAddress().getAddress();
    return (bytes[1] & 0xff) << 16 | (bytes[2] & 0xff) << 8 | bytes[3] & 0xff;
  }

  private CapacityLeases.LeaseContext leaseContext(int index) {
    return new CapacityLeases.LeaseContext() {
      @Override
      public View view() {
        return view;
      }

      @Override
      public Member self() {
        return view.members().get(index);
      }

      @Override
      public MessageHeader messageHeader() {
        return EmulatedFleet.this.header(index);
      }

      @Override
      public Timestamp leaseUntil() {
        return time.now().plus(LEASE.times(0.75));
      }

      @Override
      public TimeSpan maxLeaseDuration() {
        return LEASE.times(1 + 2 * MAX_CLOCK_RATE_RATIO);
      }

      @Override
      public double maxClockRateRatio() {
        return MAX_CLOCK_RATE_RATIO;
      }

      @Override
      public Double demand(MemberName member) {
        KnownFigures known = members[index].gossip.figuresOf(member, time.now());
        Long figure =
            known == null ? null : known.figures().byName().get(FleetCoordinator.DEMAND_FIGURE);
        return figure == null ? null : Double.valueOf(FleetCoordinator.figureToDemand(figure));
      }
    };
  }

  /** One round of a dispatcher's fleet thread; schedules the next one. */
  private void runRound(int index, int incarnation) {
    FleetMember member = members[index];
    if (member.incarnation != incarnation) {
      return;
    }
    Timestamp now = time.now();
    double rate = member.demand.update(member.dispatcher.offeredWorkUs(), now);
    member.capacityLeases.setDemand(rate);
    member.gossip.setOwnFigures(
        new MemberFigures(
            Map.of(FleetCoordinator.DEMAND_FIGURE, FleetCoordinator.demandToFigure(rate))));
    sendGossip(index, member.gossip.runRound(now));
    member.capacityLeases.update(now).forEach(outgoing -> send(outgoing.to(), outgoing.message()));
    applyCapacity(member);
    time.after(LEASE.times(0.25), () -> runRound(index, incarnation));
  }

  /** Sets the share of the engines that the dispatcher may use from its capacity leases. */
  private void applyCapacity(FleetMember member) {
    member.dispatcher.setSharingDispatchers(
        (double) TOTAL_CAPACITY / Math.max(1, member.capacityLeases.usableAmount(time.now())));
  }

  private void sendGossip(int from, List<StateGossip.OutgoingMessage> messages) {
    for (StateGossip.OutgoingMessage outgoing : messages) {
      int to = Integer.parseInt(outgoing.to().value().substring(1));
      deliver(to, () -> sendGossip(to, members[to].gossip.receive(outgoing.message(), time.now())));
    }
  }

  private void send(InetSocketAddress address, CapacityLeaseMessage message) {
    int to = indexOf(address);
    deliver(
        to,
        () -> {
          members[to]
              .capacityLeases
              .receive(message, time.now())
              .forEach(outgoing -> send(outgoing.to(), outgoing.message()));
          applyCapacity(members[to]);
        });
  }

  /** Delivers a message after the network delay, unless the receiver has restarted meanwhile. */
  private void deliver(int to, Runnable receive) {
    int incarnation = members[to].incarnation;
    time.after(
        new TimeSpan(Math.round(ONE_WAY_US * random.nextDouble(0.5, 1.5))),
        () -> {
          if (members[to].incarnation == incarnation) {
            receive.run();
          }
        });
  }
}

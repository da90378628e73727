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
 * The emulated dispatchers as one fleet that spreads load by demand: the real {@code sharing} and
 * {@code spread} over a view that is given and a lease that always holds. What goes wrong with
 * views and leases is played by the fleets of {@code fleet}.
 */
final class EmulatedFleet {
  private static final long WHOLE = 1_000_000_000L;
  private static final TimeSpan LEASE = new TimeSpan(2_000_000);
  private static final TimeSpan ROUND = new TimeSpan(1_000_000);
  private static final TimeSpan WINDOW = new TimeSpan(8_000_000);
  private static final double CLOCKS = 0.001;
  private static final double ONE_WAY_US = 1000;
  private static final int MOST_BYTES = 8192;
  private static final int ASKED = 3;
  private static final int ASKS_NEWS = 1;
  private static final TimeSpan NEWS_END = new TimeSpan(3_000_000);

  private static final class FleetMember {
    Dispatcher dispatcher;
    StateGossip sharing;
    CapacityLeases capacityLeases;
    DemandEstimate demand = new DemandEstimate(WINDOW);
    LoadReports loadReports;
    int incarnation;
  }

  private final Timeline time;
  private final SplittableRandom chance = new SplittableRandom(7);
  private final View view;
  private final FleetMember[] processes;
  private final boolean sharesCapacity;
  private final TimeSpan reportIntervalUs;

  /**
   * @param spreads whether parts follow demand
   * @param newsMs between two rounds of asking what engines told others; 0 for never
   */
  EmulatedFleet(EmulatedSite world, Timeline time, boolean spreads, double newsMs) {
    this.time = time;
    this.sharesCapacity = spreads;
    reportIntervalUs = newsMs > 0 ? EmulatedSite.ms(newsMs) : null;
    List<Member> members = new ArrayList<>();
    processes = new FleetMember[world.dispatchers()];
    for (int index = 0; index < processes.length; index++) {
      processes[index] = new FleetMember();
      members.add(new Member(name(index), new Incarnation(1), address(index)));
    }
    view = new View(new ViewId(1, 1), members, null);
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

  /** A dispatcher starts, or starts anew as the same member. */
  Policy join(Deployment told, Dispatcher dispatcher, long seed) {
    int index = told.dispatcherIndex();
    FleetMember one = processes[index];
    one.incarnation++;
    one.dispatcher = dispatcher;
    one.demand = new DemandEstimate(WINDOW);
    SplittableRandom own = new SplittableRandom(seed);
    if (reportIntervalUs != null) {
      one.loadReports =
          new LoadReports(
              new LoadReports.LoadReportOptions(reportIntervalUs, ASKS_NEWS, NEWS_END, CLOCKS),
              own.split(),
              time.now());
      startExchange(index, one.incarnation);
    }
    if (!sharesCapacity) {
      return decorate(one, Policy.ofDispatcher(dispatcher));
    }
    one.sharing =
        new StateGossip(
            name(index),
            new Incarnation(1),
            new cobaltseam.sharing.GossipOptions(ROUND, ASKED, ROUND.times(10), MOST_BYTES, CLOCKS),
            own.split(),
            time.now());
    one.sharing.setView(
        new java.util.HashSet<>(view.members().stream().map(Member::name).toList()));
    one.capacityLeases =
        new CapacityLeases(
            new CapacityOptions(WHOLE, 0.1, processes.length, 0.25, LEASE.times(0.25), 16),
            under(index),
            own.split());
    if (one.incarnation == 1) {
      // The fleet was formed long before the run begins.
      one.capacityLeases.update(time.now().minus(LEASE.times(2)));
    }
    dispatcher.setSharingDispatchers((double) WHOLE / one.capacityLeases.usableAmount(time.now()));
    turn(index, one.incarnation);
    return decorate(one, Policy.ofDispatcher(dispatcher));
  }

  /** The policy, with what engines tell it told to its fleet as well. */
  private Policy decorate(FleetMember one, Policy policy) {
    if (one.loadReports == null) {
      return policy;
    }
    return new Policy.DelegatingPolicy(policy) {
      @Override
      public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
        if (outcome.inFlightAtEngine() >= 0) {
          one.loadReports.addLocalReport(
              new LoadReports.LoadReport(
                  outcome.engine(),
                  Math.max(0, outcome.inFlightAtEngine() - Math.max(0, outcome.queuedAtEngine())),
                  now));
        }
        return super.completeAttempt(outcome, now);
      }
    };
  }

  private void startExchange(int index, int life) {
    if (processes[index].incarnation == life) {
      send(processes[index].loadReports.runRound(view, header(index), time.now()));
      time.at(processes[index].loadReports.nextRoundAt().us(), () -> startExchange(index, life));
    }
  }

  private MessageHeader header(int index) {
    return new MessageHeader(view.members().get(index), 0, view.id(), true);
  }

  private void send(List<LoadReports.OutgoingMessage> tells) {
    for (LoadReports.OutgoingMessage tell : tells) {
      int to = number(tell.to());
      after(
          to,
          () -> {
            send(processes[to].loadReports.receive(tell.message(), view, header(to), time.now()));
            processes[to]
                .loadReports
                .takeReceivedReports()
                .forEach(
                    r ->
                        processes[to].dispatcher.updateEngineLoad(
                            r.engine(), r.inFlight(), r.measuredAt()));
          });
    }
  }

  private static int number(InetSocketAddress address) {
    byte[] amount = address.getAddress().getAddress();
    return (amount[1] & 0xff) << 16 | (amount[2] & 0xff) << 8 | amount[3] & 0xff;
  }

  private CapacityLeases.LeaseContext under(int index) {
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
        return LEASE.times(1 + 2 * CLOCKS);
      }

      @Override
      public double maxClockRateRatio() {
        return CLOCKS;
      }

      @Override
      public Double demand(MemberName of) {
        KnownFigures known = processes[index].sharing.figuresOf(of, time.now());
        Long said =
            known == null ? null : known.figures().byName().get(FleetCoordinator.DEMAND_FIGURE);
        return said == null ? null : Double.valueOf(FleetCoordinator.figureToDemand(said));
      }
    };
  }

  /** One turn of a dispatcher's fleet thread. */
  private void turn(int index, int life) {
    FleetMember one = processes[index];
    if (one.incarnation != life) {
      return;
    }
    Timestamp now = time.now();
    double rate = one.demand.update(one.dispatcher.offeredWorkUs(), now);
    one.capacityLeases.setDemand(rate);
    one.sharing.setOwnFigures(
        new MemberFigures(
            Map.of(FleetCoordinator.DEMAND_FIGURE, FleetCoordinator.demandToFigure(rate))));
    shares(index, one.sharing.runRound(now));
    one.capacityLeases.update(now).forEach(t -> send(t.to(), t.message()));
    publishFigures(one);
    time.after(LEASE.times(0.25), () -> turn(index, life));
  }

  private void publishFigures(FleetMember one) {
    one.dispatcher.setSharingDispatchers(
        (double) WHOLE / Math.max(1, one.capacityLeases.usableAmount(time.now())));
  }

  private void shares(int from, List<StateGossip.OutgoingMessage> sends) {
    for (StateGossip.OutgoingMessage send : sends) {
      int to = Integer.parseInt(send.to().value().substring(1));
      after(to, () -> shares(to, processes[to].sharing.receive(send.message(), time.now())));
    }
  }

  private void send(InetSocketAddress address, CapacityLeaseMessage word) {
    int to = number(address);
    after(
        to,
        () -> {
          processes[to]
              .capacityLeases
              .receive(word, time.now())
              .forEach(t -> send(t.to(), t.message()));
          publishFigures(processes[to]);
        });
  }

  private void after(int to, Runnable what) {
    int life = processes[to].incarnation;
    time.after(
        new TimeSpan(Math.round(ONE_WAY_US * chance.nextDouble(0.5, 1.5))),
        () -> {
          if (processes[to].incarnation == life) {
            what.run();
          }
        });
  }
}

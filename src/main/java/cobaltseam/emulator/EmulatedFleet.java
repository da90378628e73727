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

  private static final class One {
    Dispatcher dispatcher;
    StateGossip sharing;
    CapacityLeases holdings;
    DemandEstimate demand = new DemandEstimate(WINDOW);
    LoadReports reports;
    int life;
  }

  private final Timeline time;
  private final SplittableRandom chance = new SplittableRandom(7);
  private final View view;
  private final One[] all;
  private final boolean spreads;
  private final TimeSpan news;

  /**
   * @param spreads whether parts follow demand
   * @param newsMs between two rounds of asking what engines told others; 0 for never
   */
  EmulatedFleet(EmulatedSite world, Timeline time, boolean spreads, double newsMs) {
    this.time = time;
    this.spreads = spreads;
    news = newsMs > 0 ? EmulatedSite.ms(newsMs) : null;
    List<Member> members = new ArrayList<>();
    all = new One[world.dispatchers()];
    for (int i = 0; i < all.length; i++) {
      all[i] = new One();
      members.add(new Member(name(i), new Incarnation(1), address(i)));
    }
    view = new View(new ViewId(1, 1), members, null);
  }

  private static MemberName name(int i) {
    return new MemberName(String.format("n%05d", i));
  }

  private static InetSocketAddress address(int i) {
    try {
      return new InetSocketAddress(
          InetAddress.getByAddress(new byte[] {10, (byte) (i >> 16), (byte) (i >> 8), (byte) i}),
          1);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A dispatcher starts, or starts anew as the same member. */
  Policy joins(Deployment told, Dispatcher dispatcher, long seed) {
    int i = told.dispatcherIndex();
    One one = all[i];
    one.life++;
    one.dispatcher = dispatcher;
    one.demand = new DemandEstimate(WINDOW);
    SplittableRandom own = new SplittableRandom(seed);
    if (news != null) {
      one.reports =
          new LoadReports(
              new LoadReports.LoadReportOptions(news, ASKS_NEWS, NEWS_END, CLOCKS),
              own.split(),
              time.now());
      asks(i, one.life);
    }
    if (!spreads) {
      return heeds(one, Policy.module(dispatcher));
    }
    one.sharing =
        new StateGossip(
            name(i),
            new Incarnation(1),
            new cobaltseam.sharing.GossipOptions(ROUND, ASKED, ROUND.times(10), MOST_BYTES, CLOCKS),
            own.split(),
            time.now());
    one.sharing.view(new java.util.HashSet<>(view.members().stream().map(Member::name).toList()));
    one.holdings =
        new CapacityLeases(
            new CapacityOptions(WHOLE, 0.1, all.length, 0.25, LEASE.times(0.25), 16),
            under(i),
            own.split());
    if (one.life == 1) {
      // The fleet was formed long before the run begins.
      one.holdings.follow(time.now().minus(LEASE.times(2)));
    }
    dispatcher.setSharingDispatchers((double) WHOLE / one.holdings.usable(time.now()));
    turn(i, one.life);
    return heeds(one, Policy.module(dispatcher));
  }

  /** The policy, with what engines tell it told to its fleet as well. */
  private Policy heeds(One one, Policy policy) {
    if (one.reports == null) {
      return policy;
    }
    return new Policy.Passing(policy) {
      @Override
      public Placement after(AttemptOutcome outcome, Timestamp now) {
        if (outcome.inFlightAtEngine() >= 0) {
          one.reports.told(
              new LoadReports.LoadReport(
                  outcome.engine(),
                  Math.max(0, outcome.inFlightAtEngine() - Math.max(0, outcome.queuedAtEngine())),
                  now));
        }
        return super.after(outcome, now);
      }
    };
  }

  private void asks(int i, int life) {
    if (all[i].life == life) {
      says(all[i].reports.due(view, teller(i), time.now()));
      time.at(all[i].reports.wake().us(), () -> asks(i, life));
    }
  }

  private MessageHeader teller(int i) {
    return new MessageHeader(view.members().get(i), 0, view.id(), true);
  }

  private void says(List<LoadReports.OutgoingMessage> tells) {
    for (LoadReports.OutgoingMessage tell : tells) {
      int to = number(tell.to());
      after(
          to,
          () -> {
            says(all[to].reports.heard(tell.word(), view, teller(to), time.now()));
            all[to]
                .reports
                .news()
                .forEach(
                    r -> all[to].dispatcher.updateEngineLoad(r.engine(), r.inFlight(), r.at()));
          });
    }
  }

  private static int number(InetSocketAddress address) {
    byte[] a = address.getAddress().getAddress();
    return (a[1] & 0xff) << 16 | (a[2] & 0xff) << 8 | a[3] & 0xff;
  }

  private CapacityLeases.LeaseContext under(int i) {
    return new CapacityLeases.LeaseContext() {
      @Override
      public View view() {
        return view;
      }

      @Override
      public Member self() {
        return view.members().get(i);
      }

      @Override
      public MessageHeader teller() {
        return EmulatedFleet.this.teller(i);
      }

      @Override
      public Timestamp leaseUntil() {
        return time.now().plus(LEASE.times(0.75));
      }

      @Override
      public TimeSpan outlasts() {
        return LEASE.times(1 + 2 * CLOCKS);
      }

      @Override
      public double clockRates() {
        return CLOCKS;
      }

      @Override
      public Double demand(MemberName of) {
        KnownFigures known = all[i].sharing.known(of, time.now());
        Long said = known == null ? null : known.figures().byName().get(FleetCoordinator.DEMAND);
        return said == null ? null : Double.valueOf(FleetCoordinator.demand(said));
      }
    };
  }

  /** One turn of a dispatcher's fleet thread. */
  private void turn(int i, int life) {
    One one = all[i];
    if (one.life != life) {
      return;
    }
    Timestamp now = time.now();
    double rate = one.demand.told(one.dispatcher.offeredLoad(), now);
    one.holdings.needs(rate);
    one.sharing.say(
        new MemberFigures(Map.of(FleetCoordinator.DEMAND, FleetCoordinator.figure(rate))));
    shares(i, one.sharing.due(now));
    one.holdings.follow(now).forEach(t -> says(t.to(), t.word()));
    tells(one);
    time.after(LEASE.times(0.25), () -> turn(i, life));
  }

  private void tells(One one) {
    one.dispatcher.setSharingDispatchers(
        (double) WHOLE / Math.max(1, one.holdings.usable(time.now())));
  }

  private void shares(int from, List<StateGossip.Send> sends) {
    for (StateGossip.Send send : sends) {
      int to = Integer.parseInt(send.to().value().substring(1));
      after(to, () -> shares(to, all[to].sharing.heard(send.message(), time.now())));
    }
  }

  private void says(InetSocketAddress address, CapacityLeaseMessage word) {
    int to = number(address);
    after(
        to,
        () -> {
          all[to].holdings.heard(word, time.now()).forEach(t -> says(t.to(), t.word()));
          tells(all[to]);
        });
  }

  private void after(int to, Runnable what) {
    int life = all[to].life;
    time.after(
        new TimeSpan(Math.round(ONE_WAY_US * chance.nextDouble(0.5, 1.5))),
        () -> {
          if (all[to].life == life) {
            what.run();
          }
        });
  }
}

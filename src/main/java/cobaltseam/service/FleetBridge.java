package cobaltseam.service;

import cobaltseam.capacity.LoadReports;
import cobaltseam.capacity.LoadReports.LoadReport;
import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.retrybudget.RetryBudget;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The one bridge between the fleet's thread and the thread that owns the module. The former
 * publishes a {@link FleetSnapshot}; the latter looks at it before anything is heard, decided or
 * sent, and moves the module. Neither ever waits for the other.
 */
final class FleetBridge {
  private static final System.Logger LOG = System.getLogger(FleetBridge.class.getName());

  /** The module hears of a part that changed by more than this share of it. */
  private static final double NOTABLE = 0.01;

  /** The least part that engines are ever shared by. */
  private static final double LEAST = 1e-6;

  private static final long TELLS_EVERY_US = 20_000;

  /** Reports that wait for an owner's thread that stands still: more are lost, the oldest first. */
  private static final int MOST_UNTAKEN = 4 * LoadReports.MOST;

  private final AtomicReference<FleetSnapshot> snapshot = new AtomicReference<>(FleetSnapshot.NONE);

  /** What the module counted as asked for: the bits of a double, by the owner's thread alone. */
  private final AtomicLong offered = new AtomicLong();

  /**
   * What engines told here, whole and youngest; and what they told others that the owner's thread
   * has not taken yet.
   */
  private final AtomicReference<List<LoadReport>> toldHere = new AtomicReference<>(List.of());

  private final AtomicReference<List<LoadReport>> toldElsewhere = new AtomicReference<>();

  /**
   * What is left to be sent again, in thousandths; and how often was sent at first and would have
   * been again, by the owner's thread.
   */
  private final AtomicLong furtherLeft = new AtomicLong();

  private final AtomicLong firsts = new AtomicLong();
  private final AtomicLong wanted = new AtomicLong();
  private final RequestTable commands;
  private final EventLoopQueue inbox;
  private final Clock clock;
  private final int dispatchersTold;

  /**
   * Whether mastership tells the module over how many engines are shared; the fleet then does not.
   */
  private final boolean masteredElsewhere;

  // of the owner's thread
  private FleetSnapshot seen = FleetSnapshot.NONE;
  private long againUs = Long.MAX_VALUE;
  private double over;
  private Deployment acts;
  private final Map<EngineId, LoadReport> heard = new HashMap<>();
  private boolean heardAnew;
  private long tellsUs;

  FleetBridge(
      RequestTable commands,
      EventLoopQueue inbox,
      Clock clock,
      Deployment told,
      boolean masteredElsewhere) {
    this.commands = commands;
    this.inbox = inbox;
    this.clock = clock;
    dispatchersTold = told.dispatcherCount();
    this.masteredElsewhere = masteredElsewhere;
    over = dispatchersTold;
  }

  /** What engines tell is heard here from now on; asked before the first command comes. */
  void hears() {
    commands.reportsTo(this);
  }

  /** Further sends are capped from now on; asked before the first command comes. */
  void caps() {
    commands.cappedBy(this);
  }

  // ---- the fleet's thread

  /** What is left to be sent again, as its purse sees it. */
  RetryBudget.RemainingRetries left() {
    return new RetryBudget.RemainingRetries() {
      @Override
      public long get() {
        return furtherLeft.get();
      }

      @Override
      public boolean change(long expected, long to) {
        return furtherLeft.compareAndSet(expected, to);
      }
    };
  }

  /** What was sent so far. */
  FleetCoordinator.AttemptCounts sends() {
    return new FleetCoordinator.AttemptCounts() {
      @Override
      public long firstAttempts() {
        return firsts.getOpaque();
      }

      @Override
      public long wantedRetries() {
        return wanted.getOpaque();
      }
    };
  }

  void publish(FleetSnapshot anew) {
    snapshot.setRelease(anew);
    // So that one that rests looks at it.
    inbox.post(null, () -> {});
  }

  /** What the module counted as asked for, in microseconds of one thread. */
  double offered() {
    return Double.longBitsToDouble(offered.getOpaque());
  }

  /** What engines told here last. */
  List<LoadReport> toldHere() {
    return toldHere.getAcquire();
  }

  /** What engines told other dispatchers; what was not taken yet goes with it. */
  void toldElsewhere(List<LoadReport> news) {
    List<LoadReport> before = toldElsewhere.getAndSet(null);
    List<LoadReport> all =
        new ArrayList<>(
            before == null
                ? List.of()
                : before.subList(Math.max(0, before.size() - MOST_UNTAKEN), before.size()));
    all.addAll(news);
    toldElsewhere.set(all);
  }

  /** How many dispatchers the settings name. */
  int dispatchers() {
    return dispatchersTold;
  }

  // ---- the owner's thread

  /** Whether what is known has changed, or time alone changes what follows from it. */
  void look() {
    offered.setOpaque(Double.doubleToRawLongBits(commands.offered()));
    List<LoadReport> told =
        toldElsewhere.getAcquire() == null ? null : toldElsewhere.getAndSet(null);
    if (told != null) {
      told.forEach(r -> commands.reported(r.engine(), r.inFlight(), r.at()));
    }
    if (heardAnew && clock.us() >= tellsUs) {
      heardAnew = false;
      tellsUs = clock.us() + TELLS_EVERY_US;
      toldHere.setRelease(List.copyOf(heard.values()));
    }
    FleetSnapshot now = snapshot.getAcquire();
    if (now != seen || clock.us() >= againUs) {
      follow(now, clock.us());
    }
  }

  /** How many further sends are left. */
  long furtherLeft() {
    return furtherLeft.get() / RetryBudget.ONE;
  }

  /** A command is sent for the first time. */
  void first() {
    firsts.setOpaque(firsts.getPlain() + 1);
  }

  /** A command would be sent again, and is not for want of what is left. */
  void denied() {
    wanted.setOpaque(wanted.getPlain() + 1);
  }

  /** Takes one further send; false if none is left by now. */
  boolean takesFurther() {
    wanted.setOpaque(wanted.getPlain() + 1);
    for (long is = furtherLeft.get(); is >= RetryBudget.ONE; is = furtherLeft.get()) {
      if (furtherLeft.compareAndSet(is, is - RetryBudget.ONE)) {
        return true;
      }
    }
    return false;
  }

  /** An engine told that it holds so many commands that do not wait for memory. */
  void heard(EngineId engine, double inHand, Timestamp now) {
    if (heard.size() < LoadReports.MOST || heard.containsKey(engine)) {
      heard.put(engine, new LoadReport(engine, inHand, now));
      heardAnew = true;
    }
  }

  private void follow(FleetSnapshot now, long us) {
    seen = now;
    againUs = now.changesUs(us);
    Deployment then = us < now.untilUs() ? now.acts() : now.back();
    if (then != null && !then.equals(acts)) {
      acts = then;
      commands.moveTo(then);
      LOG.log(
          Level.INFO,
          "other settings of decisions act from now on, with {0} commands in hand",
          Field.of("inHand", commands.inHand()),
          Field.event("configuration.moved"));
    }
    double part = now.parts() == null ? 0 : now.part(us);
    double shared =
        now.parts() != null
            ? 1 / Math.max(LEAST, part)
            : now.carriers() > 0 ? now.carriers() : dispatchersTold;
    // A part that shrinks is heeded at once, however little.
    if ((shared > over || shared < over * (1 - NOTABLE)) && !masteredElsewhere) {
      over = shared;
      commands.sharedOver(over);
    }
  }

  /** The agreed settings that the module acts on; null where the fleet agrees on none. */
  Deployment acts() {
    return acts;
  }
}

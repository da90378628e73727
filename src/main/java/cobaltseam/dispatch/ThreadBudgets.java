package cobaltseam.dispatch;

import java.util.List;

/**
 * Chooses engines. This dispatcher has a thread budget at each engine, its even share of the
 * engine's threads, and may borrow from the other dispatchers' shares while answers come at usual
 * speed.
 */
final class ThreadBudgets {
  private final EngineTable engines;
  private final EngineHealth health;
  private PolicySettings settings;

  /** Dispatchers that share the engines: all, or those that carry traffic now; at least 1. */
  private double sharingDispatchers;

  ThreadBudgets(EngineTable engines, EngineHealth health, PolicySettings settings) {
    this.engines = engines;
    this.health = health;
    this.settings = settings;
    sharingDispatchers = settings.dispatcherCount();
  }

  /** Under other settings all dispatchers share the engines until that is set anew. */
  void applySettings(PolicySettings newSettings) {
    settings = newSettings;
    sharingDispatchers = newSettings.dispatcherCount();
  }

  double sharingDispatchers() {
    return sharingDispatchers;
  }

  void setSharingDispatchers(double dispatchers) {
    sharingDispatchers = Math.max(1, dispatchers);
  }

  /** The engine with most budget left per core that a request may go to now, or null. */
  EngineState choose(TrackedRequest request, Timestamp now) {
    List<EngineState> sorted = engines.sorted();
    EngineState best = null;
    double most = 0;
    int start = firstIndex(request);
    for (int i = 0; i < sorted.size(); i++) {
      EngineState engine = sorted.get((start + i) % sorted.size());
      if (!request.mayRunOn(engine, now) || request.isBlockedOn(engine, now)) {
        continue;
      }
      double left = budgetLeftPerCore(engine, request, now);
      if (fits(engine, request, now)
          && (best == null || left > most || left == most && isOnlyFirstAtHome(engine, best))) {
        best = engine;
        most = left;
      }
    }
    return best;
  }

  /**
   * Where ties begin: at the dispatcher's index, or, so that engines find their data in memory, at
   * that of the data set, the same at every dispatcher. Not where shares are below one request's
   * threads, as many dispatchers would choose the same engine.
   */
  private int firstIndex(TrackedRequest request) {
    List<EngineState> sorted = engines.sorted();
    DataSetId dataSet = request.request().dataSet();
    boolean thin =
        !sorted.isEmpty()
            && sorted.get(0).threadLimit() / sharingDispatchers < request.requestClass().threads();
    return dataSet == null || thin
        ? settings.dispatcherIndex()
        : (int) Math.floorMod(dataSet.value(), Math.max(1L, sorted.size()));
  }

  /**
   * What is left of this dispatcher's own share, in whole requests per core. Ranked by what it may
   * borrow, an engine that looks a little faster would draw everything until it is slow.
   */
  private double budgetLeftPerCore(EngineState engine, TrackedRequest request, Timestamp now) {
    double free = share(engine, now) - engine.threadsInUse();
    double threads = engine.threadsFor(request.request(), request.requestClass());
    return Math.floor(free / threads) / engine.cores();
  }

  private boolean isOnlyFirstAtHome(EngineState first, EngineState second) {
    return first.location().equals(settings.homeLocation())
        && !second.location().equals(settings.homeLocation());
  }

  /** Whether the budget has the request's threads left, or, if it is below them, by chance. */
  private boolean fits(EngineState engine, TrackedRequest request, Timestamp now) {
    double threads = engine.threadsFor(request.request(), request.requestClass());
    double budget = share(engine, now);
    if (engine.threadsInUse() + threads > budget && mayBorrow(engine, request, threads, now)) {
      budget = withBorrowing(engine, request.requestClass(), budget);
    }
    // One that waited for a load takes its threads along, to where reports show capacity for them.
    if (request.hasBeenBlocked()
        && health.hasLoadReports()
        && health.hasThreadsToSpare(engine, threads, now)) {
      return true;
    }
    if (budget < threads) {
      return engine.threadsInUse() == 0 && engine.warmup().isDrawnBelow(budget / threads);
    }
    return budget - engine.threadsInUse() >= threads;
  }

  /**
   * A request over its quota may borrow only where reports show capacity beyond it. The excess of a
   * tenant finds none; the traffic of a dispatcher that stopped does, and would else be shed beside
   * idle engines.
   */
  private boolean mayBorrow(
      EngineState engine, TrackedRequest request, double threads, Timestamp now) {
    double reserve =
        request.isOverQuota() ? engine.threadLimit() * (1 - 1 / PolicyConstants.NEAR_RATIO) : 0;
    return (reserve == 0 || health.hasLoadReports())
        && health.hasThreadsToSpare(engine, threads + reserve, now);
  }

  private double withBorrowing(EngineState engine, RequestClassStats requestClass, double share) {
    return share * (1 + (sharingDispatchers - 1) * engine.borrowing(requestClass));
  }

  private double share(EngineState engine, Timestamp now) {
    return engine.threadShare(sharingDispatchers, now);
  }

  /** The threads that a class may use on all engines, with what it may borrow. */
  double totalThreads(RequestClassStats requestClass, Timestamp now) {
    double threads = 0;
    for (EngineState engine : engines.sorted()) {
      if (engine.isUp()) {
        threads += withBorrowing(engine, requestClass, share(engine, now));
      }
    }
    return threads;
  }
}

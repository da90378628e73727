package cobaltseam.dispatch;

import java.util.List;

/**
 * Chooses engines. This dispatcher has a thread budget on each engine, which is its even share of
 * the engine's threads. It may borrow from the shares of the other dispatchers while the engine's
 * answers arrive at their baseline latency.
 */
final class ThreadBudgets {
  private final EngineTable engines;
  private final EngineHealth health;
  private PolicySettings settings;

  /**
   * Number of dispatchers that share the engines: all, or those that carry traffic now; at least 1.
   */
  private double sharingDispatchers;

  ThreadBudgets(EngineTable engines, EngineHealth health, PolicySettings settings) {
    this.engines = engines;
    this.health = health;
    this.settings = settings;
    sharingDispatchers = settings.dispatcherCount();
  }

  /**
   * Applies changed settings; all dispatchers share the engines until {@link
   * #setSharingDispatchers} is called again.
   */
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

  /**
   * Returns the engine with the most budget left per core that a request may be sent to now, or
   * null.
   */
  EngineState choose(TrackedRequest request, Timestamp now) {
    List<EngineState> sorted = engines.sortedById();
    EngineState best = null;
    double bestBudget = 0;
    int startIndex = tieBreakIndex(request);
    for (int i = 0; i < sorted.size(); i++) {
      EngineState engine = sorted.get((startIndex + i) % sorted.size());
      if (!request.mayRunOn(engine, now) || request.isBlockedOn(engine, now)) {
        continue;
      }
      double remainingBudget = remainingBudgetPerCore(engine, request, now);
      if (fits(engine, request, now)
          && (best == null
              || remainingBudget > bestBudget
              || remainingBudget == bestBudget && isOnlyFirstInHomeLocation(engine, best))) {
        best = engine;
        bestBudget = remainingBudget;
      }
    }
    return best;
  }

  /**
   * Returns the index of the engine that wins ties: this dispatcher's index, or that of the data
   * set, which is the same at every dispatcher, so that engines find their data in memory. The data
   * set is not used where a share is below the threads of one request, as many dispatchers would
   * then choose the same engine.
   */
  private int tieBreakIndex(TrackedRequest request) {
    List<EngineState> sorted = engines.sortedById();
    DataSetId dataSet = request.request().dataSet();
    boolean isShareTooSmall =
        !sorted.isEmpty()
            && sorted.get(0).threadLimit() / sharingDispatchers < request.requestClass().threads();
    return dataSet == null || isShareTooSmall
        ? settings.dispatcherIndex()
        : (int) Math.floorMod(dataSet.value(), Math.max(1L, sorted.size()));
  }

  /**
   * Returns how many whole requests per core still fit this dispatcher's own share. Borrowing does
   * not count: an engine that appears slightly faster would attract all requests until it is slow.
   */
  private double remainingBudgetPerCore(EngineState engine, TrackedRequest request, Timestamp now) {
    double freeThreads = share(engine, now) - engine.threadsInUse();
    double threads = engine.threadsFor(request.request(), request.requestClass());
    return Math.floor(freeThreads / threads) / engine.cores();
  }

  private boolean isOnlyFirstInHomeLocation(EngineState first, EngineState second) {
    return first.location().equals(settings.homeLocation())
        && !second.location().equals(settings.homeLocation());
  }

  /**
   * Returns whether the budget has the request's threads left. If the whole budget is below them,
   * one request at a time is admitted with a probability that keeps the mean within the budget.
   */
  private boolean fits(EngineState engine, TrackedRequest request, Timestamp now) {
    double threads = engine.threadsFor(request.request(), request.requestClass());
    double budget = share(engine, now);
    if (engine.threadsInUse() + threads > budget && mayBorrow(engine, request, threads, now)) {
      budget = withBorrowing(engine, request.requestClass(), budget);
    }
    // A request that waited for a load may exceed the budget where reports show enough spare
    // threads.
    if (request.hasBeenBlocked()
        && health.hasLoadReports()
        && health.hasSpareThreads(engine, threads, now)) {
      return true;
    }
    if (budget < threads) {
      return engine.threadsInUse() == 0 && engine.warmup().isSampleBelow(budget / threads);
    }
    return budget - engine.threadsInUse() >= threads;
  }

  /**
   * Returns whether a request may use borrowed threads. A request over its tenant's quota may do so
   * only where load reports show additional spare capacity. The excess traffic of one tenant finds
   * no such capacity. The traffic of a dispatcher that stopped does, and would otherwise be shed
   * while engines are idle.
   */
  private boolean mayBorrow(
      EngineState engine, TrackedRequest request, double threads, Timestamp now) {
    double reservedThreads =
        request.isOverQuota()
            ? engine.threadLimit() * (1 - 1 / PolicyConstants.TOLERANCE_FACTOR)
            : 0;
    return (reservedThreads == 0 || health.hasLoadReports())
        && health.hasSpareThreads(engine, threads + reservedThreads, now);
  }

  private double withBorrowing(EngineState engine, RequestClassStats requestClass, double share) {
    return share * (1 + (sharingDispatchers - 1) * engine.borrowing(requestClass));
  }

  private double share(EngineState engine, Timestamp now) {
    return engine.threadShare(sharingDispatchers, now);
  }

  /** Returns the threads that a class may use on all engines, including those it may borrow. */
  double totalThreads(RequestClassStats requestClass, Timestamp now) {
    double threads = 0;
    for (EngineState engine : engines.sortedById()) {
      if (engine.isUp()) {
        threads += withBorrowing(engine, requestClass, share(engine, now));
      }
    }
    return threads;
  }
}

package cobaltseam.dispatch;

import java.util.SortedSet;
import java.util.random.RandomGenerator;

/** Selects the requests to shed in overload, both on arrival and from the queue. */
final class LoadShedder {
  /** The number of preceding requests that a new request is compared with. */
  private static final int RECENT_REQUESTS = 64;

  /**
   * The time to process the queue ahead of a request may be at most this fraction of the time that
   * the request can wait.
   */
  private static final double MAX_QUEUED_SLACK_FRACTION = 0.3;

  private final ThreadBudgets budgets;
  private final EngineHealth health;
  private final RequestClassTable requestClasses;
  private final RandomGenerator random;
  private PolicySettings settings;

  /**
   * Work of the most recent requests, in microseconds, and their priority weight per microsecond of
   * work.
   */
  private final double[] recentWorkUs = new double[RECENT_REQUESTS];

  private final double[] recentWeightPerWork = new double[RECENT_REQUESTS];

  LoadShedder(
      ThreadBudgets budgets,
      EngineHealth health,
      RequestClassTable requestClasses,
      RandomGenerator random,
      PolicySettings settings) {
    this.budgets = budgets;
    this.health = health;
    this.requestClasses = requestClasses;
    this.random = random;
    this.settings = settings;
  }

  void applySettings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /**
   * Returns whether to shed a new request because its priority weight is too low for its work. The
   * fraction of work that is shed grows with the square of the latency ratio, and starts with the
   * lowest weights among recent requests. This protects against overload that no single
   * dispatcher's queue shows, and against excess traffic of one tenant: a request over quota has a
   * low weight, and is shed first. The disadvantage: a slowdown of all engines that leaves capacity
   * sheds requests too. No request is shed before enough requests have arrived to know the
   * baseline.
   *
   * @param arrivals requests accepted so far, including this one
   */
  boolean shouldShedOnArrival(TrackedRequest request, long arrivals) {
    double workUs = request.workUs();
    double weight =
        request.requestClass().definition().priorityWeight()
            * (request.isOverQuota() ? settings.overQuotaWeight() : 1)
            / workUs;
    double totalWorkUs = 0;
    double lighterWorkUs = 0;
    double equalWeightFraction = random.nextDouble();
    for (int i = 0; i < RECENT_REQUESTS; i++) {
      totalWorkUs += recentWorkUs[i];
      int comparison = Double.compare(recentWeightPerWork[i], weight);
      lighterWorkUs +=
          recentWorkUs[i] * (comparison < 0 ? 1 : comparison > 0 ? 0 : equalWeightFraction);
    }
    int slot = (int) (arrivals % RECENT_REQUESTS);
    recentWorkUs[slot] = workUs;
    recentWeightPerWork[slot] = weight;
    double latencyRatio = health.latencyRatio(request.requestClass());
    return lighterWorkUs
            < totalWorkUs * (1 - PolicyConstants.TOLERANCE_FACTOR / (latencyRatio * latencyRatio))
        && arrivals * PolicyConstants.SMOOTHING_FACTOR >= 2
        && health.utilization() > PolicyConstants.ONE_THREAD_PER_CORE_SHARE;
  }

  /**
   * Returns the queued request to shed, or null. If the queue ahead of some request is too long for
   * that request to be answered in time, the request with the least weight per thread and time is
   * shed, out of that request and those ahead of it. Only requests with at most as many threads
   * count as ahead, since they pass wider requests that fit no engine. This protects against
   * overload from any cause. The disadvantage: if many threads become free at once, the queue would
   * have cleared without shedding.
   */
  TrackedRequest selectRequestToShed(SortedSet<TrackedRequest> queued, Timestamp now) {
    double[] threads = new double[requestClasses.size()];
    for (RequestClassStats requestClass : requestClasses.all()) {
      threads[requestClass.index()] = budgets.totalThreads(requestClass, now);
    }
    double[] queuedAheadUs = new double[requestClasses.size()];
    for (TrackedRequest request : queued) {
      int index = request.requestClass().index();
      double slackUs =
          request.objectiveDueAt().since(now).us()
              - request.threadTimeUs() / request.requestClass().threads();
      if (threads[index] > 0
          && !request.isExpectedLate()
          && queuedAheadUs[index] > threads[index] * slackUs * MAX_QUEUED_SLACK_FRACTION) {
        return leastWeightUpTo(request, queued.headSet(request));
      }
      for (RequestClassStats requestClass : requestClasses.all()) {
        boolean countsAhead = requestClass.threads() >= request.requestClass().threads();
        queuedAheadUs[requestClass.index()] += countsAhead ? request.threadTimeUs() : 0;
      }
    }
    return null;
  }

  private static TrackedRequest leastWeightUpTo(
      TrackedRequest request, SortedSet<TrackedRequest> requestsAhead) {
    TrackedRequest least = request;
    for (TrackedRequest other : requestsAhead) {
      if (other.requestClass().threads() <= request.requestClass().threads()
          && other.weightPerThreadTime() < least.weightPerThreadTime()) {
        least = other;
      }
    }
    return least;
  }
}

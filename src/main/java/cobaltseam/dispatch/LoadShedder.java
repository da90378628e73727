package cobaltseam.dispatch;

import java.util.SortedSet;
import java.util.random.RandomGenerator;

/** Decides in overload which requests are shed: new ones as they come, and queued ones. */
final class LoadShedder {
  /** A new request is compared with this many before it. */
  private static final int RECENT_REQUESTS = 64;

  /** The queue ahead of a request may take this part of the time that the request can wait. */
  private static final double MAX_QUEUE_PER_SLACK = 0.3;

  private final ThreadBudgets budgets;
  private final EngineHealth health;
  private final RequestClassTable requestClasses;
  private final RandomGenerator random;
  private PolicySettings settings;

  /** Work of the last requests accepted, in microseconds, and their priority weight for it. */
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
   * Whether to shed a new request, as its weight is too low for its work: as the pool slows, with
   * the square of its pace, a part goes from the low end of what came here lately. Guards against
   * overload that no single dispatcher's queue shows, and against the excess of one tenant: over
   * its quota it has little weight, and goes first. Harm: a shared slow-down that leaves capacity.
   * Not before it is known what is usual.
   *
   * @param arrivals requests accepted so far, with this one
   */
  boolean shouldShedNew(TrackedRequest request, long arrivals) {
    double workUs = request.workUs();
    double weight =
        request.requestClass().definition().priorityWeight()
            * (request.isOverQuota() ? settings.overQuotaWeight() : 1)
            / workUs;
    double all = 0;
    double below = 0;
    double partOfEqual = random.nextDouble();
    for (int i = 0; i < RECENT_REQUESTS; i++) {
      all += recentWorkUs[i];
      int comparison = Double.compare(recentWeightPerWork[i], weight);
      below += recentWorkUs[i] * (comparison < 0 ? 1 : comparison > 0 ? 0 : partOfEqual);
    }
    int at = (int) (arrivals % RECENT_REQUESTS);
    recentWorkUs[at] = workUs;
    recentWeightPerWork[at] = weight;
    double pace = health.pace(request.requestClass());
    return below < all * (1 - PolicyConstants.NEAR_RATIO / (pace * pace))
        && arrivals * PolicyConstants.SAMPLE_WEIGHT >= 2
        && health.utilization() > PolicyConstants.MIN_SHARE;
  }

  /**
   * The queued request to shed, or null: if the queue is too long for one in it to be answered in
   * time, of that one and those ahead of it the one of least weight for its threads and time. Only
   * requests as narrow count as ahead, since narrow ones pass wide ones that fit nowhere. Guards
   * against overload, whatever its cause; harm: a burst of free threads would have cleared the
   * queue.
   */
  TrackedRequest requestToShed(SortedSet<TrackedRequest> queued, Timestamp now) {
    double[] threads = new double[requestClasses.size()];
    for (RequestClassStats each : requestClasses.all()) {
      threads[each.index()] = budgets.totalThreads(each, now);
    }
    double[] aheadUs = new double[requestClasses.size()];
    for (TrackedRequest request : queued) {
      int index = request.requestClass().index();
      double slackUs =
          request.targetAt().since(now).us()
              - request.threadTimeUs() / request.requestClass().threads();
      if (threads[index] > 0
          && !request.isLate()
          && aheadUs[index] > threads[index] * slackUs * MAX_QUEUE_PER_SLACK) {
        return leastWeight(request, queued.headSet(request));
      }
      for (RequestClassStats each : requestClasses.all()) {
        boolean asNarrow = each.threads() >= request.requestClass().threads();
        aheadUs[each.index()] += asNarrow ? request.threadTimeUs() : 0;
      }
    }
    return null;
  }

  private static TrackedRequest leastWeight(
      TrackedRequest request, SortedSet<TrackedRequest> ahead) {
    TrackedRequest least = request;
    for (TrackedRequest other : ahead) {
      if (other.requestClass().threads() <= request.requestClass().threads()
          && other.weightPerThreadTime() < least.weightPerThreadTime()) {
        least = other;
      }
    }
    return least;
  }
}

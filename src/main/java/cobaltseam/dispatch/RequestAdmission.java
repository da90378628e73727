package cobaltseam.dispatch;

/**
 * Accepts new requests: looks up their class, and determines whether they exceed a quota or are
 * shed on arrival.
 */
final class RequestAdmission {
  private final RequestClassTable requestClasses;
  private final TenantQuotas quotas;
  private final EngineHealth health;
  private final LoadShedder shedder;
  private long arrivals;
  private double offeredWorkUs;

  RequestAdmission(
      RequestClassTable requestClasses,
      TenantQuotas quotas,
      EngineHealth health,
      LoadShedder shedder) {
    this.requestClasses = requestClasses;
    this.quotas = quotas;
    this.health = health;
    this.shedder = shedder;
  }

  /** Returns the work of all requests accepted so far, in microseconds of one thread. */
  double offeredWorkUs() {
    return offeredWorkUs;
  }

  /**
   * Accepts a request; a request that is shed on arrival is returned as dropped.
   *
   * @throws IllegalArgumentException if the settings do not define the class of the request
   */
  TrackedRequest accept(Request request, Timestamp now) {
    RequestClassStats requestClass = requestClasses.get(request.requestClass());
    if (requestClass == null || requestClass.isRetired()) {
      throw new IllegalArgumentException(
          "unknown request class \"" + request.requestClass().value() + "\"");
    }
    long arrivalNumber = arrivals++;
    updateWork(request, requestClass);
    boolean isOverQuota = quotas.exceedsQuota(request.tenant(), arrivals, now);
    TrackedRequest tracked =
        new TrackedRequest(request, requestClass, arrivalNumber, isOverQuota, now);
    tracked.updateExpectedLate(health.expectedLatency(tracked), now);
    if (shedder.shouldShedOnArrival(tracked, arrivals)) {
      tracked.drop();
    }
    offeredWorkUs += tracked.workUs();
    return tracked;
  }

  /**
   * Updates the mean work of a class. The estimate is limited to the work that fits the deadline,
   * since a higher one is not typical.
   */
  private static void updateWork(Request request, RequestClassStats requestClass) {
    if (request.work().isPositive()) {
      double maxWorkUs =
          (double) requestClass.threads() * requestClass.definition().deadline().us();
      requestClass.updateWork(Math.min(request.work().us(), maxWorkUs));
    }
  }
}

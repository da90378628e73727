package cobaltseam.dispatch;

/** Accepts new requests: finds their class, and whether they exceed a quota or are shed at once. */
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

  /** The work of all requests accepted so far, in microseconds of one thread. */
  double offeredWorkUs() {
    return offeredWorkUs;
  }

  /**
   * Accepts a request; one that is shed at once is dropped.
   *
   * @throws IllegalArgumentException if the settings do not define the class of the request
   */
  TrackedRequest accept(Request request, Timestamp now) {
    RequestClassStats requestClass = requestClasses.get(request.requestClass());
    if (requestClass == null || requestClass.isRetired()) {
      throw new IllegalArgumentException("unknown profile " + request.requestClass().value());
    }
    long number = arrivals++;
    learnWork(request, requestClass);
    boolean overQuota = quotas.exceedsQuota(request.tenant(), arrivals, now);
    TrackedRequest tracked = new TrackedRequest(request, requestClass, number, overQuota, now);
    tracked.checkLate(health.expectedLatency(tracked), now);
    if (shedder.shouldShedNew(tracked, arrivals)) {
      tracked.drop();
    }
    offeredWorkUs += tracked.workUs();
    return tracked;
  }

  /** An estimate beyond all that its client waits for does not show what is usual. */
  private static void learnWork(Request request, RequestClassStats requestClass) {
    if (request.work().isPositive()) {
      double most = (double) requestClass.threads() * requestClass.definition().deadline().us();
      requestClass.learnWork(Math.min(request.work().us(), most));
    }
  }
}

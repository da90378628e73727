package cobaltseam.dispatch;

import java.util.List;

/**
 * The properties of a deployment that a dispatcher depends on. Values that the deployment does not
 * set are null.
 *
 * @param dispatcherIndex the number of this dispatcher among all, from 0
 * @param dispatcherCount how many dispatchers share the engines
 * @param overQuotaWeight the factor applied to the priority weight of a request over its tenant's
 *     quota
 * @param site where this dispatcher runs
 */
public record Deployment(
    int dispatcherIndex,
    int dispatcherCount,
    List<RequestClass> requestClasses,
    List<MachineType> machineTypes,
    List<Quota> quotas,
    double overQuotaWeight,
    Rules rules,
    Capabilities capabilities,
    DispatcherSite site) {
  /** Creates a deployment in which this dispatcher's own location is unknown. */
  public Deployment(
      int dispatcherIndex,
      int dispatcherCount,
      List<RequestClass> requestClasses,
      List<MachineType> machineTypes,
      List<Quota> quotas,
      double overQuotaWeight,
      Rules rules,
      Capabilities capabilities) {
    this(
        dispatcherIndex,
        dispatcherCount,
        requestClasses,
        machineTypes,
        quotas,
        overQuotaWeight,
        rules,
        capabilities,
        DispatcherSite.UNKNOWN);
  }

  /**
   * Where this dispatcher runs.
   *
   * @param location null if unknown
   * @param hasCrossLocationCosts whether traffic to other locations has a price
   */
  public record DispatcherSite(LocationId location, boolean hasCrossLocationCosts) {
    public static final DispatcherSite UNKNOWN = new DispatcherSite(null, false);
  }

  /**
   * Whether a request may run more than once; the constants are declared from the least to the most
   * strict.
   */
  public enum RetrySafety {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NOT_IDEMPOTENT
  }

  /** The engines among which requests with the same idempotency key are deduplicated. */
  public enum DeduplicationScope {
    ALL,
    LOCATION,
    GROUP
  }

  /**
   * A request class.
   *
   * @param threads the engine threads that a request uses
   * @param priorityWeight the weight of an answer within the latency objective
   * @param latePriorityWeight the factor applied to the priority weight of a later answer; zero if
   *     a late answer is of no use
   * @param latencyObjective the latency objective, to which {@code objectivePerWork} adds
   * @param objectivePerWork the latency objective grows by this factor times the work per thread
   * @param deadline how long a client waits, counted from when its request is accepted
   * @param deduplicationScope null if engines do not deduplicate
   * @param deduplicationWindow how long engines remember an idempotency key
   * @param isOrdered whether requests with the same key run in the order in which they are accepted
   * @param locations the locations in which requests may run; null if in any
   * @param machineTypes the machine types on which requests may run; null if on any
   * @param loadsDataSet whether a request loads its data set, and blocks it on its engine until the
   *     request ends
   * @param waitsForLoads whether a request that reads a data set waits while another request loads
   *     it on the same engine
   */
  public record RequestClass(
      RequestClassId id,
      int threads,
      double priorityWeight,
      double latePriorityWeight,
      TimeSpan latencyObjective,
      double objectivePerWork,
      TimeSpan deadline,
      RetrySafety retrySafety,
      DeduplicationScope deduplicationScope,
      TimeSpan deduplicationWindow,
      boolean isOrdered,
      List<LocationId> locations,
      List<MachineTypeId> machineTypes,
      boolean loadsDataSet,
      boolean waitsForLoads) {
    /** Creates a request class whose requests neither load data sets nor wait for loads. */
    public RequestClass(
        RequestClassId id,
        int threads,
        double priorityWeight,
        double latePriorityWeight,
        TimeSpan latencyObjective,
        double objectivePerWork,
        TimeSpan deadline,
        RetrySafety retrySafety,
        DeduplicationScope deduplicationScope,
        TimeSpan deduplicationWindow,
        boolean isOrdered,
        List<LocationId> locations,
        List<MachineTypeId> machineTypes) {
      this(
          id,
          threads,
          priorityWeight,
          latePriorityWeight,
          latencyObjective,
          objectivePerWork,
          deadline,
          retrySafety,
          deduplicationScope,
          deduplicationWindow,
          isOrdered,
          locations,
          machineTypes,
          false,
          false);
    }
  }

  /** A machine type; a memory of zero megabytes means that it is unknown. */
  public record MachineType(MachineTypeId id, double cores, double memoryMb) {}

  /** The requests per second that a tenant may send to all dispatchers together. */
  public record Quota(TenantId tenant, double perSecond) {}

  /**
   * The numeric limits of the dispatch rules.
   *
   * @param slowStartFraction the fraction of its full capacity that an engine has when it starts,
   *     from 0 to 1
   * @param slowStartDuration the time after which it has its full capacity
   * @param slowStartLimitFactor the work that a warming engine may be sent within a window, as a
   *     multiple of the work that it can do
   * @param slowStartWindow the length of that window
   * @param sequenceKeyRest how long no request of a key starts after an attempt that may still be
   *     running
   * @param freeRetries the retries allowed in a window in addition to the ratio; null without a
   *     retry budget
   * @param retryRatio the retries allowed for each request accepted in a window; null without a
   *     retry budget
   * @param retryWindow the length of that window; null without a retry budget
   */
  public record Rules(
      double slowStartFraction,
      TimeSpan slowStartDuration,
      double slowStartLimitFactor,
      TimeSpan slowStartWindow,
      TimeSpan sequenceKeyRest,
      Double freeRetries,
      Double retryRatio,
      TimeSpan retryWindow) {}

  /**
   * What a dispatcher can rely on and may do in this deployment.
   *
   * @param clockTick the resolution of the dispatcher's clock
   * @param maxAttempts the maximum number of attempts of one request, including the first
   * @param canCancel whether an attempt can be cancelled, and whether a timeout ends its work on
   *     the engine
   * @param hasEnginePriorities whether engines support priorities
   * @param allowsRetryAfter whether the answer to a shed request may name a delay after which to
   *     retry
   * @param maxRetryAfter the longest such delay
   * @param progressInterval how often engines report progress, memory shortfalls and waits; zero if
   *     never
   * @param hasMemoryGrants whether engines apply a memory grant
   */
  public record Capabilities(
      TimeSpan clockTick,
      int maxAttempts,
      boolean canCancel,
      boolean hasEnginePriorities,
      boolean allowsRetryAfter,
      TimeSpan maxRetryAfter,
      TimeSpan progressInterval,
      boolean hasMemoryGrants) {
    /** Creates the capabilities of a deployment whose engines apply memory grants. */
    public Capabilities(
        TimeSpan clockTick,
        int maxAttempts,
        boolean canCancel,
        boolean hasEnginePriorities,
        boolean allowsRetryAfter,
        TimeSpan maxRetryAfter,
        TimeSpan progressInterval) {
      this(
          clockTick,
          maxAttempts,
          canCancel,
          hasEnginePriorities,
          allowsRetryAfter,
          maxRetryAfter,
          progressInterval,
          true);
    }
  }
}

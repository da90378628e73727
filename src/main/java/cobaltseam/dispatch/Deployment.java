package cobaltseam.dispatch;

import java.util.List;

/**
 * What a dispatcher has to know of its deployment. Figures that the deployment does not set are
 * null.
 *
 * @param dispatcherIndex this dispatcher's number among all, from 0
 * @param dispatcherCount how many dispatchers share the engines
 * @param overQuotaWeight the factor to the priority weight of a request over its tenant's quota
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
  /** A deployment in which the dispatcher's own location is unknown. */
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

  /** Whether a request may run more than once, the least strict first. */
  public enum RetrySafety {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NOT_IDEMPOTENT
  }

  /** The engines that deduplicate a request with an idempotency key. */
  public enum DeduplicationScope {
    ALL,
    LOCATION,
    GROUP
  }

  /**
   * A class of requests.
   *
   * @param threads engine threads that a request uses
   * @param priorityWeight the weight of an answer within the latency objective
   * @param latePriorityWeight the factor to that of a later answer; zero if it is of no use
   * @param objectivePerWork the latency objective grows by this times the work per thread
   * @param deadline how long a client waits, from when its request is accepted
   * @param deduplicationScope null if engines do not deduplicate
   * @param deduplicationWindow how long engines remember an idempotency key
   * @param isOrdered whether requests with the same key run in the order in which they are accepted
   * @param locations where requests may run; null if anywhere
   * @param machineTypes what requests may run on; null if on any
   * @param loadsDataSet whether a request loads its data set, and holds it on its engine until it
   *     ends
   * @param waitsForLoads whether a request that reads the data set there waits meanwhile
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
    /** A class of requests that neither load data sets nor wait for loads. */
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
        boolean inOrder,
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
          inOrder,
          locations,
          machineTypes,
          false,
          false);
    }
  }

  /** A type of machine; a memory of zero megabytes is unknown. */
  public record MachineType(MachineTypeId id, double cores, double memoryMb) {}

  /** The requests per second that a tenant may send to all dispatchers together. */
  public record Quota(TenantId tenant, double perSecond) {}

  /**
   * The figures of the rules.
   *
   * @param slowStartFraction the part of its work that an engine can do at its start, from 0 to 1
   * @param slowStartDuration the time until it can do all of it
   * @param slowStartLimitFactor how many times what it can do it may be sent within a window
   * @param slowStartWindow the length of that window
   * @param sequenceKeyRest how long a key rests after an attempt that may still run
   * @param freeRetries retries in a window beyond the ratio; null without a retry budget
   * @param retryRatio retries for each accepted request of a window; null without a retry budget
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
   * What a dispatcher may do in this deployment.
   *
   * @param clockTick how fine its clock is
   * @param maxAttempts attempts of one request, with the first
   * @param canCancel whether an attempt can be cancelled, and a time-out ends its work
   * @param hasEnginePriorities whether engines heed a priority
   * @param allowsRetryAfter whether a shed request may name a delay for a retry
   * @param maxRetryAfter the longest such delay
   * @param progressInterval how often engines report progress, spills and waits; zero for never
   * @param hasMemoryGrants whether engines heed a grant of memory
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
    /** Capabilities of a deployment whose engines heed grants of memory. */
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

package cobaltseam.dispatch;

import java.util.List;

/** What a dispatcher is told of its deployment when it starts; absent figures are null. */
public record Deployment(
    int dispatcherIndex,
    int dispatcherCount,
    List<RequestClass> requestClasses,
    List<MachineType> machineTypes,
    List<Quota> quotas,
    double overQuotaWeight,
    Rules rules,
    Capabilities capabilities,
    Place place) {
  public Deployment(
      int number,
      int dispatchers,
      List<RequestClass> profiles,
      List<MachineType> kinds,
      List<Quota> shares,
      double overShareWorth,
      Rules rules,
      Capabilities means) {
    this(number, dispatchers, profiles, kinds, shares, overShareWorth, rules, means, Place.UNKNOWN);
  }

  /**
   * Where this dispatcher stands, if that is told, and whether sends to other locations cost
   * something.
   */
  public record Place(LocationId location, boolean crossingCosts) {
    public static final Place UNKNOWN = new Place(null, false);
  }

  /** How often a command may run. */
  public enum RetrySafety {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NOT_IDEMPOTENT
  }

  /** The engines that drop repeats of a uniqued command. */
  public enum DeduplicationScope {
    ALL,
    LOCATION,
    GROUP
  }

  /**
   * A class of commands. The latency target grows by {@code stretch} times the work over the
   * threads. Null locations or kinds mean any. A load holds its data set on its engine until it
   * ends; commands of profiles that wait, and read that set there, stand still meanwhile.
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
      boolean inOrder,
      List<LocationId> locations,
      List<MachineTypeId> machineTypes,
      boolean loadsDataSet,
      boolean waitsForLoads) {
    public RequestClass(
        RequestClassId id,
        int threads,
        double benefit,
        double lateBenefit,
        TimeSpan latencyTarget,
        double stretch,
        TimeSpan clientTimeout,
        RetrySafety repeat,
        DeduplicationScope scope,
        TimeSpan remembered,
        boolean inOrder,
        List<LocationId> locations,
        List<MachineTypeId> onKinds) {
      this(
          id,
          threads,
          benefit,
          lateBenefit,
          latencyTarget,
          stretch,
          clientTimeout,
          repeat,
          scope,
          remembered,
          inOrder,
          locations,
          onKinds,
          false,
          false);
    }
  }

  /** A kind of machine; a memory of zero is not told. */
  public record MachineType(MachineTypeId id, double cores, double memoryMb) {}

  /** One holder's part of the service; the rate counts all dispatchers. */
  public record Quota(TenantId tenant, double perSecond) {}

  /** The figures of the rules. */
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
   * What a dispatcher may do here, how fine its clock is, how often progress, spills and waits are
   * told (zero: never), and whether engines heed a grant of memory.
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
    public Capabilities(
        TimeSpan tick,
        int mostSends,
        boolean cancels,
        boolean priorities,
        boolean comeBack,
        TimeSpan longestComeBack,
        TimeSpan noteEvery) {
      this(tick, mostSends, cancels, priorities, comeBack, longestComeBack, noteEvery, true);
    }
  }
}

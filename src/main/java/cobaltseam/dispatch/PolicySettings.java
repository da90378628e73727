package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.Rules;

/**
 * The values that the policy derives from a {@link Deployment} once, when its settings are applied.
 *
 * @param deadlineMargin how long before its deadline a request has to be answered; also the
 *     shortest wait
 * @param maxRetryAfter the delay named in the answer to a shed request; zero where none may be
 *     named
 * @param homeLocation the location whose engines win ties; null if unknown or if traffic to other
 *     locations has no price
 */
record PolicySettings(
    int dispatcherIndex,
    int dispatcherCount,
    boolean canCancel,
    boolean hasEnginePriorities,
    TimeSpan progressInterval,
    boolean reportsProgress,
    boolean reportsMemoryShortfall,
    TimeSpan deadlineMargin,
    TimeSpan maxRetryAfter,
    TimeSpan shortestObjective,
    double overQuotaWeight,
    LocationId homeLocation,
    SlowStart slowStart) {
  /**
   * The fraction of the slow start limit that dispatchers use. The full capacity of an engine is
   * counted as one thread per core.
   */
  private static final double SLOW_START_SAFETY_FACTOR = 0.7;

  private static final double REFRESHES_PER_OBJECTIVE = 8;

  static PolicySettings of(Deployment deployment) {
    Capabilities capabilities = deployment.capabilities();
    Rules rules = deployment.rules();
    int dispatchers = Math.max(1, deployment.dispatcherCount());
    boolean hasReports = capabilities.progressInterval().isPositive();
    TimeSpan margin = capabilities.clockTick().times(2);
    double allowanceFactor = rules.slowStartLimitFactor() * SLOW_START_SAFETY_FACTOR / dispatchers;
    return new PolicySettings(
        Math.max(0, deployment.dispatcherIndex()),
        dispatchers,
        capabilities.canCancel(),
        capabilities.hasEnginePriorities(),
        capabilities.progressInterval(),
        hasReports && capabilities.canCancel(),
        hasReports && capabilities.hasMemoryGrants(),
        margin,
        capabilities.allowsRetryAfter() ? capabilities.maxRetryAfter() : TimeSpan.ZERO,
        shortestObjective(deployment, margin),
        deployment.overQuotaWeight(),
        deployment.site().hasCrossLocationCosts() ? deployment.site().location() : null,
        new SlowStart(rules.slowStartFraction(), rules.slowStartDuration(), allowanceFactor));
  }

  private static TimeSpan shortestObjective(Deployment deployment, TimeSpan defaultObjective) {
    return deployment.requestClasses().stream()
        .map(RequestClass::latencyObjective)
        .min(TimeSpan::compareTo)
        .orElse(defaultObjective);
  }

  /**
   * Returns how often estimates and random samples are renewed, and the longest time until the
   * caller calls again.
   */
  TimeSpan refreshInterval() {
    return shortestObjective.times(1 / REFRESHES_PER_OBJECTIVE);
  }
}

package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.Rules;

/**
 * What the policy derives from a {@link Deployment} once, when its settings are applied.
 *
 * @param deadlineMargin what an answer must be ahead of its deadline, and the shortest wait
 * @param maxRetryAfter the delay that a shed request is given; zero where none may be given
 * @param homeLocation the location whose engines win ties; null if unknown or if crossing is free
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
  /** The part used of what a warming engine may be sent at most, at one thread's work a core. */
  private static final double SLOW_START_CAUTION = 0.7;

  private static final double REFRESHES_PER_OBJECTIVE = 8;

  static PolicySettings of(Deployment deployment) {
    Capabilities capabilities = deployment.capabilities();
    Rules rules = deployment.rules();
    int dispatchers = Math.max(1, deployment.dispatcherCount());
    boolean reports = capabilities.progressInterval().isPositive();
    TimeSpan margin = capabilities.clockTick().times(2);
    double workFactor = rules.slowStartLimitFactor() * SLOW_START_CAUTION / dispatchers;
    return new PolicySettings(
        Math.max(0, deployment.dispatcherIndex()),
        dispatchers,
        capabilities.canCancel(),
        capabilities.hasEnginePriorities(),
        capabilities.progressInterval(),
        reports && capabilities.canCancel(),
        reports && capabilities.hasMemoryGrants(),
        margin,
        capabilities.allowsRetryAfter() ? capabilities.maxRetryAfter() : TimeSpan.ZERO,
        shortestObjective(deployment, margin),
        deployment.overQuotaWeight(),
        deployment.site().hasCrossLocationCosts() ? deployment.site().location() : null,
        new SlowStart(rules.slowStartFraction(), rules.slowStartDuration(), workFactor));
  }

  private static TimeSpan shortestObjective(Deployment deployment, TimeSpan otherwise) {
    return deployment.requestClasses().stream()
        .map(RequestClass::latencyObjective)
        .min(TimeSpan::compareTo)
        .orElse(otherwise);
  }

  /** How often estimates and random draws are renewed, and how soon the caller asks again. */
  TimeSpan refreshInterval() {
    return shortestObjective.times(1 / REFRESHES_PER_OBJECTIVE);
  }
}

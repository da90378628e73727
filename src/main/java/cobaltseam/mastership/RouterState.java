package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * The state of one virtual router.
 *
 * @param since when it took this role
 * @param reason why it took this role
 * @param priority its current priority, 0 to 255
 * @param activeInterval the advertisement interval of the active router, as last received
 * @param timerExpiresAt when its timer expires, or null
 * @param lastAdvertisedAt when it last advertised as the active router, or null
 * @param preemptionAllowedFrom from when on it may take over from a lower priority
 */
public record RouterState(
    Role role,
    Timestamp since,
    TransitionReason reason,
    int priority,
    TimeSpan activeInterval,
    Timestamp timerExpiresAt,
    Timestamp lastAdvertisedAt,
    Timestamp preemptionAllowedFrom) {
  RouterState withTimerExpiry(Timestamp at) {
    return new RouterState(
        role, since, reason, priority, activeInterval, at, lastAdvertisedAt, preemptionAllowedFrom);
  }

  RouterState withPriority(int newPriority, Timestamp newPreemptionAllowedFrom) {
    return new RouterState(
        role,
        since,
        reason,
        newPriority,
        activeInterval,
        timerExpiresAt,
        lastAdvertisedAt,
        newPreemptionAllowedFrom);
  }

  RouterState withActiveInterval(TimeSpan interval) {
    return new RouterState(
        role,
        since,
        reason,
        priority,
        interval,
        timerExpiresAt,
        lastAdvertisedAt,
        preemptionAllowedFrom);
  }

  RouterState withAdvertisement(Timestamp at, Timestamp next) {
    return new RouterState(
        role, since, reason, priority, activeInterval, next, at, preemptionAllowedFrom);
  }

  RouterState withRole(Role newRole, TransitionReason newReason, Timestamp at) {
    return new RouterState(
        newRole,
        at,
        newReason,
        priority,
        activeInterval,
        timerExpiresAt,
        newRole == Role.ACTIVE ? lastAdvertisedAt : null,
        preemptionAllowedFrom);
  }
}

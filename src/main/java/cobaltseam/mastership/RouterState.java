package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * The immutable protocol state of one virtual router.
 *
 * @param since when the router entered this role
 * @param reason why the router entered this role
 * @param priority the current priority, 0 to 255
 * @param activeInterval the advertisement interval of the active router (Active_Adver_Interval)
 * @param timerExpiresAt when the advertisement timer (active) or the active down timer (backup)
 *     expires, or null
 * @param lastAdvertisedAt when the router last advertised while active, or null
 * @param preemptionAllowedFrom the earliest time at which the router may preempt a lower priority
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

package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * Where one virtual router stands: its role and since when and why, the priority it now has, the
 * interval of the active router's adverts as last heard, when it is to be asked next (null: never),
 * when it last advertised as the active one, and from when on it may take over from a lower
 * priority.
 */
public record RouterState(
    Role role,
    Timestamp since,
    TransitionReason reason,
    int priority,
    TimeSpan activeInterval,
    Timestamp wakeAt,
    Timestamp lastAdvertisedAt,
    Timestamp preemptionAllowedFrom) {
  RouterState withWakeAt(Timestamp at) {
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
        wakeAt,
        lastAdvertisedAt,
        newPreemptionAllowedFrom);
  }

  RouterState withActiveInterval(TimeSpan interval) {
    return new RouterState(
        role, since, reason, priority, interval, wakeAt, lastAdvertisedAt, preemptionAllowedFrom);
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
        wakeAt,
        newRole == Role.ACTIVE ? lastAdvertisedAt : null,
        preemptionAllowedFrom);
  }
}

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
    TimeSpan heardInterval,
    Timestamp wake,
    Timestamp advertised,
    Timestamp preemptsFrom) {
  RouterState wakesAt(Timestamp at) {
    return new RouterState(
        role, since, reason, priority, heardInterval, at, advertised, preemptsFrom);
  }

  RouterState of(int newPriority, Timestamp newPreemptsFrom) {
    return new RouterState(
        role, since, reason, newPriority, heardInterval, wake, advertised, newPreemptsFrom);
  }

  RouterState heard(TimeSpan interval) {
    return new RouterState(role, since, reason, priority, interval, wake, advertised, preemptsFrom);
  }

  RouterState advertisedAt(Timestamp at, Timestamp next) {
    return new RouterState(role, since, reason, priority, heardInterval, next, at, preemptsFrom);
  }

  RouterState as(Role newRole, TransitionReason why, Timestamp at) {
    return new RouterState(
        newRole,
        at,
        why,
        priority,
        heardInterval,
        wake,
        newRole == Role.ACTIVE ? advertised : null,
        preemptsFrom);
  }
}

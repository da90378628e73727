package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * Where one virtual router stands: its role and since when and why, the priority it now has, the
 * interval of the active router's adverts as last heard, when it is to be asked next (null: never),
 * when it last advertised as the active one, and from when on it may take over from a lower
 * priority.
 */
public record Standing(
    Role role,
    Timestamp since,
    Reason reason,
    int priority,
    TimeSpan heardInterval,
    Timestamp wake,
    Timestamp advertised,
    Timestamp preemptsFrom) {
  Standing wakesAt(Timestamp at) {
    return new Standing(role, since, reason, priority, heardInterval, at, advertised, preemptsFrom);
  }

  Standing of(int newPriority, Timestamp newPreemptsFrom) {
    return new Standing(
        role, since, reason, newPriority, heardInterval, wake, advertised, newPreemptsFrom);
  }

  Standing heard(TimeSpan interval) {
    return new Standing(role, since, reason, priority, interval, wake, advertised, preemptsFrom);
  }

  Standing advertisedAt(Timestamp at, Timestamp next) {
    return new Standing(role, since, reason, priority, heardInterval, next, at, preemptsFrom);
  }

  Standing as(Role newRole, Reason why, Timestamp at) {
    return new Standing(
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

package cobaltseam.mastership;

import cobaltseam.dispatch.Moment;
import cobaltseam.dispatch.Span;

/**
 * Where one virtual router stands: its role and since when and why, the priority it now has, the
 * interval of the active router's adverts as last heard, when it is to be asked next (null: never),
 * when it last advertised as the active one, and from when on it may take over from a lower
 * priority.
 */
public record Standing(
    Role role,
    Moment since,
    Reason reason,
    int priority,
    Span heardInterval,
    Moment wake,
    Moment advertised,
    Moment preemptsFrom) {
  Standing wakesAt(Moment at) {
    return new Standing(role, since, reason, priority, heardInterval, at, advertised, preemptsFrom);
  }

  Standing of(int newPriority, Moment newPreemptsFrom) {
    return new Standing(
        role, since, reason, newPriority, heardInterval, wake, advertised, newPreemptsFrom);
  }

  Standing heard(Span interval) {
    return new Standing(role, since, reason, priority, interval, wake, advertised, preemptsFrom);
  }

  Standing advertisedAt(Moment at, Moment next) {
    return new Standing(role, since, reason, priority, heardInterval, next, at, preemptsFrom);
  }

  Standing as(Role newRole, Reason why, Moment at) {
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

package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The state machine of one virtual router, RFC 9568 section 6.4: pure functions from a state and an
 * event to the next state and the actions to carry out, so that all states can be explored.
 *
 * <p>Beyond the RFC: an active router whose process did not run for as long as its peers wait for
 * its advertisements steps back before it does anything else (the fence time); a backup whose
 * process did not run listens again before it becomes active; preemption may be delayed; and an
 * active router that can't serve resigns and backs off.
 */
final class VirtualRouter {
  /** Advertisements of the active router that may be missed before a backup becomes active. */
  static final int MAX_MISSED_ADVERTISEMENTS = 3;

  private static final int PRIORITY_LEVELS = 256;
  private static final int US_PER_CENTISECOND = 10_000;

  /**
   * An active router answers a lower priority with an advertisement, but no sooner than this part
   * of the interval after its last one, so that a flood is not answered by a flood.
   */
  private static final double MIN_ASSERT_INTERVALS = 0.25;

  private VirtualRouter() {}

  /** The next state, and the actions to carry out in order. */
  record Transition(RouterState state, List<MastershipAction> actions) {
    Transition(RouterState state, MastershipAction... actions) {
      this(state, List.of(actions));
    }
  }

  /** Skew_Time of the RFC: what a backup adds to its wait, shorter the higher its priority. */
  static TimeSpan skewTime(RouterState state) {
    return state
        .activeInterval()
        .times((double) (PRIORITY_LEVELS - state.priority()) / PRIORITY_LEVELS);
  }

  /** Active_Down_Interval of the RFC: the silence after which a backup becomes active. */
  static TimeSpan activeDownInterval(RouterState state) {
    return state.activeInterval().times(MAX_MISSED_ADVERTISEMENTS).plus(skewTime(state));
  }

  /**
   * Until when an active router may act without another advertisement, or null for other roles. No
   * peer of the same interval becomes active sooner: each adds its skew time, and measures from
   * when it received the advertisement.
   */
  static Timestamp fenceDeadline(RouterOptions options, RouterState state) {
    return state.role() == Role.ACTIVE
        ? state
            .lastAdvertisedAt()
            .plus(options.advertisementInterval().times(MAX_MISSED_ADVERTISEMENTS))
        : null;
  }

  static RouterState initialState(RouterOptions options, int priority, Timestamp now) {
    return new RouterState(
        Role.INITIALIZE,
        now,
        TransitionReason.STARTED,
        priority,
        options.advertisementInterval(),
        null,
        null,
        now);
  }

  /** Startup. It listens for at least this long before it becomes active, even as address owner. */
  static Transition start(RouterOptions options, int priority, TimeSpan listen, Timestamp now) {
    RouterState state = initialState(options, priority, now);
    if (priority == Advertisement.OWNER_PRIORITY && !listen.isPositive()) {
      return becomeActive(options, state, TransitionReason.OWNER, now);
    }
    state =
        state
            .withRole(Role.BACKUP, TransitionReason.STARTED, now)
            .withPriority(priority, now.plus(options.preemptDelay()));
    return new Transition(state.withTimerExpiry(now.plus(listen).plus(activeDownInterval(state))));
  }

  /** Shutdown. An active router resigns, so that a peer takes over within its skew time. */
  static Transition stop(
      RouterOptions options, RouterState state, TransitionReason reason, Timestamp now) {
    RouterState next = state.withRole(Role.INITIALIZE, reason, now).withTimerExpiry(null);
    return state.role() == Role.ACTIVE
        ? new Transition(
            next,
            new MastershipAction.Advertise(options.router(), Advertisement.RESIGNATION_PRIORITY),
            new MastershipAction.Release(options.router(), reason))
        : new Transition(next);
  }

  /** The timer of the router has expired. */
  static Transition onTimer(RouterOptions options, RouterState state, Timestamp now) {
    if (state.role() == Role.ACTIVE) {
      return new Transition(
          state.withAdvertisement(now, now.plus(options.advertisementInterval())),
          new MastershipAction.Advertise(options.router(), state.priority()));
    }
    if (state.role() != Role.BACKUP) {
      return new Transition(state.withTimerExpiry(null));
    }
    // If this process did not run, advertisements of the active router may still be unread.
    if (now.since(state.timerExpiresAt()).compareTo(state.activeInterval()) > 0) {
      return new Transition(state.withTimerExpiry(now.plus(activeDownInterval(state))));
    }
    return becomeActive(options, state, TransitionReason.NONE_HEARD, now);
  }

  private static Transition becomeActive(
      RouterOptions options, RouterState state, TransitionReason reason, Timestamp now) {
    RouterState next =
        state
            .withRole(Role.ACTIVE, reason, now)
            .withActiveInterval(options.advertisementInterval())
            .withAdvertisement(now, now.plus(options.advertisementInterval()));
    return new Transition(
        next,
        new MastershipAction.Advertise(options.router(), state.priority()),
        new MastershipAction.Acquire(options.router(), reason));
  }

  /** An accepted advertisement was received from a peer. */
  static Transition onAdvertisement(
      RouterOptions options,
      RouterState state,
      InetAddress self,
      InetAddress sender,
      Advertisement advertisement,
      Timestamp now) {
    return switch (state.role()) {
      case INITIALIZE -> new Transition(state);
      case BACKUP -> onAdvertisementAsBackup(options, state, advertisement, now);
      case ACTIVE -> onAdvertisementAsActive(options, state, self, sender, advertisement, now);
    };
  }

  private static Transition onAdvertisementAsBackup(
      RouterOptions options, RouterState state, Advertisement advertisement, Timestamp now) {
    if (advertisement.priority() == Advertisement.RESIGNATION_PRIORITY) {
      // Never later than without the resignation, which only proves that its sender is gone.
      Timestamp afterSkew = now.plus(skewTime(state));
      return new Transition(
          state.timerExpiresAt() != null && state.timerExpiresAt().isBefore(afterSkew)
              ? state
              : state.withTimerExpiry(afterSkew));
    }
    boolean takesOver =
        options.preempts()
            && advertisement.priority() < state.priority()
            && !now.isBefore(state.preemptionAllowedFrom());
    if (takesOver) {
      return new Transition(state);
    }
    RouterState next = state.withActiveInterval(advertisementInterval(advertisement));
    return new Transition(next.withTimerExpiry(now.plus(activeDownInterval(next))));
  }

  private static Transition onAdvertisementAsActive(
      RouterOptions options,
      RouterState state,
      InetAddress self,
      InetAddress sender,
      Advertisement advertisement,
      Timestamp now) {
    boolean higher = advertisement.priority() > state.priority();
    boolean tied =
        advertisement.priority() == state.priority() && Addresses.compare(sender, self) > 0;
    if (advertisement.priority() != Advertisement.RESIGNATION_PRIORITY && (higher || tied)) {
      TransitionReason reason =
          higher ? TransitionReason.HIGHER_HEARD : TransitionReason.ADDRESS_HIGHER;
      RouterState next =
          state
              .withRole(Role.BACKUP, reason, now)
              .withActiveInterval(advertisementInterval(advertisement));
      return new Transition(
          next.withTimerExpiry(now.plus(activeDownInterval(next))),
          new MastershipAction.Release(options.router(), reason));
    }
    // Advertises at once, so that all routers that listen learn who is active.
    if (now.since(state.lastAdvertisedAt())
            .compareTo(options.advertisementInterval().times(MIN_ASSERT_INTERVALS))
        < 0) {
      return new Transition(state);
    }
    return onTimer(options, state, now);
  }

  /** Steps back to backup if the fence time has passed, so that a peer may have become active. */
  static Transition fenceIfOverdue(RouterOptions options, RouterState state, Timestamp now) {
    Timestamp fence = fenceDeadline(options, state);
    if (fence == null || !fence.isBefore(now)) {
      return new Transition(state);
    }
    RouterState next =
        state
            .withRole(Role.BACKUP, TransitionReason.FENCED, now)
            .withActiveInterval(options.advertisementInterval());
    return new Transition(
        next.withTimerExpiry(now.plus(activeDownInterval(next))),
        new MastershipAction.Release(options.router(), TransitionReason.FENCED));
  }

  /**
   * An active router can't serve: it resigns, and becomes active again after the backoff at best.
   */
  static Transition resignUnableToServe(
      RouterOptions options, RouterState state, TimeSpan backoff, Timestamp now) {
    if (state.role() != Role.ACTIVE) {
      return new Transition(state);
    }
    RouterState next =
        state
            .withRole(Role.BACKUP, TransitionReason.UNABLE, now)
            .withPriority(state.priority(), now.plus(backoff));
    return new Transition(
        next.withTimerExpiry(now.plus(backoff).plus(activeDownInterval(next))),
        new MastershipAction.Advertise(options.router(), Advertisement.RESIGNATION_PRIORITY),
        new MastershipAction.Release(options.router(), TransitionReason.UNABLE));
  }

  /** Sets the priority; after a rise the router waits for the preempt delay before it preempts. */
  static Transition changePriority(
      RouterOptions options, RouterState state, int priority, Timestamp now) {
    boolean rose = priority > state.priority();
    return new Transition(
        state.withPriority(
            priority, rose ? now.plus(options.preemptDelay()) : state.preemptionAllowedFrom()));
  }

  /** Applies new settings. */
  static Transition changeOptions(
      RouterOptions options, RouterState state, int priority, Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    RouterState next = changePriority(options, state, priority, now).state();
    if (state.role() == Role.ACTIVE) {
      // At once, so that peers that wait by the old interval don't become active in between.
      next =
          next.withActiveInterval(options.advertisementInterval())
              .withAdvertisement(now, now.plus(options.advertisementInterval()));
      actions.add(new MastershipAction.Advertise(options.router(), priority));
    } else if (state.role() == Role.BACKUP) {
      Timestamp wake =
          now.plus(activeDownInterval(next.withActiveInterval(options.advertisementInterval())));
      next =
          next.withActiveInterval(options.advertisementInterval())
              .withTimerExpiry(
                  state.timerExpiresAt() != null && wake.isBefore(state.timerExpiresAt())
                      ? state.timerExpiresAt()
                      : wake);
    }
    return new Transition(next, actions);
  }

  static TimeSpan advertisementInterval(Advertisement advertisement) {
    return new TimeSpan(
        (long) advertisement.maxAdvertiseIntervalCentiseconds() * US_PER_CENTISECOND);
  }
}

package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The state machine of one virtual router, RFC 9568 section 6.4. All methods are pure functions
 * from a state and an event to the next state and the actions to carry out, so that a test can
 * explore all reachable states.
 *
 * <p>Extensions to the RFC:
 *
 * <ul>
 *   <li>Fencing: an active router that was suspended until its fence deadline passed returns to
 *       backup before it does anything else.
 *   <li>A backup that was suspended restarts its active down timer before it becomes active.
 *   <li>Preemption may be delayed.
 *   <li>An active router that is unable to serve resigns and backs off.
 * </ul>
 */
final class VirtualRouter {
  /** Advertisements of the active router that a backup may miss before it becomes active. */
  static final int MAX_MISSED_ADVERTISEMENTS = 3;

  private static final int PRIORITY_LEVELS = 256;
  private static final int US_PER_CENTISECOND = 10_000;

  /**
   * An active router replies to an advertisement of lower priority with its own, but no sooner than
   * this fraction of the advertisement interval after its last one. The limit keeps a flood of
   * advertisements from causing a flood of replies.
   */
  private static final double MIN_REPLY_INTERVAL_FRACTION = 0.25;

  private VirtualRouter() {}

  /** The next state, and the actions to carry out in the given order. */
  record Transition(RouterState state, List<MastershipAction> actions) {
    Transition(RouterState state, MastershipAction... actions) {
      this(state, List.of(actions));
    }
  }

  /**
   * Skew_Time of the RFC: an addition to the active down interval, shorter for higher priorities.
   */
  static TimeSpan skewTime(RouterState state) {
    return state
        .activeInterval()
        .times((double) (PRIORITY_LEVELS - state.priority()) / PRIORITY_LEVELS);
  }

  /** Active_Down_Interval of the RFC: a backup becomes active after it without an advertisement. */
  static TimeSpan activeDownInterval(RouterState state) {
    return state.activeInterval().times(MAX_MISSED_ADVERTISEMENTS).plus(skewTime(state));
  }

  /**
   * Until when an active router may serve without sending another advertisement, or null in other
   * roles. No peer with the same advertisement interval becomes active before: its active down
   * interval also includes its skew time, and starts when it receives the advertisement.
   */
  static Timestamp fenceDeadline(RouterOptions options, RouterState state) {
    return state.role() == Role.ACTIVE
        ? state
            .lastAdvertisedAt()
            .plus(options.advertisementInterval().times(MAX_MISSED_ADVERTISEMENTS))
        : null;
  }

  /** The state before startup. */
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

  /**
   * Startup.
   *
   * @param listenPeriod the minimum time before the router becomes active, even as address owner
   */
  static Transition start(
      RouterOptions options, int priority, TimeSpan listenPeriod, Timestamp now) {
    RouterState state = initialState(options, priority, now);
    if (priority == Advertisement.OWNER_PRIORITY && !listenPeriod.isPositive()) {
      return becomeActive(options, state, TransitionReason.OWNER, now);
    }
    state =
        state
            .withRole(Role.BACKUP, TransitionReason.STARTED, now)
            .withPriority(priority, now.plus(options.preemptDelay()));
    return new Transition(
        state.withTimerExpiry(now.plus(listenPeriod).plus(activeDownInterval(state))));
  }

  /** Shutdown. An active router resigns, so that a peer takes over within its skew time. */
  static Transition stop(
      RouterOptions options, RouterState state, TransitionReason reason, Timestamp now) {
    RouterState next = state.withRole(Role.INITIALIZE, reason, now).withTimerExpiry(null);
    return state.role() == Role.ACTIVE
        ? new Transition(
            next,
            new MastershipAction.Advertise(options, Advertisement.RESIGNATION_PRIORITY),
            new MastershipAction.Release(options.router(), reason))
        : new Transition(next);
  }

  /** The advertisement timer or the active down timer of the router has expired. */
  static Transition onTimer(RouterOptions options, RouterState state, Timestamp now) {
    if (state.role() == Role.ACTIVE) {
      return new Transition(
          state.withAdvertisement(now, now.plus(options.advertisementInterval())),
          new MastershipAction.Advertise(options, state.priority()));
    }
    if (state.role() != Role.BACKUP) {
      return new Transition(state.withTimerExpiry(null));
    }
    // A timer that is late by more than an interval shows that this process was suspended. Received
    // advertisements of the active router may still be unread.
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
        new MastershipAction.Advertise(options, state.priority()),
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
      // The resignation only shows that its sender is no longer active, so the timer may be
      // shortened but not extended.
      Timestamp afterSkew = now.plus(skewTime(state));
      return new Transition(
          state.timerExpiresAt() != null && state.timerExpiresAt().isBefore(afterSkew)
              ? state
              : state.withTimerExpiry(afterSkew));
    }
    boolean willPreempt =
        options.preempts()
            && advertisement.priority() < state.priority()
            && !now.isBefore(state.preemptionAllowedFrom());
    if (willPreempt) {
      // The advertisement doesn't restart the active down timer.
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
    boolean senderHasHigherPriority = advertisement.priority() > state.priority();
    boolean senderWinsTie =
        advertisement.priority() == state.priority() && Addresses.compare(sender, self) > 0;
    if (advertisement.priority() != Advertisement.RESIGNATION_PRIORITY
        && (senderHasHigherPriority || senderWinsTie)) {
      TransitionReason reason =
          senderHasHigherPriority ? TransitionReason.HIGHER_HEARD : TransitionReason.ADDRESS_HIGHER;
      RouterState next =
          state
              .withRole(Role.BACKUP, reason, now)
              .withActiveInterval(advertisementInterval(advertisement));
      return new Transition(
          next.withTimerExpiry(now.plus(activeDownInterval(next))),
          new MastershipAction.Release(options.router(), reason));
    }
    // Advertises at once, so that all backups learn which router is active.
    if (now.since(state.lastAdvertisedAt())
            .compareTo(options.advertisementInterval().times(MIN_REPLY_INTERVAL_FRACTION))
        < 0) {
      return new Transition(state);
    }
    return onTimer(options, state, now);
  }

  /** Returns to backup if the fence deadline has passed, since a peer may have become active. */
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
   * An active router is unable to serve: it resigns, and delays preemption and its active down
   * timer by the backoff.
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
        new MastershipAction.Advertise(options, Advertisement.RESIGNATION_PRIORITY),
        new MastershipAction.Release(options.router(), TransitionReason.UNABLE));
  }

  /** Sets the priority; an increase starts the preempt delay. */
  static Transition changePriority(
      RouterOptions options, RouterState state, int priority, Timestamp now) {
    boolean isIncreased = priority > state.priority();
    return new Transition(
        state.withPriority(
            priority,
            isIncreased ? now.plus(options.preemptDelay()) : state.preemptionAllowedFrom()));
  }

  /** Applies new settings. */
  static Transition changeOptions(
      RouterOptions options, RouterState state, int priority, Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    RouterState next = changePriority(options, state, priority, now).state();
    if (state.role() == Role.ACTIVE) {
      // Advertises at once: with a longer interval, the active down timers of peers that still
      // use the old interval could expire before the next advertisement.
      next =
          next.withActiveInterval(options.advertisementInterval())
              .withAdvertisement(now, now.plus(options.advertisementInterval()));
      actions.add(new MastershipAction.Advertise(options, priority));
    } else if (state.role() == Role.BACKUP) {
      Timestamp expiry =
          now.plus(activeDownInterval(next.withActiveInterval(options.advertisementInterval())));
      next =
          next.withActiveInterval(options.advertisementInterval())
              .withTimerExpiry(
                  state.timerExpiresAt() != null && expiry.isBefore(state.timerExpiresAt())
                      ? state.timerExpiresAt()
                      : expiry);
    }
    return new Transition(next, actions);
  }

  /** The Max Advertise Interval of an advertisement as a time span. */
  static TimeSpan advertisementInterval(Advertisement advertisement) {
    return new TimeSpan(
        (long) advertisement.maxAdvertiseIntervalCentiseconds() * US_PER_CENTISECOND);
  }
}

package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The rules of one virtual router, RFC 9568 section 6.4: from where it stands and what happens, to
 * where it stands then and what is to be done. All of it is values, so that every state can be
 * explored.
 *
 * <p>Added to the RFC: an active router that was held up for as long as its peers wait for its
 * adverts steps back before it does anything else (a fence in time); a backup that was held up
 * listens anew before it claims; a take-over from a lower priority may wait for a delay; and an
 * active one that can't serve resigns and stays back for a while.
 */
final class VirtualRouter {
  /** Adverts of an active router that may be missed before a backup claims. */
  static final int MAX_MISSED_ADVERTISEMENTS = 3;

  private static final int PRIORITY_LEVELS = 256;
  private static final int US_PER_CENTISECOND = 10_000;

  /**
   * An answer to a lower claim waits for this part of the interval after an advert: a flood is not
   * answered in kind.
   */
  private static final double MIN_ASSERT_INTERVALS = 0.25;

  private VirtualRouter() {}

  /** Where it stands next, and what to do, in order. */
  record Transition(RouterState state, List<MastershipAction> actions) {
    Transition(RouterState state, MastershipAction... actions) {
      this(state, List.of(actions));
    }
  }

  /** The span that a backup adds to its wait, shorter the higher its priority. */
  static TimeSpan skewTime(RouterState state) {
    return state
        .activeInterval()
        .times((double) (PRIORITY_LEVELS - state.priority()) / PRIORITY_LEVELS);
  }

  /** How long a backup hears nothing before it claims. */
  static TimeSpan activeDownInterval(RouterState state) {
    return state.activeInterval().times(MAX_MISSED_ADVERTISEMENTS).plus(skewTime(state));
  }

  /**
   * Until when an active router may act without having advertised again: no peer of the same
   * interval claims sooner, since each waits for its skew as well, and counts from when the advert
   * came.
   */
  static Timestamp fenceTime(RouterOptions options, RouterState state) {
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

  /**
   * Startup. It listens for at least the span given before it claims, also where it owns the
   * addresses.
   */
  static Transition start(RouterOptions options, int priority, TimeSpan listen, Timestamp now) {
    RouterState state = initialState(options, priority, now);
    if (priority == Advertisement.OWNER_PRIORITY && !listen.isPositive()) {
      return becomeActive(options, state, TransitionReason.OWNER, now);
    }
    state =
        state
            .withRole(Role.BACKUP, TransitionReason.STARTED, now)
            .withPriority(priority, now.plus(options.preemptDelay()));
    return new Transition(state.withWakeAt(now.plus(listen).plus(activeDownInterval(state))));
  }

  /** Shutdown: an active one resigns, so that a peer takes over within its skew. */
  static Transition stop(
      RouterOptions options, RouterState state, TransitionReason reason, Timestamp now) {
    RouterState next = state.withRole(Role.INITIALIZE, reason, now).withWakeAt(null);
    return state.role() == Role.ACTIVE
        ? new Transition(
            next,
            new MastershipAction.Advertise(options.router(), Advertisement.RESIGNATION_PRIORITY),
            new MastershipAction.Release(options.router(), reason))
        : new Transition(next);
  }

  /** Its moment to be asked has come. */
  static Transition onTimer(RouterOptions options, RouterState state, Timestamp now) {
    if (state.role() == Role.ACTIVE) {
      return new Transition(
          state.withAdvertisement(now, now.plus(options.advertisementInterval())),
          new MastershipAction.Advertise(options.router(), state.priority()));
    }
    if (state.role() != Role.BACKUP) {
      return new Transition(state.withWakeAt(null));
    }
    // What the active one said meanwhile may lie unread: a process that was held up hears nothing,
    // and the
    // silence is its own.
    if (now.since(state.wakeAt()).compareTo(state.activeInterval()) > 0) {
      return new Transition(state.withWakeAt(now.plus(activeDownInterval(state))));
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

  /** An advert that counts has come from a peer. */
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
      // Not later than it would be without: a resigned claim proves that its sender is gone, no
      // more.
      Timestamp afterSkew = now.plus(skewTime(state));
      return new Transition(
          state.wakeAt() != null && state.wakeAt().isBefore(afterSkew)
              ? state
              : state.withWakeAt(afterSkew));
    }
    boolean takesOver =
        options.preempts()
            && advertisement.priority() < state.priority()
            && !now.isBefore(state.preemptionAllowedFrom());
    if (takesOver) {
      return new Transition(state);
    }
    RouterState next = state.withActiveInterval(advertisementInterval(advertisement));
    return new Transition(next.withWakeAt(now.plus(activeDownInterval(next))));
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
          next.withWakeAt(now.plus(activeDownInterval(next))),
          new MastershipAction.Release(options.router(), reason));
    }
    // Asserts itself against a lower claim at once, and after a resignation, for the sake of those
    // that listen.
    if (now.since(state.lastAdvertisedAt())
            .compareTo(options.advertisementInterval().times(MIN_ASSERT_INTERVALS))
        < 0) {
      return new Transition(state);
    }
    return onTimer(options, state, now);
  }

  /**
   * Was it held up for so long that a peer may have claimed? Then it steps back, and listens before
   * it claims.
   */
  static Transition fenceIfOverdue(RouterOptions options, RouterState state, Timestamp now) {
    Timestamp fence = fenceTime(options, state);
    if (fence == null || !fence.isBefore(now)) {
      return new Transition(state);
    }
    RouterState next =
        state
            .withRole(Role.BACKUP, TransitionReason.FENCED, now)
            .withActiveInterval(options.advertisementInterval());
    return new Transition(
        next.withWakeAt(now.plus(activeDownInterval(next))),
        new MastershipAction.Release(options.router(), TransitionReason.FENCED));
  }

  /**
   * It is active and can't serve: it resigns, and claims again no sooner than after the span given.
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
        next.withWakeAt(now.plus(backoff).plus(activeDownInterval(next))),
        new MastershipAction.Advertise(options.router(), Advertisement.RESIGNATION_PRIORITY),
        new MastershipAction.Release(options.router(), TransitionReason.UNABLE));
  }

  /**
   * Its priority is another from now on; one that rose waits for the delay before it takes over.
   */
  static Transition changePriority(
      RouterOptions options, RouterState state, int priority, Timestamp now) {
    boolean rose = priority > state.priority();
    return new Transition(
        state.withPriority(
            priority, rose ? now.plus(options.preemptDelay()) : state.preemptionAllowedFrom()));
  }

  /** Its terms are others from now on. */
  static Transition changeOptions(
      RouterOptions options, RouterState state, int priority, Timestamp now) {
    List<MastershipAction> actions = new ArrayList<>();
    RouterState next = changePriority(options, state, priority, now).state();
    if (state.role() == Role.ACTIVE) {
      // At once, so that peers that wait by the old interval don't claim in between.
      next =
          next.withActiveInterval(options.advertisementInterval())
              .withAdvertisement(now, now.plus(options.advertisementInterval()));
      actions.add(new MastershipAction.Advertise(options.router(), priority));
    } else if (state.role() == Role.BACKUP) {
      Timestamp wake =
          now.plus(activeDownInterval(next.withActiveInterval(options.advertisementInterval())));
      next =
          next.withActiveInterval(options.advertisementInterval())
              .withWakeAt(
                  state.wakeAt() != null && wake.isBefore(state.wakeAt()) ? state.wakeAt() : wake);
    }
    return new Transition(next, actions);
  }

  static TimeSpan advertisementInterval(Advertisement advertisement) {
    return new TimeSpan(
        (long) advertisement.maxAdvertiseIntervalCentiseconds() * US_PER_CENTISECOND);
  }
}

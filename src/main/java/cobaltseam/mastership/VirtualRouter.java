package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advert;
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
  static final int MISSED = 3;

  private static final int PRIORITIES = 256;
  private static final int US_PER_CENTISECOND = 10_000;

  /**
   * An answer to a lower claim waits for this part of the interval after an advert: a flood is not
   * answered in kind.
   */
  private static final double ASSERT_AFTER = 0.25;

  private VirtualRouter() {}

  /** Where it stands next, and what to do, in order. */
  record Change(RouterState standing, List<MastershipAction> acts) {
    Change(RouterState standing, MastershipAction... acts) {
      this(standing, List.of(acts));
    }
  }

  /** The span that a backup adds to its wait, shorter the higher its priority. */
  static TimeSpan skew(RouterState s) {
    return s.heardInterval().times((double) (PRIORITIES - s.priority()) / PRIORITIES);
  }

  /** How long a backup hears nothing before it claims. */
  static TimeSpan downInterval(RouterState s) {
    return s.heardInterval().times(MISSED).plus(skew(s));
  }

  /**
   * Until when an active router may act without having advertised again: no peer of the same
   * interval claims sooner, since each waits for its skew as well, and counts from when the advert
   * came.
   */
  static Timestamp fence(RouterOptions t, RouterState s) {
    return s.role() == Role.ACTIVE ? s.advertised().plus(t.interval().times(MISSED)) : null;
  }

  static RouterState initial(RouterOptions t, int priority, Timestamp now) {
    return new RouterState(
        Role.INITIALIZE, now, TransitionReason.STARTED, priority, t.interval(), null, null, now);
  }

  /**
   * Startup. It listens for at least the span given before it claims, also where it owns the
   * addresses.
   */
  static Change start(RouterOptions t, int priority, TimeSpan listen, Timestamp now) {
    RouterState s = initial(t, priority, now);
    if (priority == Advert.OWNER && !listen.isPositive()) {
      return claim(t, s, TransitionReason.OWNER, now);
    }
    s = s.as(Role.BACKUP, TransitionReason.STARTED, now).of(priority, now.plus(t.preemptDelay()));
    return new Change(s.wakesAt(now.plus(listen).plus(downInterval(s))));
  }

  /** Shutdown: an active one resigns, so that a peer takes over within its skew. */
  static Change stop(RouterOptions t, RouterState s, TransitionReason why, Timestamp now) {
    RouterState next = s.as(Role.INITIALIZE, why, now).wakesAt(null);
    return s.role() == Role.ACTIVE
        ? new Change(
            next,
            new MastershipAction.Advertise(t.router(), Advert.RESIGNS),
            new MastershipAction.Release(t.router(), why))
        : new Change(next);
  }

  /** Its moment to be asked has come. */
  static Change due(RouterOptions t, RouterState s, Timestamp now) {
    if (s.role() == Role.ACTIVE) {
      return new Change(
          s.advertisedAt(now, now.plus(t.interval())),
          new MastershipAction.Advertise(t.router(), s.priority()));
    }
    if (s.role() != Role.BACKUP) {
      return new Change(s.wakesAt(null));
    }
    // What the active one said meanwhile may lie unread: a process that was held up hears nothing,
    // and the
    // silence is its own.
    if (now.since(s.wake()).compareTo(s.heardInterval()) > 0) {
      return new Change(s.wakesAt(now.plus(downInterval(s))));
    }
    return claim(t, s, TransitionReason.NONE_HEARD, now);
  }

  private static Change claim(RouterOptions t, RouterState s, TransitionReason why, Timestamp now) {
    RouterState next =
        s.as(Role.ACTIVE, why, now).heard(t.interval()).advertisedAt(now, now.plus(t.interval()));
    return new Change(
        next,
        new MastershipAction.Advertise(t.router(), s.priority()),
        new MastershipAction.Acquire(t.router(), why));
  }

  /** An advert that counts has come from a peer. */
  static Change heard(
      RouterOptions t,
      RouterState s,
      InetAddress self,
      InetAddress sender,
      Advert advert,
      Timestamp now) {
    return switch (s.role()) {
      case INITIALIZE -> new Change(s);
      case BACKUP -> heardAsBackup(t, s, advert, now);
      case ACTIVE -> heardAsActive(t, s, self, sender, advert, now);
    };
  }

  private static Change heardAsBackup(
      RouterOptions t, RouterState s, Advert advert, Timestamp now) {
    if (advert.priority() == Advert.RESIGNS) {
      // Not later than it would be without: a resigned claim proves that its sender is gone, no
      // more.
      Timestamp soon = now.plus(skew(s));
      return new Change(s.wake() != null && s.wake().isBefore(soon) ? s : s.wakesAt(soon));
    }
    boolean takesOver =
        t.preempts() && advert.priority() < s.priority() && !now.isBefore(s.preemptsFrom());
    if (takesOver) {
      return new Change(s);
    }
    RouterState next = s.heard(interval(advert));
    return new Change(next.wakesAt(now.plus(downInterval(next))));
  }

  private static Change heardAsActive(
      RouterOptions t,
      RouterState s,
      InetAddress self,
      InetAddress sender,
      Advert advert,
      Timestamp now) {
    boolean higher = advert.priority() > s.priority();
    boolean tied = advert.priority() == s.priority() && Addresses.compare(sender, self) > 0;
    if (advert.priority() != Advert.RESIGNS && (higher || tied)) {
      TransitionReason why =
          higher ? TransitionReason.HIGHER_HEARD : TransitionReason.ADDRESS_HIGHER;
      RouterState next = s.as(Role.BACKUP, why, now).heard(interval(advert));
      return new Change(
          next.wakesAt(now.plus(downInterval(next))),
          new MastershipAction.Release(t.router(), why));
    }
    // Asserts itself against a lower claim at once, and after a resignation, for the sake of those
    // that listen.
    if (now.since(s.advertised()).compareTo(t.interval().times(ASSERT_AFTER)) < 0) {
      return new Change(s);
    }
    return due(t, s, now);
  }

  /**
   * Was it held up for so long that a peer may have claimed? Then it steps back, and listens before
   * it claims.
   */
  static Change fenced(RouterOptions t, RouterState s, Timestamp now) {
    Timestamp fence = fence(t, s);
    if (fence == null || !fence.isBefore(now)) {
      return new Change(s);
    }
    RouterState next = s.as(Role.BACKUP, TransitionReason.FENCED, now).heard(t.interval());
    return new Change(
        next.wakesAt(now.plus(downInterval(next))),
        new MastershipAction.Release(t.router(), TransitionReason.FENCED));
  }

  /**
   * It is active and can't serve: it resigns, and claims again no sooner than after the span given.
   */
  static Change unable(RouterOptions t, RouterState s, TimeSpan stayBack, Timestamp now) {
    if (s.role() != Role.ACTIVE) {
      return new Change(s);
    }
    RouterState next =
        s.as(Role.BACKUP, TransitionReason.UNABLE, now).of(s.priority(), now.plus(stayBack));
    return new Change(
        next.wakesAt(now.plus(stayBack).plus(downInterval(next))),
        new MastershipAction.Advertise(t.router(), Advert.RESIGNS),
        new MastershipAction.Release(t.router(), TransitionReason.UNABLE));
  }

  /**
   * Its priority is another from now on; one that rose waits for the delay before it takes over.
   */
  static Change priority(RouterOptions t, RouterState s, int priority, Timestamp now) {
    boolean rose = priority > s.priority();
    return new Change(s.of(priority, rose ? now.plus(t.preemptDelay()) : s.preemptsFrom()));
  }

  /** Its terms are others from now on. */
  static Change renewed(RouterOptions t, RouterState s, int priority, Timestamp now) {
    List<MastershipAction> acts = new ArrayList<>();
    RouterState next = priority(t, s, priority, now).standing();
    if (s.role() == Role.ACTIVE) {
      // At once, so that peers that wait by the old interval don't claim in between.
      next = next.heard(t.interval()).advertisedAt(now, now.plus(t.interval()));
      acts.add(new MastershipAction.Advertise(t.router(), priority));
    } else if (s.role() == Role.BACKUP) {
      Timestamp wake = now.plus(downInterval(next.heard(t.interval())));
      next =
          next.heard(t.interval())
              .wakesAt(s.wake() != null && wake.isBefore(s.wake()) ? s.wake() : wake);
    }
    return new Change(next, acts);
  }

  static TimeSpan interval(Advert advert) {
    return new TimeSpan((long) advert.maxAdvertiseIntervalCentiseconds() * US_PER_CENTISECOND);
  }
}

package cobaltseam.mastership;

import static cobaltseam.mastership.MastershipFixture.ADDRESSES;
import static cobaltseam.mastership.MastershipFixture.HIGHER;
import static cobaltseam.mastership.MastershipFixture.LOWER;
import static cobaltseam.mastership.MastershipFixture.MAX_ATTEMPT_DURATION;
import static cobaltseam.mastership.MastershipFixture.SECOND;
import static cobaltseam.mastership.MastershipFixture.SELF;
import static cobaltseam.mastership.MastershipFixture.START;
import static cobaltseam.mastership.MastershipFixture.advertisement;
import static cobaltseam.mastership.MastershipFixture.newMastership;
import static cobaltseam.mastership.MastershipFixture.options;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.RejectionReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests {@link Mastership} of one dispatcher with simulated time. */
class MastershipTest {
  private static final VirtualRouterId ROUTER = new VirtualRouterId(1, false);

  private Timestamp now = START;

  /** Advances the simulated time, and runs the timers as they expire. */
  private List<MastershipAction> advanceTime(Mastership mastership, double seconds) {
    Timestamp until = now.plus(SECOND.times(seconds));
    List<MastershipAction> actions = new ArrayList<>();
    while (mastership.nextTimerExpiry() != null && !until.isBefore(mastership.nextTimerExpiry())) {
      now = mastership.nextTimerExpiry();
      actions.addAll(mastership.onTimer(now));
    }
    now = until;
    return actions;
  }

  private static Role role(Mastership mastership) {
    return mastership.state(ROUTER).role();
  }

  /** Returns an advertisement of the router with this configured and this advertised priority. */
  private static MastershipAction advertise(int configuredPriority, int priority) {
    return new MastershipAction.Advertise(
        options(1, configuredPriority, true, TimeSpan.ZERO), priority);
  }

  private static List<MastershipAction> becomesActive(TransitionReason reason) {
    return List.of(advertise(100, 100), new MastershipAction.Acquire(ROUTER, reason));
  }

  private Mastership activeMastership() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    advanceTime(mastership, 4);
    assertEquals(Role.ACTIVE, role(mastership));
    return mastership;
  }

  @Test
  void becomesActiveAfterTheActiveDownInterval() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    assertEquals(List.of(), mastership.start(now));
    // Three advertisement intervals and a skew time of 156/256 of an interval.
    assertEquals(START.plus(new TimeSpan(3_609_375)), mastership.nextTimerExpiry());
    assertFalse(mastership.canAdmit(ROUTER, now));
    assertEquals(becomesActive(TransitionReason.NONE_HEARD), advanceTime(mastership, 3.7));
    assertTrue(mastership.canAdmit(ROUTER, now));
  }

  @Test
  void addressOwnerBecomesActiveAtOnceUnlessListenPeriodIsSet() {
    Mastership mastership = newMastership(options(1, 255, true, TimeSpan.ZERO));
    assertEquals(
        List.of(advertise(255, 255), new MastershipAction.Acquire(ROUTER, TransitionReason.OWNER)),
        mastership.start(now));
    Mastership withListenPeriod =
        new Mastership(
            SELF,
            List.of(options(1, 255, true, TimeSpan.ZERO)),
            Set.of(LOWER),
            0,
            SECOND,
            SECOND,
            true);
    assertEquals(List.of(), withListenPeriod.start(now));
  }

  @Test
  void backupUsesActiveRoutersIntervalAndSkewTimeAfterResignation() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    mastership.onAdvertisement(HIGHER, advertisement(200, 200), now);
    assertEquals(now.plus(new TimeSpan(2 * 3_609_375)), mastership.nextTimerExpiry());
    mastership.onAdvertisement(HIGHER, advertisement(0, 200), now);
    assertEquals(now.plus(new TimeSpan(2 * 609_375)), mastership.nextTimerExpiry());
    assertEquals(becomesActive(TransitionReason.NONE_HEARD), advanceTime(mastership, 1.3));
  }

  @Test
  void resignationNeverExtendsActiveDownTimer() {
    Mastership mastership = newMastership(options(1, 1, true, TimeSpan.ZERO));
    mastership.start(now);
    advanceTime(mastership, 3.9);
    Timestamp expiry = mastership.nextTimerExpiry();
    mastership.onAdvertisement(HIGHER, advertisement(0), now);
    assertEquals(expiry, mastership.nextTimerExpiry());
  }

  @Test
  void backupPreemptsIfEnabledAndAfterPreemptDelay() {
    for (boolean preempts : new boolean[] {true, false}) {
      Mastership mastership = newMastership(options(1, 100, preempts, TimeSpan.ZERO));
      mastership.start(now);
      for (int i = 0; i < 6; i++) {
        mastership.onAdvertisement(LOWER, advertisement(50), now);
        advanceTime(mastership, 1);
      }
      assertEquals(preempts ? Role.ACTIVE : Role.BACKUP, role(mastership));
    }
    Mastership delayed = newMastership(options(1, 100, true, SECOND.times(10)));
    delayed.start(now);
    Timestamp startedAt = now;
    while (role(delayed) == Role.BACKUP && now.since(startedAt).compareTo(SECOND.times(20)) < 0) {
      delayed.onAdvertisement(LOWER, advertisement(50), now);
      advanceTime(delayed, 1);
    }
    assertTrue(
        now.since(startedAt).compareTo(SECOND.times(10)) > 0
            && now.since(startedAt).compareTo(SECOND.times(15)) < 0,
        now.since(startedAt).toString());
  }

  @Test
  void activeRouterYieldsOnlyToHigherPriorityOrAddress() {
    Mastership mastership = activeMastership();
    assertEquals(
        List.of(advertise(100, 100)), mastership.onAdvertisement(LOWER, advertisement(100), now));
    assertEquals(Role.ACTIVE, role(mastership));
    assertEquals(
        List.of(new MastershipAction.Release(ROUTER, TransitionReason.ADDRESS_HIGHER)),
        mastership.onAdvertisement(HIGHER, advertisement(100), now));
    assertEquals(
        List.of(new MastershipAction.Release(ROUTER, TransitionReason.HIGHER_HEARD)),
        activeMastership().onAdvertisement(LOWER, advertisement(101), now));
  }

  @Test
  void activeRouterLimitsRepliesToLowerPriority() {
    Mastership mastership = activeMastership();
    advanceTime(mastership, 0.5);
    int replies = 0;
    for (int i = 0; i < 100; i++) {
      replies += mastership.onAdvertisement(LOWER, advertisement(50), now).size();
    }
    assertEquals(1, replies);
  }

  @Test
  void suspendedActiveRouterReturnsToBackupFirst() {
    Mastership mastership = activeMastership();
    Timestamp advertisedAt = mastership.state(ROUTER).lastAdvertisedAt();
    Timestamp deadline = advertisedAt.plus(SECOND.times(3));
    assertTrue(mastership.canAdmit(ROUTER, deadline));
    assertFalse(mastership.isFenceOverdue(deadline));
    Timestamp afterDeadline = deadline.plus(new TimeSpan(1));
    assertFalse(mastership.canAdmit(ROUTER, afterDeadline));
    assertTrue(mastership.isFenceOverdue(afterDeadline));
    // Every event after the suspension, including the router's own timer, fences it first.
    assertEquals(
        List.of(new MastershipAction.Release(ROUTER, TransitionReason.FENCED)),
        mastership.onTimer(afterDeadline));
    assertEquals(afterDeadline.plus(new TimeSpan(3_609_375)), mastership.nextTimerExpiry());
  }

  @Test
  void suspendedBackupRestartsActiveDownTimer() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    now = now.plus(SECOND.times(60));
    assertEquals(List.of(), mastership.onTimer(now));
    mastership.onAdvertisement(HIGHER, advertisement(200), now);
    assertEquals(List.of(), advanceTime(mastership, 3.5));
    assertEquals(Role.BACKUP, role(mastership));
  }

  @Test
  void stoppedActiveRouterResigns() {
    Mastership mastership = activeMastership();
    assertEquals(
        List.of(advertise(100, 0), new MastershipAction.Release(ROUTER, TransitionReason.ENDED)),
        mastership.stop(TransitionReason.ENDED, now));
    assertEquals(List.of(), mastership.onAdvertisement(LOWER, advertisement(1), now));
    assertEquals(List.of(), advanceTime(mastership, 60));
    assertFalse(mastership.isActive());
  }

  @Test
  void backoffDoublesWhileRouterIsUnableToServe() {
    Mastership mastership = activeMastership();
    List<Long> delays = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      assertEquals(
          new MastershipAction.Release(ROUTER, TransitionReason.UNABLE),
          mastership.onUnableToServe(ROUTER, now).get(1));
      delays.add(mastership.nextTimerExpiry().since(now).us());
      advanceTime(mastership, 100);
      assertEquals(Role.ACTIVE, role(mastership));
    }
    long activeDownUs = 3_609_375;
    assertEquals(List.of(3 * activeDownUs, 5 * activeDownUs, 9 * activeDownUs), delays);
    mastership.onServing(ROUTER);
    mastership.onUnableToServe(ROUTER, now);
    assertEquals(3 * activeDownUs, mastership.nextTimerExpiry().since(now).us());
  }

  @Test
  void reducedPriorityIsAdvertisedAndAtLeastOne() {
    Mastership mastership = activeMastership();
    mastership.setPriorityReduction(30, now);
    assertEquals(List.of(advertise(100, 70)), advanceTime(mastership, 1).subList(0, 1));
    mastership.setPriorityReduction(200, now);
    assertEquals(advertise(100, 1), advanceTime(mastership, 1).get(0));
    assertEquals(
        List.of(new MastershipAction.Release(ROUTER, TransitionReason.HIGHER_HEARD)),
        mastership.onAdvertisement(LOWER, advertisement(50), now));
    // With its priority restored the router preempts the peer within an active down interval.
    mastership.setPriorityReduction(0, now);
    for (int i = 0; i < 5; i++) {
      advanceTime(mastership, 0.95);
      mastership.onAdvertisement(LOWER, advertisement(50), now);
    }
    assertEquals(Role.ACTIVE, role(mastership));
  }

  @Test
  void reconfigurationChangesAddsAndRemovesRouters() {
    Mastership mastership = activeMastership();
    List<MastershipAction> actions =
        mastership.reconfigure(
            List.of(options(1, 180, true, TimeSpan.ZERO), options(2, 90, true, TimeSpan.ZERO)),
            Set.of(LOWER),
            3,
            now);
    assertEquals(List.of(advertise(180, 180)), actions);
    assertEquals(List.of(ROUTER, new VirtualRouterId(2, false)), mastership.routers());
    assertEquals(
        List.of(), mastership.onAdvertisement(HIGHER, advertisement(255), now), "no longer a peer");
    actions =
        mastership.reconfigure(List.of(options(2, 90, true, TimeSpan.ZERO)), Set.of(LOWER), 3, now);
    assertEquals(
        List.of(advertise(180, 0), new MastershipAction.Release(ROUTER, TransitionReason.REMOVED)),
        actions);
    assertFalse(mastership.canAdmit(ROUTER, now));
  }

  @Test
  void runsTimersOfManyRouters() {
    RouterOptions[] routers = new RouterOptions[255];
    for (int i = 0; i < routers.length; i++) {
      routers[i] = options(i + 1, 1 + i % 254, true, TimeSpan.ZERO);
    }
    Mastership mastership = newMastership(routers);
    mastership.start(now);
    assertEquals(
        255,
        advanceTime(mastership, 4.1).stream()
            .filter(a -> a instanceof MastershipAction.Acquire)
            .count());
    assertEquals(255 * 10, advanceTime(mastership, 10).size());
    // One suspension fences all routers.
    now = now.plus(SECOND.times(5));
    assertEquals(
        255,
        mastership.onTimer(now).stream()
            .filter(a -> a instanceof MastershipAction.Release)
            .count());
  }

  @Test
  void enginesAreSharedWithActivePeersAndAttemptsOfFormerlyActivePeers() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    // The attempts of a dispatcher that was active before the start may still use engines; its
    // share falls to 0.
    assertEquals(5, mastership.effectiveDispatcherCount(now), 0.001);
    assertEquals(
        4.5, mastership.effectiveDispatcherCount(now.plus(MAX_ATTEMPT_DURATION.times(0.5))), 0.001);
    assertEquals(4, mastership.effectiveDispatcherCount(now.plus(MAX_ATTEMPT_DURATION)), 0.001);
    // An active peer counts fully until its advertisement expires; then its share falls with the
    // age of this advertisement.
    mastership.onAdvertisement(LOWER, advertisement(50), now);
    assertEquals(5, mastership.effectiveDispatcherCount(now.plus(SECOND)), 0.001);
    assertEquals(
        4.5, mastership.effectiveDispatcherCount(now.plus(MAX_ATTEMPT_DURATION.times(0.5))), 0.001);
    // In a split, all active peers whose advertisements are received count.
    now = now.plus(SECOND.times(100));
    mastership.onAdvertisement(LOWER, advertisement(50), now);
    mastership.onAdvertisement(HIGHER, advertisement(60), now);
    assertEquals(6, mastership.effectiveDispatcherCount(now), 0.001);
    // The share of a peer falls from its resignation on.
    mastership.onAdvertisement(HIGHER, advertisement(0), now);
    assertEquals(5.9, mastership.effectiveDispatcherCount(now.plus(SECOND)), 0.001);
  }

  @Test
  void rejectsAdvertisementsThatDifferFromConfiguration() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    assertEquals(
        RejectionReason.UNKNOWN_ROUTER,
        mastership.rejectionReason(new Advertisement(9, 1, 100, ADDRESSES)).orElseThrow());
    assertEquals(
        RejectionReason.ADDRESSES_DIFFER,
        mastership.rejectionReason(new Advertisement(1, 1, 100, List.of(SELF))).orElseThrow());
    assertTrue(mastership.rejectionReason(advertisement(1, 200)).isEmpty());
    Mastership strict =
        new Mastership(
            SELF,
            List.of(options(1, 100, true, TimeSpan.ZERO)),
            Set.of(LOWER),
            0,
            SECOND,
            TimeSpan.ZERO,
            false);
    assertEquals(
        RejectionReason.INTERVAL_DIFFERS,
        strict.rejectionReason(advertisement(1, 200)).orElseThrow());
  }
}

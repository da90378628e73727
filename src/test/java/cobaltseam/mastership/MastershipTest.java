package cobaltseam.mastership;

import static cobaltseam.mastership.MastershipFixture.ADDRESSES;
import static cobaltseam.mastership.MastershipFixture.HIGHER;
import static cobaltseam.mastership.MastershipFixture.LOWER;
import static cobaltseam.mastership.MastershipFixture.MAX_ATTEMPT_DURATION;
import static cobaltseam.mastership.MastershipFixture.SECOND;
import static cobaltseam.mastership.MastershipFixture.SELF;
import static cobaltseam.mastership.MastershipFixture.START;
import static cobaltseam.mastership.MastershipFixture.advert;
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

/** {@link Mastership} of one dispatcher, in time that the tests control. */
class MastershipTest {
  private static final VirtualRouterId ROUTER = new VirtualRouterId(1, false);

  private Timestamp now = START;

  /** Lets time pass, and runs the timers as they expire. */
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

  private static List<MastershipAction> becomesActive(TransitionReason reason) {
    return List.of(
        new MastershipAction.Advertise(ROUTER, 100), new MastershipAction.Acquire(ROUTER, reason));
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
    // Three intervals and a skew of 156/256 of one.
    assertEquals(START.plus(new TimeSpan(3_609_375)), mastership.nextTimerExpiry());
    assertFalse(mastership.canAdmit(ROUTER, now));
    assertEquals(becomesActive(TransitionReason.NONE_HEARD), advanceTime(mastership, 3.7));
    assertTrue(mastership.canAdmit(ROUTER, now));
  }

  @Test
  void anAddressOwnerBecomesActiveAtOnceButNotBeforeTheListenPeriod() {
    Mastership mastership = newMastership(options(1, 255, true, TimeSpan.ZERO));
    assertEquals(
        List.of(
            new MastershipAction.Advertise(ROUTER, 255),
            new MastershipAction.Acquire(ROUTER, TransitionReason.OWNER)),
        mastership.start(now));
    Mastership listens =
        new Mastership(
            SELF,
            List.of(options(1, 255, true, TimeSpan.ZERO)),
            Set.of(LOWER),
            0,
            SECOND,
            SECOND,
            true);
    assertEquals(List.of(), listens.start(now));
  }

  @Test
  void aBackupUsesTheIntervalOfTheActiveRouterAndItsSkewTimeAfterAResignation() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    mastership.onAdvertisement(HIGHER, advert(200, 200), now);
    assertEquals(now.plus(new TimeSpan(2 * 3_609_375)), mastership.nextTimerExpiry());
    mastership.onAdvertisement(HIGHER, advert(0, 200), now);
    assertEquals(now.plus(new TimeSpan(2 * 609_375)), mastership.nextTimerExpiry());
    assertEquals(becomesActive(TransitionReason.NONE_HEARD), advanceTime(mastership, 1.3));
  }

  @Test
  void aResignationNeverDelaysBecomingActive() {
    Mastership mastership = newMastership(options(1, 1, true, TimeSpan.ZERO));
    mastership.start(now);
    advanceTime(mastership, 3.9);
    Timestamp before = mastership.nextTimerExpiry();
    mastership.onAdvertisement(HIGHER, advert(0), now);
    assertEquals(before, mastership.nextTimerExpiry());
  }

  @Test
  void preemptionIsOnOffOrDelayed() {
    for (boolean preempts : new boolean[] {true, false}) {
      Mastership mastership = newMastership(options(1, 100, preempts, TimeSpan.ZERO));
      mastership.start(now);
      for (int i = 0; i < 6; i++) {
        mastership.onAdvertisement(LOWER, advert(50), now);
        advanceTime(mastership, 1);
      }
      assertEquals(preempts ? Role.ACTIVE : Role.BACKUP, role(mastership));
    }
    Mastership delayed = newMastership(options(1, 100, true, SECOND.times(10)));
    delayed.start(now);
    Timestamp from = now;
    while (role(delayed) == Role.BACKUP && now.since(from).compareTo(SECOND.times(20)) < 0) {
      delayed.onAdvertisement(LOWER, advert(50), now);
      advanceTime(delayed, 1);
    }
    assertTrue(
        now.since(from).compareTo(SECOND.times(10)) > 0
            && now.since(from).compareTo(SECOND.times(15)) < 0,
        now.since(from).toString());
  }

  @Test
  void anActiveRouterYieldsOnlyToAHigherPriorityOrAddress() {
    Mastership mastership = activeMastership();
    assertEquals(
        List.of(new MastershipAction.Advertise(ROUTER, 100)),
        mastership.onAdvertisement(LOWER, advert(100), now));
    assertEquals(Role.ACTIVE, role(mastership));
    assertEquals(
        List.of(new MastershipAction.Release(ROUTER, TransitionReason.ADDRESS_HIGHER)),
        mastership.onAdvertisement(HIGHER, advert(100), now));
    assertEquals(
        List.of(new MastershipAction.Release(ROUTER, TransitionReason.HIGHER_HEARD)),
        activeMastership().onAdvertisement(LOWER, advert(101), now));
  }

  @Test
  void aLowerPriorityIsAnsweredButAFloodIsNot() {
    Mastership mastership = activeMastership();
    advanceTime(mastership, 0.5);
    int answers = 0;
    for (int i = 0; i < 100; i++) {
      answers += mastership.onAdvertisement(LOWER, advert(50), now).size();
    }
    assertEquals(1, answers);
  }

  @Test
  void afterAPauseAnActiveRouterStepsBackFirst() {
    Mastership mastership = activeMastership();
    Timestamp advertised = mastership.state(ROUTER).lastAdvertisedAt();
    Timestamp last = advertised.plus(SECOND.times(3));
    assertTrue(mastership.canAdmit(ROUTER, last));
    assertFalse(mastership.isFenceOverdue(last));
    Timestamp after = last.plus(new TimeSpan(1));
    assertFalse(mastership.canAdmit(ROUTER, after));
    assertTrue(mastership.isFenceOverdue(after));
    // What comes first after the gap, its own alarm included, finds it stepping back.
    assertEquals(
        List.of(new MastershipAction.Release(ROUTER, TransitionReason.FENCED)),
        mastership.onTimer(after));
    assertEquals(after.plus(new TimeSpan(3_609_375)), mastership.nextTimerExpiry());
  }

  @Test
  void afterAPauseABackupListensAgainBeforeItBecomesActive() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    now = now.plus(SECOND.times(60));
    assertEquals(List.of(), mastership.onTimer(now));
    mastership.onAdvertisement(HIGHER, advert(200), now);
    assertEquals(List.of(), advanceTime(mastership, 3.5));
    assertEquals(Role.BACKUP, role(mastership));
  }

  @Test
  void aStoppedRouterResigns() {
    Mastership mastership = activeMastership();
    assertEquals(
        List.of(
            new MastershipAction.Advertise(ROUTER, 0),
            new MastershipAction.Release(ROUTER, TransitionReason.ENDED)),
        mastership.stop(TransitionReason.ENDED, now));
    assertEquals(List.of(), mastership.onAdvertisement(LOWER, advert(1), now));
    assertEquals(List.of(), advanceTime(mastership, 60));
    assertFalse(mastership.isActive());
  }

  @Test
  void aRouterThatCantServeDoublesItsBackoff() {
    Mastership mastership = activeMastership();
    List<Long> waits = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      assertEquals(
          new MastershipAction.Release(ROUTER, TransitionReason.UNABLE),
          mastership.onUnableToServe(ROUTER, now).get(1));
      waits.add(mastership.nextTimerExpiry().since(now).us());
      advanceTime(mastership, 100);
      assertEquals(Role.ACTIVE, role(mastership));
    }
    long down = 3_609_375;
    assertEquals(List.of(3 * down, 5 * down, 9 * down), waits);
    mastership.onServing(ROUTER);
    mastership.onUnableToServe(ROUTER, now);
    assertEquals(3 * down, mastership.nextTimerExpiry().since(now).us());
  }

  @Test
  void aReducedPriorityIsAdvertisedAndNeverBelowOne() {
    Mastership mastership = activeMastership();
    mastership.setPriorityReduction(30, now);
    assertEquals(
        List.of(new MastershipAction.Advertise(ROUTER, 70)),
        advanceTime(mastership, 1).subList(0, 1));
    mastership.setPriorityReduction(200, now);
    assertEquals(new MastershipAction.Advertise(ROUTER, 1), advanceTime(mastership, 1).get(0));
    assertEquals(
        List.of(new MastershipAction.Release(ROUTER, TransitionReason.HIGHER_HEARD)),
        mastership.onAdvertisement(LOWER, advert(50), now));
    // Well again: it takes over once more, in a down interval.
    mastership.setPriorityReduction(0, now);
    for (int i = 0; i < 5; i++) {
      advanceTime(mastership, 0.95);
      mastership.onAdvertisement(LOWER, advert(50), now);
    }
    assertEquals(Role.ACTIVE, role(mastership));
  }

  @Test
  void newSettingsApplyAtOnceAndRoutersAreAddedAndRemoved() {
    Mastership mastership = activeMastership();
    List<MastershipAction> actions =
        mastership.reconfigure(
            List.of(options(1, 180, true, TimeSpan.ZERO), options(2, 90, true, TimeSpan.ZERO)),
            Set.of(LOWER),
            3,
            now);
    assertEquals(List.of(new MastershipAction.Advertise(ROUTER, 180)), actions);
    assertEquals(List.of(ROUTER, new VirtualRouterId(2, false)), mastership.routers());
    assertEquals(
        List.of(), mastership.onAdvertisement(HIGHER, advert(255), now), "no peer any more");
    actions =
        mastership.reconfigure(List.of(options(2, 90, true, TimeSpan.ZERO)), Set.of(LOWER), 3, now);
    assertEquals(
        List.of(
            new MastershipAction.Advertise(ROUTER, 0),
            new MastershipAction.Release(ROUTER, TransitionReason.REMOVED)),
        actions);
    assertFalse(mastership.canAdmit(ROUTER, now));
  }

  @Test
  void timersOfManyRoutersRunInTime() {
    RouterOptions[] all = new RouterOptions[255];
    for (int i = 0; i < all.length; i++) {
      all[i] = options(i + 1, 1 + i % 254, true, TimeSpan.ZERO);
    }
    Mastership mastership = newMastership(all);
    mastership.start(now);
    assertEquals(
        255,
        advanceTime(mastership, 4.1).stream()
            .filter(a -> a instanceof MastershipAction.Acquire)
            .count());
    assertEquals(255 * 10, advanceTime(mastership, 10).size());
    // All are fenced by one gap.
    now = now.plus(SECOND.times(5));
    assertEquals(
        255,
        mastership.onTimer(now).stream()
            .filter(a -> a instanceof MastershipAction.Release)
            .count());
  }

  @Test
  void enginesAreSharedWithActivePeersAndAttemptsOfFormerOnes() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    // One that was there before the start may have left sends, and fades.
    assertEquals(5, mastership.effectiveDispatcherCount(now), 0.001);
    assertEquals(
        4.5, mastership.effectiveDispatcherCount(now.plus(MAX_ATTEMPT_DURATION.times(0.5))), 0.001);
    assertEquals(4, mastership.effectiveDispatcherCount(now.plus(MAX_ATTEMPT_DURATION)), 0.001);
    // An active peer counts fully while its claim is valid, then fades from its last advertisement.
    mastership.onAdvertisement(LOWER, advert(50), now);
    assertEquals(5, mastership.effectiveDispatcherCount(now.plus(SECOND)), 0.001);
    assertEquals(
        4.5, mastership.effectiveDispatcherCount(now.plus(MAX_ATTEMPT_DURATION.times(0.5))), 0.001);
    // In a split, both claimants that are received count for as long as it lasts.
    now = now.plus(SECOND.times(100));
    mastership.onAdvertisement(LOWER, advert(50), now);
    mastership.onAdvertisement(HIGHER, advert(60), now);
    assertEquals(6, mastership.effectiveDispatcherCount(now), 0.001);
    // A resignation fades at once.
    mastership.onAdvertisement(HIGHER, advert(0), now);
    assertEquals(5.9, mastership.effectiveDispatcherCount(now.plus(SECOND)), 0.001);
  }

  @Test
  void advertisementsThatDifferFromTheSettingsAreRejected() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    assertEquals(
        RejectionReason.UNKNOWN_ROUTER,
        mastership.rejectionReason(new Advertisement(9, 1, 100, ADDRESSES)).orElseThrow());
    assertEquals(
        RejectionReason.ADDRESSES_DIFFER,
        mastership.rejectionReason(new Advertisement(1, 1, 100, List.of(SELF))).orElseThrow());
    assertTrue(mastership.rejectionReason(advert(1, 200)).isEmpty());
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
        RejectionReason.INTERVAL_DIFFERS, strict.rejectionReason(advert(1, 200)).orElseThrow());
  }
}

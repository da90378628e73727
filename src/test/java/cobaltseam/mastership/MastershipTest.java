package cobaltseam.mastership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.authentication.KeyRing;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.HealthScore.HealthSignal;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementAuthenticator;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import cobaltseam.vrrp.RejectionReason;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Mastership of one dispatcher in time that the tests set. */
class MastershipTest {
  private static final TimeSpan SECOND = new TimeSpan(1_000_000);
  private static final TimeSpan LONGEST_SEND = SECOND.times(10);
  private static final Timestamp START = new Timestamp(1_000_000_000_000L);
  private static final InetAddress SELF = ip("10.0.0.5");
  private static final InetAddress LOWER = ip("10.0.0.4");
  private static final InetAddress HIGHER = ip("10.0.0.6");
  private static final List<InetAddress> ADDRESSES = List.of(ip("192.0.2.10"));
  private static final VirtualRouterId R1 = new VirtualRouterId(1, false);

  private Timestamp now = START;

  private static InetAddress ip(String text) {
    return Addresses.read(text).orElseThrow();
  }

  private static RouterOptions terms(int router, int priority, boolean preempts, TimeSpan delay) {
    return new RouterOptions(
        new VirtualRouterId(router, false), priority, SECOND, preempts, delay, ADDRESSES);
  }

  private static Mastership of(RouterOptions... terms) {
    return new Mastership(
        SELF, List.of(terms), Set.of(LOWER, HIGHER), 3, LONGEST_SEND, TimeSpan.ZERO, true);
  }

  private static Advertisement advert(int priority) {
    return advert(priority, 100);
  }

  private static Advertisement advert(int priority, int centiseconds) {
    return new Advertisement(1, priority, centiseconds, ADDRESSES);
  }

  /** Lets time pass, asking whenever it wants to be asked. */
  private List<MastershipAction> pass(Mastership m, double seconds) {
    Timestamp until = now.plus(SECOND.times(seconds));
    List<MastershipAction> acts = new ArrayList<>();
    while (m.nextWake() != null && !until.isBefore(m.nextWake())) {
      now = m.nextWake();
      acts.addAll(m.onTimer(now));
    }
    now = until;
    return acts;
  }

  private static Role role(Mastership m) {
    return m.state(R1).role();
  }

  private static List<MastershipAction> taken(TransitionReason why) {
    return List.of(new MastershipAction.Advertise(R1, 100), new MastershipAction.Acquire(R1, why));
  }

  private Mastership active() {
    Mastership m = of(terms(1, 100, true, TimeSpan.ZERO));
    m.start(now);
    pass(m, 4);
    assertEquals(Role.ACTIVE, role(m));
    return m;
  }

  @Test
  void claimsAfterTheDownIntervalOfSilence() {
    Mastership m = of(terms(1, 100, true, TimeSpan.ZERO));
    assertEquals(List.of(), m.start(now));
    // Three intervals and a skew of 156/256 of one.
    assertEquals(START.plus(new TimeSpan(3_609_375)), m.nextWake());
    assertFalse(m.canAdmit(R1, now));
    assertEquals(taken(TransitionReason.NONE_HEARD), pass(m, 3.7));
    assertTrue(m.canAdmit(R1, now));
  }

  @Test
  void anOwnerClaimsAtOnceButNotBeforeItHasListened() {
    Mastership m = of(terms(1, 255, true, TimeSpan.ZERO));
    assertEquals(
        List.of(
            new MastershipAction.Advertise(R1, 255),
            new MastershipAction.Acquire(R1, TransitionReason.OWNER)),
        m.start(now));
    Mastership listens =
        new Mastership(
            SELF,
            List.of(terms(1, 255, true, TimeSpan.ZERO)),
            Set.of(LOWER),
            0,
            SECOND,
            SECOND,
            true);
    assertEquals(List.of(), listens.start(now));
  }

  @Test
  void aBackupFollowsTheIntervalOfTheAdvertAndAnotherResignation() {
    Mastership m = of(terms(1, 100, true, TimeSpan.ZERO));
    m.start(now);
    m.onAdvertisement(HIGHER, advert(200, 200), now);
    assertEquals(now.plus(new TimeSpan(2 * 3_609_375)), m.nextWake());
    m.onAdvertisement(HIGHER, advert(0, 200), now);
    assertEquals(now.plus(new TimeSpan(2 * 609_375)), m.nextWake());
    assertEquals(taken(TransitionReason.NONE_HEARD), pass(m, 1.3));
  }

  @Test
  void aResignationNeverPutsAClaimOff() {
    Mastership m = of(terms(1, 1, true, TimeSpan.ZERO));
    m.start(now);
    pass(m, 3.9);
    Timestamp before = m.nextWake();
    m.onAdvertisement(HIGHER, advert(0), now);
    assertEquals(before, m.nextWake());
  }

  @Test
  void preemptionIsOnOffOrDelayed() {
    for (boolean preempts : new boolean[] {true, false}) {
      Mastership m = of(terms(1, 100, preempts, TimeSpan.ZERO));
      m.start(now);
      for (int i = 0; i < 6; i++) {
        m.onAdvertisement(LOWER, advert(50), now);
        pass(m, 1);
      }
      assertEquals(preempts ? Role.ACTIVE : Role.BACKUP, role(m));
    }
    Mastership delayed = of(terms(1, 100, true, SECOND.times(10)));
    delayed.start(now);
    Timestamp from = now;
    while (role(delayed) == Role.BACKUP && now.since(from).compareTo(SECOND.times(20)) < 0) {
      delayed.onAdvertisement(LOWER, advert(50), now);
      pass(delayed, 1);
    }
    assertTrue(
        now.since(from).compareTo(SECOND.times(10)) > 0
            && now.since(from).compareTo(SECOND.times(15)) < 0,
        now.since(from).toString());
  }

  @Test
  void anActiveOneYieldsToAHigherPriorityOrAddressOnly() {
    Mastership m = active();
    assertEquals(
        List.of(new MastershipAction.Advertise(R1, 100)),
        m.onAdvertisement(LOWER, advert(100), now));
    assertEquals(Role.ACTIVE, role(m));
    assertEquals(
        List.of(new MastershipAction.Release(R1, TransitionReason.ADDRESS_HIGHER)),
        m.onAdvertisement(HIGHER, advert(100), now));
    assertEquals(
        List.of(new MastershipAction.Release(R1, TransitionReason.HIGHER_HEARD)),
        active().onAdvertisement(LOWER, advert(101), now));
  }

  @Test
  void aLowerClaimIsAnsweredButAFloodOfThemIsNot() {
    Mastership m = active();
    pass(m, 0.5);
    int answers = 0;
    for (int i = 0; i < 100; i++) {
      answers += m.onAdvertisement(LOWER, advert(50), now).size();
    }
    assertEquals(1, answers);
  }

  @Test
  void afterAGapItStepsBackBeforeAnythingElse() {
    Mastership m = active();
    Timestamp advertised = m.state(R1).lastAdvertisedAt();
    Timestamp last = advertised.plus(SECOND.times(3));
    assertTrue(m.canAdmit(R1, last));
    assertFalse(m.isFenceOverdue(last));
    Timestamp after = last.plus(new TimeSpan(1));
    assertFalse(m.canAdmit(R1, after));
    assertTrue(m.isFenceOverdue(after));
    // What comes first after the gap, its own alarm included, finds it stepping back.
    assertEquals(
        List.of(new MastershipAction.Release(R1, TransitionReason.FENCED)), m.onTimer(after));
    assertEquals(after.plus(new TimeSpan(3_609_375)), m.nextWake());
  }

  @Test
  void aBackupThatWasHeldUpListensAnewBeforeItClaims() {
    Mastership m = of(terms(1, 100, true, TimeSpan.ZERO));
    m.start(now);
    now = now.plus(SECOND.times(60));
    assertEquals(List.of(), m.onTimer(now));
    m.onAdvertisement(HIGHER, advert(200), now);
    assertEquals(List.of(), pass(m, 3.5));
    assertEquals(Role.BACKUP, role(m));
  }

  @Test
  void anEndedOneResigns() {
    Mastership m = active();
    assertEquals(
        List.of(
            new MastershipAction.Advertise(R1, 0),
            new MastershipAction.Release(R1, TransitionReason.ENDED)),
        m.stop(TransitionReason.ENDED, now));
    assertEquals(List.of(), m.onAdvertisement(LOWER, advert(1), now));
    assertEquals(List.of(), pass(m, 60));
    assertFalse(m.isActive());
  }

  @Test
  void oneThatCantServeStaysBackTwiceAsLongEachTime() {
    Mastership m = active();
    List<Long> waits = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      assertEquals(
          new MastershipAction.Release(R1, TransitionReason.UNABLE),
          m.onUnableToServe(R1, now).get(1));
      waits.add(m.nextWake().since(now).us());
      pass(m, 100);
      assertEquals(Role.ACTIVE, role(m));
    }
    long down = 3_609_375;
    assertEquals(List.of(3 * down, 5 * down, 9 * down), waits);
    m.onServing(R1);
    m.onUnableToServe(R1, now);
    assertEquals(3 * down, m.nextWake().since(now).us());
  }

  @Test
  void aLessFitOneAdvertisesALowerPriorityNeverBelowOne() {
    Mastership m = active();
    m.reducePriority(30, now);
    assertEquals(List.of(new MastershipAction.Advertise(R1, 70)), pass(m, 1).subList(0, 1));
    m.reducePriority(200, now);
    assertEquals(new MastershipAction.Advertise(R1, 1), pass(m, 1).get(0));
    assertEquals(
        List.of(new MastershipAction.Release(R1, TransitionReason.HIGHER_HEARD)),
        m.onAdvertisement(LOWER, advert(50), now));
    // Well again: it takes over once more, in a down interval.
    m.reducePriority(0, now);
    for (int i = 0; i < 5; i++) {
      pass(m, 0.95);
      m.onAdvertisement(LOWER, advert(50), now);
    }
    assertEquals(Role.ACTIVE, role(m));
  }

  @Test
  void newTermsHoldAtOnceAndRoutersComeAndGo() {
    Mastership m = active();
    List<MastershipAction> acts =
        m.reconfigure(
            List.of(terms(1, 180, true, TimeSpan.ZERO), terms(2, 90, true, TimeSpan.ZERO)),
            Set.of(LOWER),
            3,
            now);
    assertEquals(List.of(new MastershipAction.Advertise(R1, 180)), acts);
    assertEquals(List.of(R1, new VirtualRouterId(2, false)), m.routers());
    assertEquals(List.of(), m.onAdvertisement(HIGHER, advert(255), now), "no peer any more");
    acts = m.reconfigure(List.of(terms(2, 90, true, TimeSpan.ZERO)), Set.of(LOWER), 3, now);
    assertEquals(
        List.of(
            new MastershipAction.Advertise(R1, 0),
            new MastershipAction.Release(R1, TransitionReason.REMOVED)),
        acts);
    assertFalse(m.canAdmit(R1, now));
  }

  @Test
  void manyRoutersAreEachAskedInTheirTime() {
    RouterOptions[] all = new RouterOptions[255];
    for (int i = 0; i < all.length; i++) {
      all[i] = terms(i + 1, 1 + i % 254, true, TimeSpan.ZERO);
    }
    Mastership m = of(all);
    m.start(now);
    assertEquals(
        255, pass(m, 4.1).stream().filter(a -> a instanceof MastershipAction.Acquire).count());
    assertEquals(255 * 10, pass(m, 10).size());
    // All are fenced by one gap.
    now = now.plus(SECOND.times(5));
    assertEquals(
        255, m.onTimer(now).stream().filter(a -> a instanceof MastershipAction.Release).count());
  }

  @Test
  void enginesAreSharedWithWhoIsHeardAndWithWhatAFormerOneLeft() {
    Mastership m = of(terms(1, 100, true, TimeSpan.ZERO));
    m.start(now);
    // One that was there before the start may have left sends, and fades.
    assertEquals(5, m.effectiveDispatcherCount(now), 0.001);
    assertEquals(4.5, m.effectiveDispatcherCount(now.plus(LONGEST_SEND.times(0.5))), 0.001);
    assertEquals(4, m.effectiveDispatcherCount(now.plus(LONGEST_SEND)), 0.001);
    // Heard as active: whole while it is heard, then fading from its last advert on.
    m.onAdvertisement(LOWER, advert(50), now);
    assertEquals(5, m.effectiveDispatcherCount(now.plus(SECOND)), 0.001);
    assertEquals(4.5, m.effectiveDispatcherCount(now.plus(LONGEST_SEND.times(0.5))), 0.001);
    // In a split that is heard, both count for as long as it lasts.
    now = now.plus(SECOND.times(100));
    m.onAdvertisement(LOWER, advert(50), now);
    m.onAdvertisement(HIGHER, advert(60), now);
    assertEquals(6, m.effectiveDispatcherCount(now), 0.001);
    // A resignation fades at once.
    m.onAdvertisement(HIGHER, advert(0), now);
    assertEquals(5.9, m.effectiveDispatcherCount(now.plus(SECOND)), 0.001);
  }

  @Test
  void differingAddressesRoutersAndIntervalsAreRefused() {
    Mastership m = of(terms(1, 100, true, TimeSpan.ZERO));
    m.start(now);
    assertEquals(
        RejectionReason.UNKNOWN_ROUTER,
        m.rejectionReason(new Advertisement(9, 1, 100, ADDRESSES)).orElseThrow());
    assertEquals(
        RejectionReason.ADDRESSES_DIFFER,
        m.rejectionReason(new Advertisement(1, 1, 100, List.of(SELF))).orElseThrow());
    assertTrue(m.rejectionReason(advert(1, 200)).isEmpty());
    Mastership strict =
        new Mastership(
            SELF,
            List.of(terms(1, 100, true, TimeSpan.ZERO)),
            Set.of(LOWER),
            0,
            SECOND,
            TimeSpan.ZERO,
            false);
    assertEquals(
        RejectionReason.INTERVAL_DIFFERS, strict.rejectionReason(advert(1, 200)).orElseThrow());
  }

  // ---- who may say so

  private static final KeyRing KEYS =
      KeyRing.read("1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16));
  private static final TimeSpan DIFFERENCE = SECOND.times(0.5);

  private byte[] sealed(Timestamp sent, KeyRing keys, int key) {
    return AdvertisementAuthenticator.sign(
        AdvertisementCodec.encode(advert(200), LOWER, SELF, ChecksumCoverage.MESSAGE),
        LOWER,
        SELF,
        keys,
        key,
        sent.us());
  }

  @Test
  void forgedReplayedAndStaleAdvertsNeverCount() {
    Mastership m = of(terms(1, 100, true, TimeSpan.ZERO));
    m.start(now);
    AdvertisementFilter intake =
        new AdvertisementFilter(SELF, m, new ReplayGuard(START, DIFFERENCE), Set.of(LOWER), KEYS);
    byte[] recorded = sealed(START.plus(DIFFERENCE), KEYS, 1);
    now = START.plus(SECOND);
    assertEquals(
        RejectionReason.STALE,
        intake.evaluate(recorded, LOWER, SELF, now).rejection(),
        "sent before the start, by its clock");
    byte[] good = sealed(now, KEYS, 1);
    assertEquals(200, intake.evaluate(good, LOWER, SELF, now).advertisement().priority());
    assertEquals(RejectionReason.REPLAYED, intake.evaluate(good, LOWER, SELF, now).rejection());
    assertEquals(
        RejectionReason.REPLAYED,
        intake.evaluate(sealed(now.minus(new TimeSpan(1)), KEYS, 1), LOWER, SELF, now).rejection());
    byte[] late = sealed(now.plus(new TimeSpan(1)), KEYS, 2);
    now = now.plus(SECOND.times(2));
    assertEquals(RejectionReason.STALE, intake.evaluate(late, LOWER, SELF, now).rejection());
    assertEquals(
        RejectionReason.EARLY,
        intake.evaluate(sealed(now.plus(SECOND), KEYS, 1), LOWER, SELF, now).rejection());
    assertEquals(
        RejectionReason.FORGED,
        intake
            .evaluate(sealed(now, KeyRing.read("1 " + "00".repeat(16)), 1), LOWER, SELF, now)
            .rejection());
    assertEquals(
        RejectionReason.KEY_UNKNOWN,
        intake
            .evaluate(sealed(now, KeyRing.read("3 " + "00".repeat(16)), 3), LOWER, SELF, now)
            .rejection());
    assertEquals(
        RejectionReason.UNSEALED,
        intake
            .evaluate(
                AdvertisementCodec.encode(advert(200), LOWER, SELF, ChecksumCoverage.MESSAGE),
                LOWER,
                SELF,
                now)
            .rejection());
    assertEquals(
        RejectionReason.UNKNOWN_SENDER, intake.evaluate(good, HIGHER, SELF, now).rejection());
    assertEquals(RejectionReason.OUR_OWN, intake.evaluate(good, SELF, SELF, now).rejection());
    assertEquals(1, intake.acceptedCount());
    assertEquals(2, intake.rejectedCount(RejectionReason.REPLAYED));
    // After a restart of the receiver what was taken before is not taken again.
    ReplayGuard restarted = new ReplayGuard(now, DIFFERENCE);
    AdvertisementFilter again = new AdvertisementFilter(SELF, m, restarted, Set.of(LOWER), KEYS);
    assertEquals(RejectionReason.STALE, again.evaluate(good, LOWER, SELF, now).rejection());
    // A change of keys: the new one counts once it is there, the old one as long as it is.
    again.reconfigure(Set.of(LOWER), KeyRing.read("2 " + "cd".repeat(16)));
    now = now.plus(SECOND.times(2));
    assertEquals(
        RejectionReason.KEY_UNKNOWN,
        again.evaluate(sealed(now, KEYS, 1), LOWER, SELF, now).rejection());
    assertEquals(
        200, again.evaluate(sealed(now, KEYS, 2), LOWER, SELF, now).advertisement().priority());
  }

  @Test
  void withoutSealsEitherChecksumCountsAndIsCounted() {
    Mastership m = of(terms(1, 100, true, TimeSpan.ZERO));
    m.start(now);
    AdvertisementFilter intake =
        new AdvertisementFilter(
            SELF, m, new ReplayGuard(START, TimeSpan.ZERO), Set.of(LOWER), null);
    for (ChecksumCoverage covers : ChecksumCoverage.values()) {
      assertEquals(
          200,
          intake
              .evaluate(
                  AdvertisementCodec.encode(advert(200), LOWER, SELF, covers), LOWER, SELF, now)
              .advertisement()
              .priority());
      assertEquals(1, intake.acceptedCountWith(covers));
    }
  }

  // ---- fitness

  @Test
  void aFlappingSignDoesNotFlapThePriority() {
    Map<HealthSignal, HealthScore.SignalBounds> bounds = new EnumMap<>(HealthSignal.class);
    bounds.put(HealthSignal.LATE, new HealthScore.SignalBounds(0.5, 0.2, 30));
    HealthScore fitness =
        new HealthScore(new HealthScore.HealthScoreOptions(bounds, SECOND, SECOND.times(5), 5));
    int changes = 0;
    int last = 0;
    int counted = 0;
    // Two seconds bad, eight seconds well, for an hour: undamped that would be 720 changes.
    for (int tenth = 0; tenth < 36_000; tenth++) {
      int steps =
          fitness.update(
              Map.of(HealthSignal.LATE, tenth % 100 < 20 ? 1.0 : 0.0),
              START.plus(SECOND.times(tenth / 10.0)));
      changes += steps != last ? 1 : 0;
      counted += steps > 0 ? 1 : 0;
      last = steps;
    }
    assertTrue(changes <= 5, changes + " changes");
    assertTrue(counted > 30_000, "counted in " + counted + " of 36000 looks");
    assertEquals(List.of(HealthSignal.LATE), fitness.countedSignals());
    // Between the bounds it stays as it is; well for long enough it ends.
    Timestamp later = START.plus(SECOND.times(4000));
    fitness.update(Map.of(HealthSignal.LATE, 0.0), later);
    assertEquals(0, fitness.update(Map.of(HealthSignal.LATE, 0.0), later.plus(SECOND.times(160))));
    assertEquals(0, fitness.update(Map.of(HealthSignal.LATE, 0.4), later.plus(SECOND.times(170))));
    assertEquals(0, fitness.update(Map.of(HealthSignal.LATE, 0.6), later.plus(SECOND.times(171))));
    assertEquals(30, fitness.update(Map.of(HealthSignal.LATE, 0.6), later.plus(SECOND.times(172))));
    assertEquals(30, fitness.update(Map.of(HealthSignal.LATE, 0.4), later.plus(SECOND.times(999))));
  }

  @Test
  void anObserverTellsSilencesAndSplits() {
    ActiveRouterObserver observer = new ActiveRouterObserver();
    assertEquals(List.of(LOWER), observer.onAdvertisement(LOWER, advert(50), now).get(0).active());
    assertEquals(List.of(), observer.onAdvertisement(LOWER, advert(50), now));
    assertEquals(
        List.of(LOWER, HIGHER), observer.onAdvertisement(HIGHER, advert(60), now).get(0).active());
    assertEquals(List.of(HIGHER), observer.onAdvertisement(LOWER, advert(0), now).get(0).active());
    assertEquals(List.of(), observer.expireClaims(now.plus(SECOND)));
    assertEquals(now.plus(SECOND.times(4)), observer.nextExpiry());
    assertEquals(List.of(), observer.expireClaims(observer.nextExpiry()).get(0).active());
  }
}

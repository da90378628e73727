package cobaltseam.mastership;

import static cobaltseam.mastership.MastershipFixture.HIGHER;
import static cobaltseam.mastership.MastershipFixture.LOWER;
import static cobaltseam.mastership.MastershipFixture.SECOND;
import static cobaltseam.mastership.MastershipFixture.SELF;
import static cobaltseam.mastership.MastershipFixture.START;
import static cobaltseam.mastership.MastershipFixture.advertisement;
import static cobaltseam.mastership.MastershipFixture.newMastership;
import static cobaltseam.mastership.MastershipFixture.options;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cobaltseam.authentication.KeyRing;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.AdvertisementAuthenticator;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import cobaltseam.vrrp.RejectionReason;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Datagrams that are accepted or rejected as advertisements, with and without authentication. */
class AdvertisementFilterTest {
  private static final KeyRing KEYS =
      KeyRing.parse("1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16));
  private static final TimeSpan MAX_CLOCK_DIFFERENCE = SECOND.times(0.5);

  private static byte[] signed(Timestamp sentAt, KeyRing keys, int keyId) {
    return AdvertisementAuthenticator.sign(
        AdvertisementCodec.encode(advertisement(200), LOWER, SELF, ChecksumCoverage.MESSAGE),
        LOWER,
        SELF,
        keys,
        keyId,
        sentAt.us());
  }

  private Timestamp now = START;

  @Test
  void rejectsForgedReplayedAndStaleAdvertisements() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    AdvertisementFilter filter =
        new AdvertisementFilter(
            SELF, mastership, new ReplayGuard(START, MAX_CLOCK_DIFFERENCE), Set.of(LOWER), KEYS);
    byte[] recorded = signed(START.plus(MAX_CLOCK_DIFFERENCE), KEYS, 1);
    now = START.plus(SECOND);
    assertEquals(
        RejectionReason.STALE,
        filter.evaluate(recorded, LOWER, SELF, now).rejection(),
        "sent before the start, given the maximum clock difference");
    byte[] valid = signed(now, KEYS, 1);
    assertEquals(200, filter.evaluate(valid, LOWER, SELF, now).advertisement().priority());
    assertEquals(RejectionReason.REPLAYED, filter.evaluate(valid, LOWER, SELF, now).rejection());
    assertEquals(
        RejectionReason.REPLAYED,
        filter.evaluate(signed(now.minus(new TimeSpan(1)), KEYS, 1), LOWER, SELF, now).rejection());
    byte[] delayed = signed(now.plus(new TimeSpan(1)), KEYS, 2);
    now = now.plus(SECOND.times(2));
    assertEquals(RejectionReason.STALE, filter.evaluate(delayed, LOWER, SELF, now).rejection());
    assertEquals(
        RejectionReason.EARLY,
        filter.evaluate(signed(now.plus(SECOND), KEYS, 1), LOWER, SELF, now).rejection());
    assertEquals(
        RejectionReason.FORGED,
        filter
            .evaluate(signed(now, KeyRing.parse("1 " + "00".repeat(16)), 1), LOWER, SELF, now)
            .rejection());
    assertEquals(
        RejectionReason.KEY_UNKNOWN,
        filter
            .evaluate(signed(now, KeyRing.parse("3 " + "00".repeat(16)), 3), LOWER, SELF, now)
            .rejection());
    assertEquals(
        RejectionReason.UNSEALED,
        filter
            .evaluate(
                AdvertisementCodec.encode(
                    advertisement(200), LOWER, SELF, ChecksumCoverage.MESSAGE),
                LOWER,
                SELF,
                now)
            .rejection());
    assertEquals(
        RejectionReason.UNKNOWN_SENDER, filter.evaluate(valid, HIGHER, SELF, now).rejection());
    assertEquals(RejectionReason.OUR_OWN, filter.evaluate(valid, SELF, SELF, now).rejection());
    assertEquals(1, filter.acceptedCount());
    assertEquals(2, filter.rejectedCount(RejectionReason.REPLAYED));
  }

  @Test
  void rejectsOldAdvertisementsAfterRestartAndRotatesKeys() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    AdvertisementFilter beforeRestart =
        new AdvertisementFilter(
            SELF, mastership, new ReplayGuard(START, MAX_CLOCK_DIFFERENCE), Set.of(LOWER), KEYS);
    now = START.plus(SECOND);
    byte[] valid = signed(now, KEYS, 1);
    assertEquals(200, beforeRestart.evaluate(valid, LOWER, SELF, now).advertisement().priority());
    now = now.plus(SECOND.times(2));
    // A restarted receiver rejects an advertisement that it accepted before the restart.
    ReplayGuard newReplayGuard = new ReplayGuard(now, MAX_CLOCK_DIFFERENCE);
    AdvertisementFilter afterRestart =
        new AdvertisementFilter(SELF, mastership, newReplayGuard, Set.of(LOWER), KEYS);
    assertEquals(RejectionReason.STALE, afterRestart.evaluate(valid, LOWER, SELF, now).rejection());
    // Advertisements that are signed with a removed key are rejected.
    afterRestart.reconfigure(Set.of(LOWER), KeyRing.parse("2 " + "cd".repeat(16)));
    now = now.plus(SECOND.times(2));
    assertEquals(
        RejectionReason.KEY_UNKNOWN,
        afterRestart.evaluate(signed(now, KEYS, 1), LOWER, SELF, now).rejection());
    assertEquals(
        200,
        afterRestart.evaluate(signed(now, KEYS, 2), LOWER, SELF, now).advertisement().priority());
  }

  @Test
  void acceptsAndCountsEitherChecksumCoverageWithoutAuthentication() {
    Mastership mastership = newMastership(options(1, 100, true, TimeSpan.ZERO));
    mastership.start(now);
    AdvertisementFilter filter =
        new AdvertisementFilter(
            SELF, mastership, new ReplayGuard(START, TimeSpan.ZERO), Set.of(LOWER), null);
    for (ChecksumCoverage coverage : ChecksumCoverage.values()) {
      assertEquals(
          200,
          filter
              .evaluate(
                  AdvertisementCodec.encode(advertisement(200), LOWER, SELF, coverage),
                  LOWER,
                  SELF,
                  now)
              .advertisement()
              .priority());
      assertEquals(1, filter.acceptedCountWith(coverage));
    }
  }
}

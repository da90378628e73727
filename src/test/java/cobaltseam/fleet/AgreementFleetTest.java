package cobaltseam.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.agreement.ActiveConfiguration;
import cobaltseam.agreement.ActiveConfiguration.Mode;
import cobaltseam.agreement.ConfigurationAgreement;
import cobaltseam.fleet.Fault.Kind;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A document on which a fleet agrees, in virtual time on the real modules: one seed, one history.
 */
class AgreementFleetTest {
  private static final double FORMED = 30;
  private static final double T = FleetAgreementCommand.OPTIONS.maxContradiction().us() / 1e6;

  private static VirtualFleet fleet(int processes, long seed, Fault... troubles) {
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(processes), List.of(troubles), seed);
    fleet.enableAgreement(
        FleetAgreementCommand.OPTIONS, FleetAgreementCommand.CLOCK_RATE_DIFFERENCE);
    fleet.run(FORMED - 0.01);
    for (int i = 0; i < processes; i++) {
      assertEquals(Mode.PLAIN, fleet.configuration(i).mode(), "formed, all act on a first edition");
    }
    return fleet;
  }

  private static Fault trouble(Kind kind, double length, Integer... who) {
    return new Fault(kind, FORMED, length, List.of(who), List.of(), 1);
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static void acts(VirtualFleet fleet, int process, long number, String content) {
    ActiveConfiguration acting = fleet.configuration(process);
    assertEquals(Mode.PLAIN, acting.mode(), "process " + process);
    assertEquals(number, acting.newest().number());
    assertEquals(ConfigurationAgreement.hash(text(content)), acting.newest().hash());
  }

  private static void kept(VirtualFleet fleet) {
    ActivationRecord.Contradiction longest =
        ActivationRecord.longestContradiction(fleet.activations(), Set.of(), fleet.now());
    assertTrue(longest.seconds() <= T, longest.toString());
    assertEquals(List.of(), ActivationRecord.versionConflicts(fleet.activations()));
  }

  @Test
  void aProposalIsActedOnByAllWithinARoundTripOrTwo() {
    VirtualFleet fleet = fleet(10, 1);
    assertNull(fleet.propose(7, text("rule a"), 1));
    fleet.run(FORMED + 0.3);
    for (int i = 0; i < 10; i++) {
      acts(fleet, i, 2, "rule a");
    }
    assertNotNull(fleet.propose(3, text("rule b"), 1), "over another edition than it expects");
    assertNotNull(fleet.propose(3, text("rule a"), -1), "nothing new");
    assertNotNull(fleet.propose(3, text("no"), -1), "it can't be acted on");
    kept(fleet);
  }

  @Test
  void ofTwoAtOnceOneComesFirst() {
    for (int seed = 0; seed < 20; seed++) {
      VirtualFleet fleet = fleet(5, seed);
      assertNull(fleet.propose(1, text("rule a"), 1));
      assertNull(fleet.propose(4, text("rule b"), 1));
      fleet.run(FORMED + 10);
      long second = fleet.configuration(0).newest().number();
      assertEquals(2, second, "seed " + seed + ": the other is void, not a third");
      assertTrue(
          fleet.eventCounts().getOrDefault("came_second", 0) > 0, fleet.eventCounts().toString());
      kept(fleet);
    }
  }

  @Test
  void whoIsCutOffStepsBackBeforeTheOthersAct() {
    VirtualFleet fleet = fleet(5, 2, trouble(Kind.CUT, 60, 3, 4));
    fleet.run(FORMED + 0.01);
    fleet.propose(0, text("rule a"), -1);
    fleet.run(FORMED + T + 0.01);
    assertEquals(Mode.FALLBACK, fleet.configuration(3).mode());
    assertEquals(
        1,
        fleet.configuration(3).newest().number(),
        "it holds the old one, and reads it cautiously");
    fleet.run(FORMED + 25);
    acts(fleet, 0, 2, "rule a");
    assertNotNull(fleet.propose(4, text("rule b"), -1), "no majority is heard there");
    fleet.run(FORMED + 120);
    acts(fleet, 3, 2, "rule a");
    kept(fleet);
  }

  @Test
  void whoStoodStillLooksBeforeItActs() {
    for (double pause : new double[] {0.5, 2, 10}) {
      VirtualFleet fleet = fleet(5, 3, trouble(Kind.PAUSE, pause, 2));
      fleet.run(FORMED + 0.05);
      fleet.propose(0, text("rule a"), -1);
      fleet.run(FORMED + 60);
      acts(fleet, 2, 2, "rule a");
      kept(fleet);
    }
  }

  @Test
  void theProposerIsKilledAtEachStep() {
    for (int ms = 0; ms < 30; ms++) {
      VirtualFleet fleet =
          fleet(5, ms, new Fault(Kind.KILL, FORMED + ms / 1000.0, 5, List.of(4), List.of(), 1));
      fleet.propose(4, text("rule a"), -1);
      fleet.run(FORMED + 30);
      assertNull(fleet.propose(0, text("rule b"), -1), "killed after " + ms + " ms");
      fleet.run(FORMED + 40);
      for (int i = 0; i < 5; i++) {
        acts(fleet, i, fleet.configuration(0).newest().number(), "rule b");
      }
      kept(fleet);
    }
  }

  @Test
  void aChosenDocumentOutlivesThoseThatProposedIt() {
    // Before votes hung on the document, its proposer and another that had it ended, and the rest
    // held an edition of nothing.
    FleetOptions common = new FleetOptions();
    common.seconds = 60;
    assertEquals(List.of(), FleetAgreementCommand.playSeed(common, 3, 1012).violations());
  }

  @Test
  void aLeaseThatEndsWhileSomethingElseWaitsIsSeenAtOnce() {
    // Cut off with a successor accepted, its lease could not be asked for again, and its end was
    // passed over by up to an eighth of it.
    FleetOptions common = new FleetOptions();
    common.seconds = 60;
    common.folders = true;
    assertEquals(0, FleetAgreementCommand.playSeed(common, 3, 5944).longest().seconds());
  }

  @Test
  void drawnScriptsBreakNothing() {
    for (long seed = 1; seed <= 60; seed++) {
      for (boolean folders : new boolean[] {false, true}) {
        VirtualFleet.Plan plan = VirtualFleet.Plan.of(folders ? 4 : 7);
        FleetAgreementCommand.RunResult verdict =
            FleetAgreementCommand.play(
                folders ? plan.withFolders() : plan,
                Fault.generate(plan.processes(), 60, 4, seed),
                60,
                3,
                seed);
        assertEquals(List.of(), verdict.violations(), "seed " + seed);
      }
    }
  }

  @Test
  void clocksFurtherApartThanStatedAndNoWaitForLeasesAreFound() {
    // Mutants of the rule: clocks at half and at one and a half the rate under a bound of 0.1%, and
    // a wait of no length.
    ConfigurationAgreement.AgreementOptions noWait =
        new ConfigurationAgreement.AgreementOptions(
            FleetAgreementCommand.OPTIONS.maxContradiction(), -0.5, 1 << 20);
    assertTrue(longest(FleetAgreementCommand.OPTIONS, 1) > 0, "clocks");
    assertTrue(longest(noWait, 0) > 0, "no wait");
    assertEquals(
        0, longest(FleetAgreementCommand.OPTIONS, FleetAgreementCommand.CLOCK_RATE_DIFFERENCE));
  }

  /** Members cut off at many moments around a proposal: the longest contradiction of all. */
  private static double longest(ConfigurationAgreement.AgreementOptions terms, double clocks) {
    double longest = 0;
    for (int seed = 0; seed < 40; seed++) {
      VirtualFleet fleet =
          new VirtualFleet(VirtualFleet.Plan.of(5), List.of(trouble(Kind.CUT, 20, 3, 4)), seed);
      fleet.enableAgreement(terms, clocks);
      fleet.run(FORMED + 0.01);
      fleet.propose(0, text("rule a"), -1);
      fleet.run(FORMED + 20);
      longest =
          Math.max(
              longest,
              ActivationRecord.longestContradiction(fleet.activations(), Set.of(), fleet.now())
                  .seconds());
    }
    return longest;
  }
}

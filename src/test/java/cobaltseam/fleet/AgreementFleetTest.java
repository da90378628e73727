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

/** Runs fleets in virtual time on the production code that agree on a document. */
class AgreementFleetTest {
  private static final double FORMED_AT_S = 30;
  private static final double MAX_CONTRADICTION_S =
      FleetAgreementCommand.OPTIONS.maxContradiction().us() / 1e6;

  private static VirtualFleet fleet(int processes, long seed, Fault... faults) {
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(processes), List.of(faults), seed);
    fleet.enableAgreement(
        FleetAgreementCommand.OPTIONS, FleetAgreementCommand.CLOCK_RATE_DIFFERENCE);
    fleet.run(FORMED_AT_S - 0.01);
    for (int i = 0; i < processes; i++) {
      assertEquals(Mode.PLAIN, fleet.configuration(i).mode(), "all act on a first version");
    }
    return fleet;
  }

  private static Fault fault(Kind kind, double lengthS, Integer... processIndices) {
    return new Fault(kind, FORMED_AT_S, lengthS, List.of(processIndices), List.of(), 1);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static void assertActsOn(VirtualFleet fleet, int process, long number, String content) {
    ActiveConfiguration active = fleet.configuration(process);
    assertEquals(Mode.PLAIN, active.mode(), "process " + process);
    assertEquals(number, active.newest().number());
    assertEquals(ConfigurationAgreement.hash(bytes(content)), active.newest().hash());
  }

  private static void assertNoContradiction(VirtualFleet fleet) {
    ActivationRecord.Contradiction longest =
        ActivationRecord.longestContradiction(fleet.activations(), Set.of(), fleet.now());
    assertTrue(longest.seconds() <= MAX_CONTRADICTION_S, longest.toString());
    assertEquals(List.of(), ActivationRecord.versionConflicts(fleet.activations()));
  }

  @Test
  void proposalIsActivatedByAllWithinTwoRoundTrips() {
    VirtualFleet fleet = fleet(10, 1);
    assertNull(fleet.propose(7, bytes("rule a"), 1));
    fleet.run(FORMED_AT_S + 0.3);
    for (int i = 0; i < 10; i++) {
      assertActsOn(fleet, i, 2, "rule a");
    }
    assertNotNull(
        fleet.propose(3, bytes("rule b"), 1), "the version differs from the expected one");
    assertNotNull(fleet.propose(3, bytes("rule a"), -1), "the document is unchanged");
    assertNotNull(fleet.propose(3, bytes("no"), -1), "the document can't be activated");
    assertNoContradiction(fleet);
  }

  @Test
  void oneOfTwoConcurrentProposalsIsChosen() {
    for (int seed = 0; seed < 20; seed++) {
      VirtualFleet fleet = fleet(5, seed);
      assertNull(fleet.propose(1, bytes("rule a"), 1));
      assertNull(fleet.propose(4, bytes("rule b"), 1));
      fleet.run(FORMED_AT_S + 10);
      long number = fleet.configuration(0).newest().number();
      assertEquals(
          2,
          number,
          "seed " + seed + ": the other proposal is void instead of becoming a third version");
      assertTrue(
          fleet.eventCounts().getOrDefault("came_second", 0) > 0, fleet.eventCounts().toString());
      assertNoContradiction(fleet);
    }
  }

  @Test
  void memberInMinorityPartitionFallsBackBeforeTheMajorityActivates() {
    VirtualFleet fleet = fleet(5, 2, fault(Kind.CUT, 60, 3, 4));
    fleet.run(FORMED_AT_S + 0.01);
    fleet.propose(0, bytes("rule a"), -1);
    fleet.run(FORMED_AT_S + MAX_CONTRADICTION_S + 0.01);
    assertEquals(Mode.FALLBACK, fleet.configuration(3).mode());
    assertEquals(
        1,
        fleet.configuration(3).newest().number(),
        "it acts on a conservative form of the old version");
    fleet.run(FORMED_AT_S + 25);
    assertActsOn(fleet, 0, 2, "rule a");
    assertNotNull(fleet.propose(4, bytes("rule b"), -1), "the proposer reaches no majority");
    fleet.run(FORMED_AT_S + 120);
    assertActsOn(fleet, 3, 2, "rule a");
    assertNoContradiction(fleet);
  }

  @Test
  void resumedProcessConfirmsItsVersionBeforeActing() {
    for (double pause : new double[] {0.5, 2, 10}) {
      VirtualFleet fleet = fleet(5, 3, fault(Kind.PAUSE, pause, 2));
      fleet.run(FORMED_AT_S + 0.05);
      fleet.propose(0, bytes("rule a"), -1);
      fleet.run(FORMED_AT_S + 60);
      assertActsOn(fleet, 2, 2, "rule a");
      assertNoContradiction(fleet);
    }
  }

  @Test
  void killedProposerNeverBlocksLaterProposals() {
    for (int ms = 0; ms < 30; ms++) {
      VirtualFleet fleet =
          fleet(
              5, ms, new Fault(Kind.KILL, FORMED_AT_S + ms / 1000.0, 5, List.of(4), List.of(), 1));
      fleet.propose(4, bytes("rule a"), -1);
      fleet.run(FORMED_AT_S + 30);
      assertNull(fleet.propose(0, bytes("rule b"), -1), "killed after " + ms + " ms");
      fleet.run(FORMED_AT_S + 40);
      for (int i = 0; i < 5; i++) {
        assertActsOn(fleet, i, fleet.configuration(0).newest().number(), "rule b");
      }
      assertNoContradiction(fleet);
    }
  }

  @Test
  void chosenDocumentOutlivesItsProposers() {
    // A member may only vote for a version whose document it has. Otherwise the proposer and
    // another member with the document can end and leave a chosen version without a document.
    FleetOptions common = new FleetOptions();
    common.seconds = 60;
    assertEquals(List.of(), FleetAgreementCommand.playSeed(common, 3, 1012).violations());
  }

  @Test
  void leaseExpiryIsDetectedWhileAnotherTimerIsPending() {
    // A partitioned member that has accepted a successor can't request its lease again. The expiry
    // of the lease must not be detected late, by up to an eighth of its duration.
    FleetOptions common = new FleetOptions();
    common.seconds = 60;
    common.folders = true;
    assertEquals(0, FleetAgreementCommand.playSeed(common, 3, 5944).longest().seconds());
  }

  @Test
  void randomScriptsViolateNoInvariant() {
    for (long seed = 1; seed <= 60; seed++) {
      for (boolean folders : new boolean[] {false, true}) {
        VirtualFleet.Plan plan = VirtualFleet.Plan.of(folders ? 4 : 7);
        FleetAgreementCommand.RunResult result =
            FleetAgreementCommand.play(
                folders ? plan.withFolders() : plan,
                Fault.generate(plan.processes(), 60, 4, seed),
                60,
                3,
                seed);
        assertEquals(List.of(), result.violations(), "seed " + seed);
      }
    }
  }

  @Test
  void randomScriptsWithFullFoldersViolateNoInvariant() {
    for (long seed = 2_000; seed < 2_060; seed++) {
      List<Fault> faults = Fault.withFullFolders(Fault.generate(4, 60, 4, seed), 4, 60, seed);
      FleetAgreementCommand.RunResult result =
          FleetAgreementCommand.play(VirtualFleet.Plan.of(4).withFolders(), faults, 110, 3, seed);
      assertEquals(List.of(), result.violations(), "seed " + seed);
    }
  }

  @Test
  void excessiveClockDriftAndMissingLeaseWaitAreDetected() {
    // Two mutants: clocks at 0.5 to 1.5 times the rate under a stated bound of 0.1%, and no wait
    // for leases to expire.
    ConfigurationAgreement.AgreementOptions noWait =
        new ConfigurationAgreement.AgreementOptions(
            FleetAgreementCommand.OPTIONS.maxContradiction(), -0.5, 1 << 20);
    assertTrue(longestContradictionS(FleetAgreementCommand.OPTIONS, 1) > 0, "clock drift");
    assertTrue(longestContradictionS(noWait, 0) > 0, "no wait for leases");
    assertEquals(
        0,
        longestContradictionS(
            FleetAgreementCommand.OPTIONS, FleetAgreementCommand.CLOCK_RATE_DIFFERENCE));
  }

  /** The longest contradiction over partitions at many times around a proposal. */
  private static double longestContradictionS(
      ConfigurationAgreement.AgreementOptions options, double clockRateDifference) {
    double longest = 0;
    for (int seed = 0; seed < 40; seed++) {
      VirtualFleet fleet =
          new VirtualFleet(VirtualFleet.Plan.of(5), List.of(fault(Kind.CUT, 20, 3, 4)), seed);
      fleet.enableAgreement(options, clockRateDifference);
      fleet.run(FORMED_AT_S + 0.01);
      fleet.propose(0, bytes("rule a"), -1);
      fleet.run(FORMED_AT_S + 20);
      longest =
          Math.max(
              longest,
              ActivationRecord.longestContradiction(fleet.activations(), Set.of(), fleet.now())
                  .seconds());
    }
    return longest;
  }
}

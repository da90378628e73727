package cobaltseam.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.fleet.Fault.Kind;
import cobaltseam.membership.QuorumState;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The hard cases in virtual time, on the real membership: one seed, one history. */
class VirtualFleetTest {
  private static final double FORMED = 30;

  private static Fault trouble(Kind kind, double length, double size, Integer... who) {
    return new Fault(kind, FORMED, length, List.of(who), List.of(), size);
  }

  private static VirtualFleet fleet(int processes, long seed, Fault... troubles) {
    return new VirtualFleet(VirtualFleet.Plan.of(processes), List.of(troubles), seed);
  }

  private static Integer[] first(int number) {
    return IntStream.range(0, number).boxed().toArray(Integer[]::new);
  }

  /** The number of the last view of a process. */
  private static long number(VirtualFleet fleet, int process) {
    return fleet.view(process).id().number();
  }

  private static void kept(VirtualFleet fleet, double until) {
    fleet.run(until);
    assertTrue(fleet.isSettled(), "not one view of the living by " + until + " s");
    assertEquals(List.of(), InvariantChecker.check(fleet.recordedEvents(), fleet.live(), true));
  }

  @Test
  void aHundredThatJoinWithinASecondIntoALossOfThirtyInAHundredBecomeOne() {
    VirtualFleet fleet = fleet(100, 1, new Fault(Kind.LOSS, 0, FORMED, List.of(), List.of(), 0.3));
    kept(fleet, 90);
    assertTrue(number(fleet, 0) <= 8, "in few views: " + number(fleet, 0));
  }

  @Test
  void aFleetOfOneAndOfTwo() {
    kept(fleet(1, 1), FORMED);
    kept(fleet(2, 1, trouble(Kind.KILL, 10, 1, 1)), FORMED + 60);
  }

  @Test
  void pausesThatAreBorneTakeNobodyOut() {
    for (int seed = 0; seed < 20; seed++) {
      // One, a third, and all but one of nine, one after the other.
      VirtualFleet fleet =
          fleet(
              9,
              seed,
              trouble(Kind.PAUSE, 2, 1, seed % 9),
              new Fault(Kind.PAUSE, 50, 2, List.of(0, 1, 2), List.of(), 1),
              new Fault(Kind.PAUSE, 70, 2, List.of(0, 1, 2, 3, 4, 5, 6, 7), List.of(), 1));
      fleet.run(FORMED - 1);
      long before = number(fleet, 0);
      kept(fleet, 100);
      assertEquals(before, number(fleet, 0), "seed " + seed);
    }
  }

  @Test
  void whoeverStoodStillKnowsItBeforeItActsOnItsOldView() {
    VirtualFleet fleet = fleet(5, 3, trouble(Kind.PAUSE, 20, 1, 2));
    fleet.run(FORMED + 19.9);
    assertEquals(4, fleet.view(0).members().size(), "taken out while it stood");
    assertEquals(5, fleet.view(2).members().size());
    fleet.run(FORMED + 20.0001);
    assertTrue(
        fleet.quorumState(2) != QuorumState.MAJORITY,
        "at its first moment it is " + fleet.quorumState(2));
    kept(fleet, FORMED + 60);
  }

  @Test
  void aThirdKilledAtOnceIsOneChangeOfView() {
    for (int seed = 0; seed < 10; seed++) {
      VirtualFleet fleet =
          fleet(30, seed, trouble(Kind.GONE, 1, 1, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29));
      fleet.run(FORMED - 0.1);
      long before = number(fleet, 0);
      kept(fleet, FORMED + 20);
      assertEquals(before + 1, number(fleet, 0), "seed " + seed);
    }
  }

  @Test
  void aMinorityKnowsThatItIsOneAndTheMajorityGoesOn() {
    for (int cut = 1; cut <= 4; cut++) {
      VirtualFleet fleet = fleet(9, cut, trouble(Kind.CUT, 40, 1, first(cut)));
      fleet.run(FORMED + 8);
      for (int i = 0; i < cut; i++) {
        assertEquals(QuorumState.MINORITY, fleet.quorumState(i), cut + " cut off, process " + i);
      }
      assertEquals(QuorumState.MAJORITY, fleet.quorumState(8));
      fleet.run(FORMED + 20);
      assertEquals(9 - cut, fleet.view(8).members().size());
      assertEquals(9, fleet.view(0).members().size(), "a minority installs nothing");
      kept(fleet, FORMED + 100);
    }
  }

  @Test
  void fewCutOffFromAHundredKnowItSoon() {
    for (int cut : new int[] {1, 2, 5, 20}) {
      Integer[] who = IntStream.range(40, 40 + cut).boxed().toArray(Integer[]::new);
      VirtualFleet fleet = fleet(100, 5, trouble(Kind.CUT, 60, 1, who));
      fleet.run(FORMED + 25);
      for (int i : who) {
        assertEquals(QuorumState.MINORITY, fleet.quorumState(i), cut + " cut off");
      }
    }
  }

  @Test
  void aSplitInThreeWithoutAnyMajorityChangesNothingAndHeals() {
    VirtualFleet fleet =
        fleet(9, 2, trouble(Kind.CUT, 30, 1, 0, 1, 2), trouble(Kind.CUT, 30, 1, 3, 4, 5));
    fleet.run(FORMED - 0.1);
    long before = number(fleet, 0);
    fleet.run(FORMED + 29);
    for (int i = 0; i < 9; i++) {
      assertEquals(before, number(fleet, i));
      assertEquals(QuorumState.MINORITY, fleet.quorumState(i));
    }
    kept(fleet, FORMED + 90);
    assertEquals(before, number(fleet, 0), "all came back: nobody had to be taken out");
  }

  @Test
  void oneSidedCutsOfOneLinkAndOfARingTakeNobodyOut() {
    Integer[] ring = first(7);
    for (Fault t :
        List.of(
            new Fault(Kind.ONE_WAY, FORMED, 60, List.of(1), List.of(4), 1),
            trouble(Kind.RING, 60, 1, ring))) {
      VirtualFleet fleet = fleet(7, 4, t);
      fleet.run(FORMED - 0.1);
      long before = number(fleet, 0);
      kept(fleet, FORMED + 59);
      assertEquals(before, number(fleet, 0), t.kind() + " is bridged by the others");
    }
  }

  @Test
  void oneThatIsDeafOrMuteIsTakenOutOnceByEveryone() {
    Fault mute = trouble(Kind.ONE_WAY, 120, 1, 3);
    Fault deaf = trouble(Kind.LOSS_IN, 120, 1, 3);
    for (Fault t : List.of(mute, deaf)) {
      VirtualFleet fleet = fleet(7, 6, t);
      fleet.run(FORMED - 0.1);
      long before = number(fleet, 0);
      fleet.run(FORMED + 119);
      assertEquals(before + 1, number(fleet, 0), t.kind() + ": one change of view in two minutes");
      assertEquals(6, fleet.view(0).members().size());
      assertTrue(
          fleet.quorumState(3) != QuorumState.MAJORITY, "and it knows: " + fleet.quorumState(3));
      kept(fleet, FORMED + 300);
    }
  }

  @Test
  void halvesThatHearOneWayChangeNothing() {
    VirtualFleet fleet = fleet(8, 7, trouble(Kind.ONE_WAY, 40, 1, 0, 1, 2, 3));
    fleet.run(FORMED - 0.1);
    long before = number(fleet, 0);
    fleet.run(FORMED + 39);
    IntStream.range(0, 8)
        .forEach(i -> assertEquals(before, number(fleet, i), "no half is a majority"));
    kept(fleet, FORMED + 120);
  }

  @Test
  void killedAndStartedFasterThanDetectionItIsAnotherProcess() {
    VirtualFleet fleet = fleet(5, 8, trouble(Kind.KILL, 0.3, 1, 2));
    fleet.run(FORMED - 0.1);
    long birth = fleet.view(0).members().get(2).incarnation().value();
    kept(fleet, FORMED + 30);
    assertTrue(fleet.view(0).members().get(2).incarnation().value() > birth);
  }

  @Test
  void theOneThatProposesIsKilledInTheMiddleOfAChange() {
    for (int seed = 0; seed < 60; seed++) {
      // Whoever comes first proposes: with the whole first third killed 3 to 6 s after another,
      // some change is under way.
      VirtualFleet fleet =
          fleet(
              9,
              seed,
              trouble(Kind.GONE, 1, 1, 8),
              new Fault(
                  Kind.KILL,
                  FORMED + 3 + seed * 0.05,
                  20,
                  List.of(seed % 3, 3 + seed % 3),
                  List.of(),
                  1));
      kept(fleet, FORMED + 90);
    }
  }

  @Test
  void allStartAnewOneByOneWhileALinkIsCut() {
    Fault[] troubles = new Fault[6];
    for (int i = 0; i < 5; i++) {
      troubles[i] =
          new Fault(
              i % 2 == 0 ? Kind.TERM : Kind.KILL, FORMED + i * 15, 3, List.of(i), List.of(), 1);
    }
    troubles[5] = new Fault(Kind.CUT, FORMED, 75, List.of(1), List.of(3), 1);
    VirtualFleet fleet = fleet(5, 9, troubles);
    kept(fleet, FORMED + 120);
    assertFalse(fleet.lostMajority());
  }

  @Test
  void withoutAMajorityOfProcessesThatRememberNobodyInstallsAnything() {
    // Three of five start anew at once, a founder stays away: the two left are a minority until an
    // operator decides.
    VirtualFleet fleet = fleet(5, 10, trouble(Kind.KILL, 2, 1, 1, 2), trouble(Kind.GONE, 1, 1, 0));
    fleet.run(FORMED - 0.1);
    long before = number(fleet, 4);
    fleet.run(FORMED + 120);
    assertEquals(before, number(fleet, 4));
    assertEquals(QuorumState.MINORITY, fleet.quorumState(4));
    assertEquals(QuorumState.NONE, fleet.quorumState(1), "what it was forgot what it promised");
    assertEquals(List.of(), InvariantChecker.check(fleet.recordedEvents(), fleet.live(), false));
  }

  @Test
  void allKilledAtOnceFoundANewLine() {
    VirtualFleet fleet = fleet(5, 11, trouble(Kind.KILL, 2, 1, first(5)));
    fleet.run(FORMED - 0.1);
    long line = fleet.view(0).id().lineage();
    kept(fleet, FORMED + 60);
    assertTrue(fleet.view(0).id().lineage() > line);
  }

  private static VirtualFleet withFolders(int processes, long seed, Fault... troubles) {
    return new VirtualFleet(VirtualFleet.Plan.of(processes).withFolders(), List.of(troubles), seed);
  }

  @Test
  void withFoldersAllKilledAtOnceGoOnInTheirLine() {
    for (int seed = 0; seed < 10; seed++) {
      VirtualFleet fleet = withFolders(5, seed, trouble(Kind.KILL, 2, 1, first(5)));
      fleet.run(FORMED - 0.1);
      View before = fleet.view(0);
      kept(fleet, FORMED + 60);
      assertEquals(before, fleet.view(0), "the same members in the same view");
    }
  }

  @Test
  void withAFolderOneThatRestartsFasterThanDetectionChangesNothing() {
    VirtualFleet fleet = withFolders(5, 8, trouble(Kind.KILL, 0.3, 1, 2));
    fleet.run(FORMED - 0.1);
    View before = fleet.view(0);
    fleet.run(FORMED + 0.3001);
    assertEquals(
        QuorumState.UNCONFIRMED,
        fleet.quorumState(2),
        "it may have an old folder: it hears a majority first");
    kept(fleet, FORMED + 30);
    assertEquals(before, fleet.view(0));
  }

  @Test
  void halfTheFoldersLostAMajorityOfThoseThatRememberGoesOn() {
    VirtualFleet fleet =
        withFolders(5, 3, trouble(Kind.KILL, 2, 1, 0, 1, 2), trouble(Kind.LOSE, 2, 1, 3, 4));
    fleet.run(FORMED - 0.1);
    long line = fleet.view(0).id().lineage();
    kept(fleet, FORMED + 60);
    assertEquals(line, fleet.view(0).id().lineage());
    assertEquals(5, fleet.view(0).members().size());
  }

  @Test
  void aFolderCopiedBackMakesAnotherMemberAndNoVoteOfTheFormerOne() {
    // Process 2 is taken out and comes back between the copy and the kill, so that its copy is of
    // an older view.
    VirtualFleet fleet =
        withFolders(
            5,
            4,
            new Fault(Kind.PAUSE, 40, 15, List.of(2), List.of(), 1),
            new Fault(Kind.STALE, 80, 1, List.of(2), List.of(), 1));
    fleet.run(79.9);
    long birth = fleet.view(0).members().get(2).incarnation().value();
    kept(fleet, 140);
    assertTrue(fleet.view(0).members().get(2).incarnation().value() > birth);
    assertTrue(fleet.eventCounts().get("folder_old") > 0, fleet.eventCounts().toString());
  }

  @Test
  void aMajorityLostInStepsFoundsAnewOnceItsEndIsSeen() {
    // Of five, two are cut off and taken out, one that is mute is, then one of the last two
    // forgets: the last one sees the line end.
    for (int seed = 0; seed < 10; seed++) {
      VirtualFleet fleet =
          fleet(
              5,
              seed,
              trouble(Kind.CUT, 60, 1, 0, 1),
              new Fault(Kind.ONE_WAY, FORMED + 20, 40, List.of(2), List.of(), 1),
              new Fault(Kind.KILL, FORMED + 50, 1, List.of(3), List.of(), 1));
      fleet.run(FORMED + 49.9);
      assertEquals(2, fleet.view(4).members().size(), "seed " + seed);
      long line = fleet.view(4).id().lineage();
      kept(fleet, FORMED + 200);
      assertTrue(fleet.view(4).id().lineage() > line);
    }
  }

  @Test
  void anOperatorFoundsAnewOnlyOnceTheOldMajorityIsSilentAndTheElderLineWinsIfItLives() {
    Fault cut = trouble(Kind.CUT, 100, 1, 3, 4);
    VirtualFleet fleet =
        fleet(5, 14, cut, new Fault(Kind.CUT, FORMED + 30, 30, List.of(0), List.of(1, 2), 1));
    fleet.run(FORMED + 2);
    ViewId old = fleet.view(3).id();
    fleet.rebootstrap(3, old);
    assertEquals(old, fleet.view(3).id(), "too early");
    fleet.run(FORMED + 60);
    fleet.rebootstrap(3, new ViewId(old.lineage(), old.number() + 7));
    fleet.rebootstrap(1, fleet.view(1).id());
    assertEquals(
        2, fleet.eventCounts().get("not_founded_anew") - 1, "another view, and a majority");
    fleet.rebootstrap(3, old);
    fleet.run(FORMED + 90);
    assertTrue(fleet.view(3).id().lineage() > old.lineage());
    assertEquals(fleet.view(3), fleet.view(4), "whoever is left comes to it");
    assertEquals(2, fleet.view(3).members().size());
    kept(fleet, FORMED + 200);
    assertEquals(old.lineage(), fleet.view(3).id().lineage(), "the old majority lived after all");
  }

  @Test
  void drawnScriptsWithFoldersBreakNothing() {
    for (long seed = 300_000; seed < 300_060; seed++) {
      List<Fault> script = Fault.withFolders(Fault.generate(5, 60, 5, seed), false, seed);
      RunVerdict verdict =
          FleetRunner.playVirtual(VirtualFleet.Plan.of(5).withFolders(), script, 60, seed);
      assertFalse(verdict.isFailed(), "seed " + seed + ": " + verdict.violations());
    }
  }

  @Test
  void twoLinesBecomeOneWhereAllFoundersForgotWhileCutOff() {
    // The three founders start anew and hear nobody of the five that hold their view: they found
    // another line.
    VirtualFleet fleet =
        fleet(8, 12, trouble(Kind.KILL, 5, 1, 0, 1, 2), trouble(Kind.CUT, 40, 1, 0, 1, 2));
    fleet.run(FORMED + 39);
    assertTrue(fleet.view(0).id().lineage() != fleet.view(5).id().lineage());
    long elder = fleet.view(5).id().lineage();
    kept(fleet, FORMED + 120);
    assertEquals(elder, fleet.view(0).id().lineage(), "the younger line is left");
  }

  @Test
  void enginesAreSharedOverThoseWhoseSendsMayStillRun() {
    VirtualFleet fleet = fleet(5, 13, trouble(Kind.GONE, 1, 1, 3, 4));
    fleet.run(FORMED - 0.1);
    assertEquals(5, fleet.engineSharerCount(0));
    double second = FORMED;
    while (fleet.view(0).members().size() == 5) {
      second += 0.05;
      fleet.run(second);
    }
    assertEquals(5, fleet.engineSharerCount(0), "their sends may still hold engines");
    fleet.run(second + 4.9);
    assertEquals(5, fleet.engineSharerCount(0));
    fleet.run(second + 5.2);
    assertEquals(3, fleet.engineSharerCount(0), "the longest send has ended");
  }

  @Test
  void drawnScriptsAtFixedSeedsBreakNothing() {
    for (long seed : new long[] {127, 227, 267, 3777, 3918, 20909, 64028}) {
      for (int processes : new int[] {3, 9}) {
        RunVerdict verdict =
            FleetRunner.playVirtual(
                VirtualFleet.Plan.of(processes), Fault.generate(processes, 60, 5, seed), 60, seed);
        assertFalse(verdict.isFailed(), "seed " + seed + ": " + verdict.violations());
      }
    }
  }
}

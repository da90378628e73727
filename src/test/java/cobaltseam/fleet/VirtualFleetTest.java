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

/** Difficult fault scenarios in virtual time on the production membership code. */
class VirtualFleetTest {
  private static final double FORMED_AT_S = 30;

  private static Fault fault(Kind kind, double lengthS, double size, Integer... processIndices) {
    return new Fault(kind, FORMED_AT_S, lengthS, List.of(processIndices), List.of(), size);
  }

  private static VirtualFleet fleet(int processes, long seed, Fault... faults) {
    return new VirtualFleet(VirtualFleet.Plan.of(processes), List.of(faults), seed);
  }

  private static Integer[] firstProcesses(int count) {
    return IntStream.range(0, count).boxed().toArray(Integer[]::new);
  }

  /** The number of the view that a process has installed. */
  private static long viewNumber(VirtualFleet fleet, int process) {
    return fleet.view(process).id().number();
  }

  private static void assertSettledAndValid(VirtualFleet fleet, double until) {
    fleet.run(until);
    assertTrue(fleet.isSettled(), "not one view of all live processes by " + until + " s");
    assertEquals(List.of(), InvariantChecker.check(fleet.recordedEvents(), fleet.live(), true));
  }

  @Test
  void hundredMembersJoiningWithinASecondUnderThirtyPercentLossFormOneView() {
    VirtualFleet fleet =
        fleet(100, 1, new Fault(Kind.LOSS, 0, FORMED_AT_S, List.of(), List.of(), 0.3));
    assertSettledAndValid(fleet, 90);
    assertTrue(viewNumber(fleet, 0) <= 8, "formed in few views: " + viewNumber(fleet, 0));
  }

  @Test
  void fleetsOfOneAndTwoMembersSettle() {
    assertSettledAndValid(fleet(1, 1), FORMED_AT_S);
    assertSettledAndValid(fleet(2, 1, fault(Kind.KILL, 10, 1, 1)), FORMED_AT_S + 60);
  }

  @Test
  void suspensionsShorterThanDetectionRemoveNoMember() {
    for (int seed = 0; seed < 20; seed++) {
      // One member of nine is suspended, then a third of them, then all but one.
      VirtualFleet fleet =
          fleet(
              9,
              seed,
              fault(Kind.PAUSE, 2, 1, seed % 9),
              new Fault(Kind.PAUSE, 50, 2, List.of(0, 1, 2), List.of(), 1),
              new Fault(Kind.PAUSE, 70, 2, List.of(0, 1, 2, 3, 4, 5, 6, 7), List.of(), 1));
      fleet.run(FORMED_AT_S - 1);
      long before = viewNumber(fleet, 0);
      assertSettledAndValid(fleet, 100);
      assertEquals(before, viewNumber(fleet, 0), "seed " + seed);
    }
  }

  @Test
  void resumedProcessDistrustsItsOldViewBeforeActingOnIt() {
    VirtualFleet fleet = fleet(5, 3, fault(Kind.PAUSE, 20, 1, 2));
    fleet.run(FORMED_AT_S + 19.9);
    assertEquals(4, fleet.view(0).members().size(), "removed during its suspension");
    assertEquals(5, fleet.view(2).members().size());
    fleet.run(FORMED_AT_S + 20.0001);
    assertTrue(
        fleet.quorumState(2) != QuorumState.MAJORITY,
        "when it resumes it is " + fleet.quorumState(2));
    assertSettledAndValid(fleet, FORMED_AT_S + 60);
  }

  @Test
  void thirdOfMembersKilledAtOnceIsRemovedInOneViewChange() {
    for (int seed = 0; seed < 10; seed++) {
      VirtualFleet fleet =
          fleet(30, seed, fault(Kind.GONE, 1, 1, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29));
      fleet.run(FORMED_AT_S - 0.1);
      long before = viewNumber(fleet, 0);
      assertSettledAndValid(fleet, FORMED_AT_S + 20);
      assertEquals(before + 1, viewNumber(fleet, 0), "seed " + seed);
    }
  }

  @Test
  void minorityDetectsItsStateAndMajorityContinues() {
    for (int cut = 1; cut <= 4; cut++) {
      VirtualFleet fleet = fleet(9, cut, fault(Kind.CUT, 40, 1, firstProcesses(cut)));
      fleet.run(FORMED_AT_S + 8);
      for (int i = 0; i < cut; i++) {
        assertEquals(
            QuorumState.MINORITY, fleet.quorumState(i), cut + " partitioned, process " + i);
      }
      assertEquals(QuorumState.MAJORITY, fleet.quorumState(8));
      fleet.run(FORMED_AT_S + 20);
      assertEquals(9 - cut, fleet.view(8).members().size());
      assertEquals(9, fleet.view(0).members().size(), "a minority installs nothing");
      assertSettledAndValid(fleet, FORMED_AT_S + 100);
    }
  }

  @Test
  void smallPartitionOfAHundredMembersDetectsItsMinority() {
    for (int cut : new int[] {1, 2, 5, 20}) {
      Integer[] partitioned = IntStream.range(40, 40 + cut).boxed().toArray(Integer[]::new);
      VirtualFleet fleet = fleet(100, 5, fault(Kind.CUT, 60, 1, partitioned));
      fleet.run(FORMED_AT_S + 25);
      for (int i : partitioned) {
        assertEquals(QuorumState.MINORITY, fleet.quorumState(i), cut + " partitioned");
      }
    }
  }

  @Test
  void threeWayPartitionWithoutMajorityInstallsNoViewAndHeals() {
    VirtualFleet fleet =
        fleet(9, 2, fault(Kind.CUT, 30, 1, 0, 1, 2), fault(Kind.CUT, 30, 1, 3, 4, 5));
    fleet.run(FORMED_AT_S - 0.1);
    long before = viewNumber(fleet, 0);
    fleet.run(FORMED_AT_S + 29);
    for (int i = 0; i < 9; i++) {
      assertEquals(before, viewNumber(fleet, i));
      assertEquals(QuorumState.MINORITY, fleet.quorumState(i));
    }
    assertSettledAndValid(fleet, FORMED_AT_S + 90);
    assertEquals(before, viewNumber(fleet, 0), "all members returned: no member had to be removed");
  }

  @Test
  void oneWayLinkFailuresRemoveNoMember() {
    Integer[] ring = firstProcesses(7);
    for (Fault fault :
        List.of(
            new Fault(Kind.ONE_WAY, FORMED_AT_S, 60, List.of(1), List.of(4), 1),
            fault(Kind.RING, 60, 1, ring))) {
      VirtualFleet fleet = fleet(7, 4, fault);
      fleet.run(FORMED_AT_S - 0.1);
      long before = viewNumber(fleet, 0);
      assertSettledAndValid(fleet, FORMED_AT_S + 59);
      assertEquals(
          before, viewNumber(fleet, 0), fault.kind() + " is bypassed by indirect health checks");
    }
  }

  @Test
  void memberThatOnlySendsOrOnlyReceivesIsRemovedOnce() {
    Fault sendFailure = fault(Kind.ONE_WAY, 120, 1, 3);
    Fault receiveFailure = fault(Kind.LOSS_IN, 120, 1, 3);
    for (Fault fault : List.of(sendFailure, receiveFailure)) {
      VirtualFleet fleet = fleet(7, 6, fault);
      fleet.run(FORMED_AT_S - 0.1);
      long before = viewNumber(fleet, 0);
      fleet.run(FORMED_AT_S + 119);
      assertEquals(
          before + 1, viewNumber(fleet, 0), fault.kind() + ": one view change in two minutes");
      assertEquals(6, fleet.view(0).members().size());
      assertTrue(
          fleet.quorumState(3) != QuorumState.MAJORITY,
          "and it detects its state: " + fleet.quorumState(3));
      assertSettledAndValid(fleet, FORMED_AT_S + 300);
    }
  }

  @Test
  void oneWayPartitionOfHalvesInstallsNoView() {
    VirtualFleet fleet = fleet(8, 7, fault(Kind.ONE_WAY, 40, 1, 0, 1, 2, 3));
    fleet.run(FORMED_AT_S - 0.1);
    long before = viewNumber(fleet, 0);
    fleet.run(FORMED_AT_S + 39);
    IntStream.range(0, 8)
        .forEach(i -> assertEquals(before, viewNumber(fleet, i), "no half is a majority"));
    assertSettledAndValid(fleet, FORMED_AT_S + 120);
  }

  @Test
  void processRestartedFasterThanDetectionGetsAHigherIncarnation() {
    VirtualFleet fleet = fleet(5, 8, fault(Kind.KILL, 0.3, 1, 2));
    fleet.run(FORMED_AT_S - 0.1);
    long incarnation = fleet.view(0).members().get(2).incarnation().value();
    assertSettledAndValid(fleet, FORMED_AT_S + 30);
    assertTrue(fleet.view(0).members().get(2).incarnation().value() > incarnation);
  }

  @Test
  void proposerKilledDuringAViewChangeDoesNotBlockIt() {
    for (int seed = 0; seed < 60; seed++) {
      // The first member proposes views. Two of the first six members are killed 3 to 6 s after the
      // last member is, so that a view change is in progress.
      VirtualFleet fleet =
          fleet(
              9,
              seed,
              fault(Kind.GONE, 1, 1, 8),
              new Fault(
                  Kind.KILL,
                  FORMED_AT_S + 3 + seed * 0.05,
                  20,
                  List.of(seed % 3, 3 + seed % 3),
                  List.of(),
                  1));
      assertSettledAndValid(fleet, FORMED_AT_S + 90);
    }
  }

  @Test
  void rollingRestartDuringALinkFailureKeepsTheMajority() {
    Fault[] faults = new Fault[6];
    for (int i = 0; i < 5; i++) {
      faults[i] =
          new Fault(
              i % 2 == 0 ? Kind.TERM : Kind.KILL,
              FORMED_AT_S + i * 15,
              3,
              List.of(i),
              List.of(),
              1);
    }
    faults[5] = new Fault(Kind.CUT, FORMED_AT_S, 75, List.of(1), List.of(3), 1);
    VirtualFleet fleet = fleet(5, 9, faults);
    assertSettledAndValid(fleet, FORMED_AT_S + 120);
    assertFalse(fleet.lostMajority());
  }

  @Test
  void withoutAMajorityOfMembersWithStateNoViewIsInstalled() {
    // Two of five restart without state at once and a bootstrap member is permanently lost: the
    // other two are a minority until an operator decides.
    VirtualFleet fleet = fleet(5, 10, fault(Kind.KILL, 2, 1, 1, 2), fault(Kind.GONE, 1, 1, 0));
    fleet.run(FORMED_AT_S - 0.1);
    long before = viewNumber(fleet, 4);
    fleet.run(FORMED_AT_S + 120);
    assertEquals(before, viewNumber(fleet, 4));
    assertEquals(QuorumState.MINORITY, fleet.quorumState(4));
    assertEquals(
        QuorumState.NONE,
        fleet.quorumState(1),
        "its promises are lost with its former incarnation");
    assertEquals(List.of(), InvariantChecker.check(fleet.recordedEvents(), fleet.live(), false));
  }

  @Test
  void allKilledAtOnceBootstrapANewLineage() {
    VirtualFleet fleet = fleet(5, 11, fault(Kind.KILL, 2, 1, firstProcesses(5)));
    fleet.run(FORMED_AT_S - 0.1);
    long lineage = fleet.view(0).id().lineage();
    assertSettledAndValid(fleet, FORMED_AT_S + 60);
    assertTrue(fleet.view(0).id().lineage() > lineage);
  }

  private static VirtualFleet withFolders(int processes, long seed, Fault... faults) {
    return new VirtualFleet(VirtualFleet.Plan.of(processes).withFolders(), List.of(faults), seed);
  }

  @Test
  void withPersistenceAllKilledAtOnceResumeTheirLineage() {
    for (int seed = 0; seed < 10; seed++) {
      VirtualFleet fleet = withFolders(5, seed, fault(Kind.KILL, 2, 1, firstProcesses(5)));
      fleet.run(FORMED_AT_S - 0.1);
      View before = fleet.view(0);
      assertSettledAndValid(fleet, FORMED_AT_S + 60);
      assertEquals(before, fleet.view(0), "the same members in the same view");
    }
  }

  @Test
  void withPersistenceRestartFasterThanDetectionInstallsNoView() {
    VirtualFleet fleet = withFolders(5, 8, fault(Kind.KILL, 0.3, 1, 2));
    fleet.run(FORMED_AT_S - 0.1);
    View before = fleet.view(0);
    fleet.run(FORMED_AT_S + 0.3001);
    assertEquals(
        QuorumState.UNCONFIRMED,
        fleet.quorumState(2),
        "its state may be outdated until a majority confirms it");
    assertSettledAndValid(fleet, FORMED_AT_S + 30);
    assertEquals(before, fleet.view(0));
  }

  @Test
  void majorityWithPersistentStateResumesAfterSomeStateIsLost() {
    VirtualFleet fleet =
        withFolders(5, 3, fault(Kind.KILL, 2, 1, 0, 1, 2), fault(Kind.LOSE, 2, 1, 3, 4));
    fleet.run(FORMED_AT_S - 0.1);
    long lineage = fleet.view(0).id().lineage();
    assertSettledAndValid(fleet, FORMED_AT_S + 60);
    assertEquals(lineage, fleet.view(0).id().lineage());
    assertEquals(5, fleet.view(0).members().size());
  }

  @Test
  void restoredOldStateYieldsANewMemberWithoutTheVoteOfTheFormerOne() {
    // Process 2 is removed and joins again between the copy and the kill, so that the copy is of an
    // older view.
    VirtualFleet fleet =
        withFolders(
            5,
            4,
            new Fault(Kind.PAUSE, 40, 15, List.of(2), List.of(), 1),
            new Fault(Kind.STALE, 80, 1, List.of(2), List.of(), 1));
    fleet.run(79.9);
    long incarnation = fleet.view(0).members().get(2).incarnation().value();
    assertSettledAndValid(fleet, 140);
    assertTrue(fleet.view(0).members().get(2).incarnation().value() > incarnation);
    assertTrue(fleet.eventCounts().get("folder_old") > 0, fleet.eventCounts().toString());
  }

  @Test
  void gradualLossOfTheMajorityLeadsToANewLineage() {
    // Of five members, two are partitioned and removed, then one whose datagrams are lost. Then one
    // of the last two restarts without state: the last one detects that the lineage has ended.
    for (int seed = 0; seed < 10; seed++) {
      VirtualFleet fleet =
          fleet(
              5,
              seed,
              fault(Kind.CUT, 60, 1, 0, 1),
              new Fault(Kind.ONE_WAY, FORMED_AT_S + 20, 40, List.of(2), List.of(), 1),
              new Fault(Kind.KILL, FORMED_AT_S + 50, 1, List.of(3), List.of(), 1));
      fleet.run(FORMED_AT_S + 49.9);
      assertEquals(2, fleet.view(4).members().size(), "seed " + seed);
      long lineage = fleet.view(4).id().lineage();
      assertSettledAndValid(fleet, FORMED_AT_S + 200);
      assertTrue(fleet.view(4).id().lineage() > lineage);
    }
  }

  @Test
  void rebootstrapNeedsASilentMajorityAndTheOlderLineageWinsIfAlive() {
    Fault cut = fault(Kind.CUT, 100, 1, 3, 4);
    VirtualFleet fleet =
        fleet(5, 14, cut, new Fault(Kind.CUT, FORMED_AT_S + 30, 30, List.of(0), List.of(1, 2), 1));
    fleet.run(FORMED_AT_S + 2);
    ViewId lost = fleet.view(3).id();
    fleet.rebootstrap(3, lost);
    assertEquals(lost, fleet.view(3).id(), "too early");
    fleet.run(FORMED_AT_S + 60);
    fleet.rebootstrap(3, new ViewId(lost.lineage(), lost.number() + 7));
    fleet.rebootstrap(1, fleet.view(1).id());
    assertEquals(
        2,
        fleet.eventCounts().get("not_founded_anew") - 1,
        "rejected for another view and for a majority");
    fleet.rebootstrap(3, lost);
    fleet.run(FORMED_AT_S + 90);
    assertTrue(fleet.view(3).id().lineage() > lost.lineage());
    assertEquals(fleet.view(3), fleet.view(4), "the other remaining member joins the lineage");
    assertEquals(2, fleet.view(3).members().size());
    assertSettledAndValid(fleet, FORMED_AT_S + 200);
    assertEquals(lost.lineage(), fleet.view(3).id().lineage(), "the old majority was alive");
  }

  @Test
  void randomScriptsWithPersistenceViolateNoInvariant() {
    for (long seed = 300_000; seed < 300_060; seed++) {
      List<Fault> script = Fault.withFolders(Fault.generate(5, 60, 5, seed), false, seed);
      RunVerdict verdict =
          FleetRunner.playVirtual(VirtualFleet.Plan.of(5).withFolders(), script, 60, seed);
      assertFalse(verdict.isFailed(), "seed " + seed + ": " + verdict.violations());
    }
  }

  /** Guards against broken promises of members whose folders are full for up to a minute. */
  @Test
  void randomScriptsWithFullFoldersViolateNoInvariant() {
    for (long seed = 310_000; seed < 310_060; seed++) {
      List<Fault> script =
          Fault.withFullFolders(
              Fault.withFolders(Fault.generate(5, 60, 5, seed), false, seed), 5, 60, seed);
      RunVerdict verdict =
          FleetRunner.playVirtual(VirtualFleet.Plan.of(5).withFolders(), script, 110, seed);
      assertFalse(verdict.isFailed(), "seed " + seed + ": " + verdict.violations());
    }
  }

  @Test
  void twoLineagesMergeAfterAllBootstrapMembersLostTheirState() {
    // The three bootstrap members restart without state, partitioned from the five that have their
    // view installed: they bootstrap another lineage.
    VirtualFleet fleet =
        fleet(8, 12, fault(Kind.KILL, 5, 1, 0, 1, 2), fault(Kind.CUT, 40, 1, 0, 1, 2));
    fleet.run(FORMED_AT_S + 39);
    assertTrue(fleet.view(0).id().lineage() != fleet.view(5).id().lineage());
    long olderLineage = fleet.view(5).id().lineage();
    assertSettledAndValid(fleet, FORMED_AT_S + 120);
    assertEquals(olderLineage, fleet.view(0).id().lineage(), "members leave the newer lineage");
  }

  @Test
  void enginesAreSharedWithRemovedMembersUntilTheirAttemptsEnd() {
    VirtualFleet fleet = fleet(5, 13, fault(Kind.GONE, 1, 1, 3, 4));
    fleet.run(FORMED_AT_S - 0.1);
    assertEquals(5, fleet.engineSharerCount(0));
    double second = FORMED_AT_S;
    while (fleet.view(0).members().size() == 5) {
      second += 0.05;
      fleet.run(second);
    }
    assertEquals(5, fleet.engineSharerCount(0), "their attempts may still occupy engines");
    fleet.run(second + 4.9);
    assertEquals(5, fleet.engineSharerCount(0));
    fleet.run(second + 5.2);
    assertEquals(3, fleet.engineSharerCount(0), "the longest attempt has ended");
  }

  @Test
  void randomScriptsAtFixedSeedsViolateNoInvariant() {
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

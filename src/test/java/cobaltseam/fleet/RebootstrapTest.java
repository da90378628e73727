package cobaltseam.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.fleet.Fault.Kind;
import cobaltseam.membership.QuorumState;
import cobaltseam.membership.ViewId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** An operator re-bootstraps the remaining members after three of five are permanently lost. */
class RebootstrapTest {
  private static final List<Integer> LOST_MEMBERS = List.of(0, 1, 2);
  private static final double LOST_AT_S = 60;
  private static final double ORDERED_AT_S = 120;
  private static final int LINEAGE_SEEDS = 20;
  private static final int RANDOM_SEEDS = 60;
  private static final long ABANDONED_VIEW_SEED = 308;
  private static final int RANDOM_PAUSES = 4;

  /** Each pause begins in its own time slot and ends within it. */
  private static final double PAUSE_SLOT_S = 32;

  @Test
  void minorityThatKeptRunningIsRebootstrapped() {
    VirtualFleet fleet = fleetAfterPermanentLoss(List.of());
    assertEquals(QuorumState.MINORITY, fleet.quorumState(3));
    assertRebootstraps(fleet);
  }

  @Test
  void minorityWithOneSuspendedMemberIsRebootstrapped() {
    VirtualFleet fleet =
        fleetAfterPermanentLoss(List.of(new Fault(Kind.PAUSE, 75, 10, List.of(3), List.of(), 1)));
    assertRebootstraps(fleet);
  }

  /** Guards against two lineages with one number, and against a new one older than the lost one. */
  @Test
  void rebootstrappedLineageIsNewerThanTheLostOneAndUnique() {
    for (long seed = 0; seed < LINEAGE_SEEDS; seed++) {
      Fault permanentLoss = new Fault(Kind.GONE, LOST_AT_S, 1, LOST_MEMBERS, List.of(), 1);
      VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(5), List.of(permanentLoss), seed);
      fleet.run(ORDERED_AT_S);
      ViewId lost = fleet.view(3).id();
      fleet.rebootstrap(3, lost);
      fleet.rebootstrap(4, lost);
      long one = fleet.view(3).id().lineage();
      long other = fleet.view(4).id().lineage();
      assertTrue(one > lost.lineage() && other > lost.lineage(), "seed " + seed);
      assertNotEquals(one, other, "seed " + seed);
      fleet.run(ORDERED_AT_S + 60);
      assertEquals(
          List.of(),
          InvariantChecker.check(fleet.recordedEvents(), fleet.live(), true),
          "seed " + seed);
    }
  }

  /** Guards against a member that can't join the new lineage because it was suspended as well. */
  @Test
  void minorityOfSuspendedMembersEndsInOneLineage() {
    VirtualFleet fleet =
        fleetAfterPermanentLoss(
            List.of(
                new Fault(Kind.PAUSE, 75, 10, List.of(3), List.of(), 1),
                new Fault(Kind.PAUSE, 80, 10, List.of(4), List.of(), 1)));
    assertRebootstraps(fleet);
    fleet.run(ORDERED_AT_S + 60);
    assertEquals(2, fleet.view(4).members().size(), "state " + fleet.quorumState(4));
    assertEquals(fleet.view(3), fleet.view(4));
  }

  /** Guards against an order that is accepted before a live majority could have answered. */
  @Test
  void orderAfterSuspensionIsRejectedUntilAMajorityHadTimeToAnswer() {
    Fault pause = new Fault(Kind.PAUSE, 75, 40, List.of(3), List.of(), 1);
    VirtualFleet fleet = fleetAfterPermanentLoss(List.of(pause));
    ViewId lost = fleet.view(3).id();
    assertEquals(QuorumState.UNCONFIRMED, fleet.quorumState(3));
    fleet.rebootstrap(3, lost);
    assertEquals(lost, fleet.view(3).id());
  }

  /** Guards against an order that is accepted on knowledge from before a long suspension. */
  @Test
  void orderReadImmediatelyAfterSuspensionIsRejected() {
    Fault cut = new Fault(Kind.CUT, LOST_AT_S, 25, LOST_MEMBERS, List.of(), 1);
    Fault pause = new Fault(Kind.PAUSE, LOST_AT_S + 20, 30, List.of(3), List.of(), 1);
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(5), List.of(cut, pause), 6);
    fleet.run(pause.endS() - 0.001);
    ViewId installed = fleet.view(3).id();
    fleet.rebootstrap(3, installed);
    assertEquals(installed, fleet.view(3).id());
    assertEquals(QuorumState.UNCONFIRMED, fleet.quorumState(3));
  }

  /** Suspensions before, during and after the order; the majority is lost or partitioned. */
  @Test
  void randomSuspensionsAroundTheOrderViolateNoInvariant() {
    for (long seed = 0; seed < RANDOM_SEEDS; seed++) {
      assertRandomSuspensionsViolateNoInvariant(seed);
    }
  }

  /** A view whose members left for another lineage one by one must not regain them. */
  @Test
  void aViewThatAMemberHasLeftForAnotherLineageClaimsNoMajority() {
    assertRandomSuspensionsViolateNoInvariant(ABANDONED_VIEW_SEED);
  }

  private static void assertRandomSuspensionsViolateNoInvariant(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean isPermanent = random.nextBoolean();
    Fault loss =
        isPermanent
            ? new Fault(Kind.GONE, LOST_AT_S, 1, LOST_MEMBERS, List.of(), 1)
            : new Fault(Kind.CUT, LOST_AT_S, 20 + random.nextInt(140), LOST_MEMBERS, List.of(), 1);
    List<Fault> faults = new ArrayList<>(List.of(loss));
    for (int i = 0; i < RANDOM_PAUSES; i++) {
      double at = LOST_AT_S + 2 + PAUSE_SLOT_S * (i + 0.5 * random.nextDouble());
      int process = isPermanent ? 3 + random.nextInt(2) : random.nextInt(5);
      double lengthS = 0.5 + 0.5 * (PAUSE_SLOT_S - 1) * random.nextDouble();
      faults.add(new Fault(Kind.PAUSE, at, lengthS, List.of(process), List.of(), 1));
    }
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(5), faults, seed);
    fleet.run(LOST_AT_S);
    long lineage = fleet.view(3).id().lineage();
    for (double orderAt = LOST_AT_S + 10 * random.nextDouble(); orderAt < 260; orderAt += 7) {
      fleet.run(orderAt);
      if (fleet.view(3) != null && fleet.view(3).id().lineage() == lineage) {
        fleet.rebootstrap(3, fleet.view(3).id());
      }
    }
    fleet.run(340);
    String scenario = "seed " + seed + ": " + faults;
    assertTrue(
        fleet.isSettled(),
        scenario + ", states " + fleet.quorumState(3) + ", " + fleet.quorumState(4));
    assertEquals(
        List.of(), InvariantChecker.check(fleet.recordedEvents(), fleet.live(), true), scenario);
    assertEquals(!isPermanent, fleet.view(3).id().lineage() == lineage, scenario);
  }

  private static VirtualFleet fleetAfterPermanentLoss(List<Fault> additionalFaults) {
    Fault permanentLoss = new Fault(Kind.GONE, LOST_AT_S, 1, LOST_MEMBERS, List.of(), 1);
    List<Fault> faults = new ArrayList<>(additionalFaults);
    faults.add(0, permanentLoss);
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(5), faults, 6);
    fleet.run(ORDERED_AT_S);
    return fleet;
  }

  private static void assertRebootstraps(VirtualFleet fleet) {
    ViewId lost = fleet.view(3).id();
    fleet.rebootstrap(3, lost);
    fleet.run(ORDERED_AT_S + 1);
    assertNotEquals(lost.lineage(), fleet.view(3).id().lineage(), "state " + fleet.quorumState(3));
  }
}

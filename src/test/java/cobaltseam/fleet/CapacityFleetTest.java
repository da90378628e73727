package cobaltseam.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.fleet.Fault.Kind;
import cobaltseam.membership.Lease;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs fleets in virtual time on the production code that divide a capacity by demand. */
class CapacityFleetTest {
  private static final double FORMED_AT_S = 30;

  private static VirtualFleet fleet(
      int processes,
      long seed,
      Lease.LeaseOptions lease,
      double clockRateDifference,
      Fault... faults) {
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(processes), List.of(faults), seed);
    fleet.enableCapacityLeases(
        FleetCapacityCommand.capacityOptions(processes), lease, clockRateDifference);
    fleet.run(FORMED_AT_S - 0.01);
    return fleet;
  }

  private static Fault fault(Kind kind, double lengthS, List<Integer> processIndices) {
    return new Fault(kind, FORMED_AT_S, lengthS, processIndices, List.of(), 1);
  }

  private static double usableShare(VirtualFleet fleet, int index) {
    return (double) fleet.usableAmount(index) / FleetCapacityCommand.TOTAL_CAPACITY;
  }

  private static void assertCapacityNeverExceeded(VirtualFleet fleet) {
    assertTrue(
        fleet.peakUsage().amount() <= FleetCapacityCommand.TOTAL_CAPACITY
            && !fleet.peakUsage().twoLineages(),
        fleet.peakUsage().toString());
  }

  private static List<Integer> range(int from, int to) {
    List<Integer> processIndices = new ArrayList<>();
    for (int index = from; index < to; index++) {
      processIndices.add(index);
    }
    return processIndices;
  }

  @Test
  void capacityFollowsDemandAndIsReturnedWithinALease() {
    VirtualFleet fleet =
        fleet(
            10, 1, FleetCapacityCommand.LEASE_OPTIONS, FleetCapacityCommand.CLOCK_RATE_DIFFERENCE);
    for (int index = 0; index < 10; index++) {
      assertEquals(0.1, usableShare(fleet, index), 0.01, "without demand all shares are equal");
      fleet.setDemand(index, index == 3 ? 30 : 1);
    }
    fleet.run(FORMED_AT_S + 6);
    assertTrue(
        usableShare(fleet, 3) > 0.5,
        "it has three quarters of the demand: " + usableShare(fleet, 3));
    fleet.setDemand(3, 0);
    fleet.setDemand(7, 30);
    fleet.run(FORMED_AT_S + 12);
    assertTrue(usableShare(fleet, 7) > 0.5, Double.toString(usableShare(fleet, 7)));
    assertTrue(usableShare(fleet, 3) < 0.06, Double.toString(usableShare(fleet, 3)));
    assertTrue(fleet.misallocatedRatio() < 0.02, Double.toString(fleet.misallocatedRatio()));
    assertCapacityNeverExceeded(fleet);
  }

  @Test
  void partitionedMinorityKeepsOnlyItsStandaloneCapacity() {
    VirtualFleet fleet =
        fleet(
            9,
            2,
            FleetCapacityCommand.LEASE_OPTIONS,
            FleetCapacityCommand.CLOCK_RATE_DIFFERENCE,
            fault(Kind.CUT, 60, range(0, 4)));
    fleet.setDemand(2, 40);
    fleet.setDemand(7, 10);
    fleet.run(FORMED_AT_S + 2.1);
    assertEquals(
        0.1 / 9, usableShare(fleet, 2), 1e-3, "without a majority it has its standalone share");
    fleet.run(FORMED_AT_S + 40);
    assertTrue(
        usableShare(fleet, 7) > 0.5,
        "the others have its share except for the standalone shares: " + usableShare(fleet, 7));
    fleet.run(FORMED_AT_S + 120);
    assertTrue(
        usableShare(fleet, 2) > 0.4,
        "after the partition it has its share again: " + usableShare(fleet, 2));
    assertCapacityNeverExceeded(fleet);
  }

  @Test
  void killedAndRestartedMembersNeverExceedTheTotalCapacity() {
    VirtualFleet fleet =
        fleet(
            12,
            3,
            FleetCapacityCommand.LEASE_OPTIONS,
            FleetCapacityCommand.CLOCK_RATE_DIFFERENCE,
            fault(Kind.KILL, 15, range(0, 4)),
            new Fault(Kind.LOSS, FORMED_AT_S, 30, List.of(), List.of(), 0.3));
    for (int index = 0; index < 12; index++) {
      fleet.setDemand(index, index % 3 == 0 ? 20 : 1);
    }
    fleet.run(FORMED_AT_S + 100);
    assertTrue(fleet.isSettled());
    assertTrue(fleet.misallocatedRatio() < 0.05, Double.toString(fleet.misallocatedRatio()));
    assertCapacityNeverExceeded(fleet);
  }

  @Test
  void resumedProcessStartsWithItsStandaloneCapacity() {
    VirtualFleet fleet =
        fleet(
            5,
            4,
            FleetCapacityCommand.LEASE_OPTIONS,
            FleetCapacityCommand.CLOCK_RATE_DIFFERENCE,
            fault(Kind.PAUSE, 3, List.of(2)));
    fleet.setDemand(2, 40);
    fleet.run(FORMED_AT_S + 3.0005);
    assertTrue(
        usableShare(fleet, 2) < 0.05,
        "its lease has expired in the meantime: " + usableShare(fleet, 2));
    fleet.run(FORMED_AT_S + 40);
    assertTrue(usableShare(fleet, 2) > 0.5, Double.toString(usableShare(fleet, 2)));
    assertCapacityNeverExceeded(fleet);
  }

  @Test
  void randomScriptsNeverExceedTheTotalCapacity() {
    for (long seed = 1; seed <= 25; seed++) {
      for (boolean folders : new boolean[] {false, true}) {
        VirtualFleet.Plan plan = VirtualFleet.Plan.of(folders ? 4 : 7);
        FleetCapacityCommand.RunResult result =
            FleetCapacityCommand.play(
                folders ? plan.withFolders() : plan,
                Fault.generate(plan.processes(), 60, 4, seed),
                60,
                seed);
        assertEquals(List.of(), result.violations(), "seed " + seed);
      }
    }
  }

  /** The peak usage over partitions with many seeds, as a share of the total capacity. */
  private static double peakShare(Lease.LeaseOptions lease, double clockRateDifference) {
    double peak = 0;
    for (int seed = 0; seed < 20; seed++) {
      VirtualFleet fleet =
          fleet(5, seed, lease, clockRateDifference, fault(Kind.CUT, 20, List.of(3, 4)));
      fleet.setDemand(3, 40);
      fleet.setDemand(1, 10);
      fleet.run(FORMED_AT_S + 30);
      peak =
          Math.max(peak, (double) fleet.peakUsage().amount() / FleetCapacityCommand.TOTAL_CAPACITY);
    }
    return peak;
  }

  @Test
  void prematureGrowthAndExcessiveClockDriftAreDetected() {
    // Two mutants: shares grow as soon as a view is installed, and clocks at 0.5 to 1.5 times the
    // rate under a stated bound of 0.1%.
    assertTrue(peakShare(new Lease.LeaseOptions(new TimeSpan(20_000_000), -0.5), 0) > 1, "no wait");
    assertTrue(
        peakShare(new Lease.LeaseOptions(new TimeSpan(10_000_000), 0.001), 1) > 1, "clock drift");
    assertTrue(
        peakShare(FleetCapacityCommand.LEASE_OPTIONS, FleetCapacityCommand.CLOCK_RATE_DIFFERENCE)
            <= 1);
  }
}

package cobaltseam.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.fleet.Fault.Kind;
import cobaltseam.membership.Lease;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A whole that a fleet divides by need, in virtual time on the real modules: one seed, one history.
 */
class CapacityFleetTest {
  private static final double FORMED = 30;

  private static VirtualFleet fleet(
      int processes, long seed, Lease.LeaseOptions lease, double clocks, Fault... troubles) {
    VirtualFleet fleet = new VirtualFleet(VirtualFleet.Plan.of(processes), List.of(troubles), seed);
    fleet.enableCapacityLeases(FleetCapacityCommand.capacityOptions(processes), lease, clocks);
    fleet.run(FORMED - 0.01);
    return fleet;
  }

  private static Fault trouble(Kind kind, double length, List<Integer> who) {
    return new Fault(kind, FORMED, length, who, List.of(), 1);
  }

  private static double part(VirtualFleet fleet, int index) {
    return (double) fleet.usableAmount(index) / FleetCapacityCommand.TOTAL_CAPACITY;
  }

  private static void kept(VirtualFleet fleet) {
    assertTrue(
        fleet.peakUsage().amount() <= FleetCapacityCommand.TOTAL_CAPACITY
            && !fleet.peakUsage().twoLineages(),
        fleet.peakUsage().toString());
  }

  private static List<Integer> upTo(int from, int to) {
    List<Integer> who = new ArrayList<>();
    for (int index = from; index < to; index++) {
      who.add(index);
    }
    return who;
  }

  @Test
  void partsFollowNeedsAndGoBackWithinALease() {
    VirtualFleet fleet =
        fleet(
            10, 1, FleetCapacityCommand.LEASE_OPTIONS, FleetCapacityCommand.CLOCK_RATE_DIFFERENCE);
    for (int index = 0; index < 10; index++) {
      assertEquals(0.1, part(fleet, index), 0.01, "nobody needs anything: all alike");
      fleet.setDemand(index, index == 3 ? 30 : 1);
    }
    fleet.run(FORMED + 6);
    assertTrue(part(fleet, 3) > 0.5, "it carries three quarters of all: " + part(fleet, 3));
    fleet.setDemand(3, 0);
    fleet.setDemand(7, 30);
    fleet.run(FORMED + 12);
    assertTrue(part(fleet, 7) > 0.5, Double.toString(part(fleet, 7)));
    assertTrue(part(fleet, 3) < 0.06, Double.toString(part(fleet, 3)));
    assertTrue(fleet.misallocatedRatio() < 0.02, Double.toString(fleet.misallocatedRatio()));
    kept(fleet);
  }

  @Test
  void halfCutOffWhileItHoldsMostKeepsNothingButItsLonePart() {
    VirtualFleet fleet =
        fleet(
            9,
            2,
            FleetCapacityCommand.LEASE_OPTIONS,
            FleetCapacityCommand.CLOCK_RATE_DIFFERENCE,
            trouble(Kind.CUT, 60, upTo(0, 4)));
    fleet.setDemand(2, 40);
    fleet.setDemand(7, 10);
    fleet.run(FORMED + 2.1);
    assertEquals(0.1 / 9, part(fleet, 2), 1e-3, "no majority is heard there");
    fleet.run(FORMED + 40);
    assertTrue(
        part(fleet, 7) > 0.5,
        "the others have what it held, but for the lone parts: " + part(fleet, 7));
    fleet.run(FORMED + 120);
    assertTrue(part(fleet, 2) > 0.4, "healed, it has it again: " + part(fleet, 2));
    kept(fleet);
  }

  @Test
  void aThirdKilledAndAsManyJoiningNeverHoldMoreThanTheWhole() {
    VirtualFleet fleet =
        fleet(
            12,
            3,
            FleetCapacityCommand.LEASE_OPTIONS,
            FleetCapacityCommand.CLOCK_RATE_DIFFERENCE,
            trouble(Kind.KILL, 15, upTo(0, 4)),
            new Fault(Kind.LOSS, FORMED, 30, List.of(), List.of(), 0.3));
    for (int index = 0; index < 12; index++) {
      fleet.setDemand(index, index % 3 == 0 ? 20 : 1);
    }
    fleet.run(FORMED + 100);
    assertTrue(fleet.isSettled());
    assertTrue(fleet.misallocatedRatio() < 0.05, Double.toString(fleet.misallocatedRatio()));
    kept(fleet);
  }

  @Test
  void oneThatStoodStillBeginsWithItsLonePart() {
    VirtualFleet fleet =
        fleet(
            5,
            4,
            FleetCapacityCommand.LEASE_OPTIONS,
            FleetCapacityCommand.CLOCK_RATE_DIFFERENCE,
            trouble(Kind.PAUSE, 3, List.of(2)));
    fleet.setDemand(2, 40);
    fleet.run(FORMED + 3.0005);
    assertTrue(part(fleet, 2) < 0.05, "its lease has ended meanwhile: " + part(fleet, 2));
    fleet.run(FORMED + 40);
    assertTrue(part(fleet, 2) > 0.5, Double.toString(part(fleet, 2)));
    kept(fleet);
  }

  @Test
  void drawnScriptsNeverHoldMoreThanTheWhole() {
    for (long seed = 1; seed <= 25; seed++) {
      for (boolean folders : new boolean[] {false, true}) {
        VirtualFleet.Plan plan = VirtualFleet.Plan.of(folders ? 4 : 7);
        FleetCapacityCommand.RunResult verdict =
            FleetCapacityCommand.play(
                folders ? plan.withFolders() : plan,
                Fault.generate(plan.processes(), 60, 4, seed),
                60,
                seed);
        assertEquals(List.of(), verdict.violations(), "seed " + seed);
      }
    }
  }

  /** Cuts and kills at many moments: the most that was held at once, as a share of the whole. */
  private static double most(Lease.LeaseOptions lease, double clocks) {
    double most = 0;
    for (int seed = 0; seed < 20; seed++) {
      VirtualFleet fleet = fleet(5, seed, lease, clocks, trouble(Kind.CUT, 20, List.of(3, 4)));
      fleet.setDemand(3, 40);
      fleet.setDemand(1, 10);
      fleet.run(FORMED + 30);
      most =
          Math.max(most, (double) fleet.peakUsage().amount() / FleetCapacityCommand.TOTAL_CAPACITY);
    }
    return most;
  }

  @Test
  void partsThatGrowTooSoonAndClocksFurtherApartThanStatedAreFound() {
    // Mutants of the rule: growing as soon as a view is held, and clocks at half and one and a half
    // the rate under a bound of 0.1%.
    assertTrue(most(new Lease.LeaseOptions(new TimeSpan(20_000_000), -0.5), 0) > 1, "no wait");
    assertTrue(most(new Lease.LeaseOptions(new TimeSpan(10_000_000), 0.001), 1) > 1, "clocks");
    assertTrue(
        most(FleetCapacityCommand.LEASE_OPTIONS, FleetCapacityCommand.CLOCK_RATE_DIFFERENCE) <= 1);
  }
}

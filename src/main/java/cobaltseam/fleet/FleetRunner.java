package cobaltseam.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Runs one fleet under a script of faults and checks what its members recorded. */
final class FleetRunner {
  /** Virtual seconds after the last fault within which all members must agree on one view. */
  static final double VIRTUAL_SETTLE_LIMIT_S = 340;

  /** The same for real processes. */
  static final double REAL_SETTLE_LIMIT_S = 90;

  static final int MAX_HUNTED_PROCESSES = 9;

  static RunVerdict playVirtual(
      VirtualFleet.Plan plan, List<Fault> faults, double seconds, long seed) {
    VirtualFleet fleet = new VirtualFleet(plan, faults, seed);
    fleet.run(seconds);
    int settledChecks = 0;
    double second = seconds;
    for (; second < seconds + VIRTUAL_SETTLE_LIMIT_S && settledChecks < 4; second += 0.5) {
      fleet.run(second);
      settledChecks = fleet.isSettled() ? settledChecks + 1 : 0;
    }
    return new RunVerdict(
        InvariantChecker.check(fleet.recordedEvents(), fleet.live(), true),
        fleet.lostMajority(),
        second - seconds);
  }

  /**
   * Runs a fleet of real processes. It may lose its majority if the faults end so many processes
   * that the others are no majority.
   */
  static RunVerdict playReal(RealFleetPlan plan, List<Fault> faults, long seed, Path folder)
      throws IOException, InterruptedException {
    try (RealFleet fleet = new RealFleet(plan, faults, seed, folder)) {
      fleet.startAll();
      if (fleet.awaitSettled(REAL_SETTLE_LIMIT_S) < 0) {
        return new RunVerdict(
            List.of("no first view within " + REAL_SETTLE_LIMIT_S + " s"), false, -1);
      }
      fleet.startClock();
      new FaultPlayer(fleet, faults).play();
      double settled =
          fleet.awaitSettled(
              mayLoseMajority(plan.processes(), faults, plan.withPersistence())
                  ? 10
                  : REAL_SETTLE_LIMIT_S);
      return new RunVerdict(
          InvariantChecker.check(fleet.recordedEvents(), fleet.live(), true),
          settled < 0 && fleet.lostMajority(),
          settled);
    }
  }

  /**
   * Whether the processes that never end are no majority. A killed or terminated process with
   * persistent state does not count as ended, since it resumes as the same member.
   */
  static boolean mayLoseMajority(int processes, List<Fault> faults, boolean folders) {
    long endedProcesses =
        faults.stream()
            .filter(
                fault ->
                    fault.kind().endsProcess()
                        && !(folders
                            && (fault.kind() == Fault.Kind.KILL
                                || fault.kind() == Fault.Kind.TERM)))
            .flatMap(fault -> fault.processes().stream())
            .distinct()
            .count();
    return processes - endedProcesses < processes / 2 + 1;
  }

  static void print(
      PrintWriter out, long seed, int processes, RunVerdict verdict, List<Fault> faults) {
    out.println(
        "seed "
            + seed
            + ", "
            + processes
            + " processes: "
            + (verdict.isFailed()
                ? "BROKEN"
                : verdict.lostMajority() && !verdict.violations().isEmpty()
                    ? "a majority was lost"
                    : "kept")
            + String.format(Locale.ROOT, ", settled after %.1f s", verdict.settledS()));
    verdict.violations().forEach(violation -> out.println("  " + violation));
    if (verdict.isFailed()) {
      out.println(FaultScript.write(faults).indent(2));
    }
    out.flush();
  }

  private FleetRunner() {}
}

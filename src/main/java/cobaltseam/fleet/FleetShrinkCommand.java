package cobaltseam.fleet;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.emulator.Shrink;
import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code fleet shrink}: reduces a failing script. */
@Command(
    name = "shrink",
    description =
        "Reduces a script that violates an invariant to a minimal one that still does, "
            + "in virtual time.",
    mixinStandardHelpOptions = true)
final class FleetShrinkCommand implements Callable<Integer> {
  @CommandLine.Mixin FleetOptions common;
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    List<Fault> faults = common.faults(common.seed, common.processes);
    VirtualFleet.Plan plainPlan = VirtualFleet.Plan.of(common.processes);
    VirtualFleet.Plan plan = common.folders ? plainPlan.withFolders() : plainPlan;
    Shrink<Fault> shrink =
        new Shrink<>(
            candidate ->
                FleetRunner.playVirtual(plan, candidate, common.seconds, common.seed).isFailed(),
            Fault::simpler);
    if (!FleetRunner.playVirtual(plan, faults, common.seconds, common.seed).isFailed()) {
      throw new InvalidInputException("the script violates no invariant and can't be shrunk");
    }
    List<Fault> shrunkFaults = shrink.shrink(faults);
    PrintWriter out = spec.commandLine().getOut();
    out.printf(
        "# %d troubles of %d are left, after %d runs; seed %d%n",
        shrunkFaults.size(), faults.size(), shrink.runs(), common.seed);
    out.print(FaultScript.write(shrunkFaults));
    out.flush();
    return 0;
  }
}

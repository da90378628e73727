package cobaltseam.fleet;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.emulator.Shrink;
import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Cuts a failing script. */
@Command(
    name = "shrink",
    description =
        "Cuts a script that breaks something down to the least that still does; virtual time.",
    mixinStandardHelpOptions = true)
final class FleetShrinkCommand implements Callable<Integer> {
  @CommandLine.Mixin FleetOptions common;
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    List<Fault> troubles = common.drawn(common.seed, common.processes);
    VirtualFleet.Plan all = VirtualFleet.Plan.of(common.processes);
    VirtualFleet.Plan plan = common.folders ? all.withFolders() : all;
    Shrink<Fault> shrink =
        new Shrink<>(
            t -> FleetRunner.playVirtual(plan, t, common.seconds, common.seed).isBroken(),
            Fault::simpler);
    if (!FleetRunner.playVirtual(plan, troubles, common.seconds, common.seed).isBroken()) {
      throw new InvalidInputException("the whole script breaks nothing: nothing to shrink");
    }
    List<Fault> least = shrink.of(troubles);
    PrintWriter out = spec.commandLine().getOut();
    out.printf(
        "# %d troubles of %d are left, after %d runs; seed %d%n",
        least.size(), troubles.size(), shrink.runs(), common.seed);
    out.print(FaultScript.write(least));
    out.flush();
    return 0;
  }
}

package cobaltseam.emulator;

import cobaltseam.deployment.InvalidInputException;
import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The least of a failing script. */
@Command(
    name = "shrink",
    description =
        "Cuts drawn or scripted faults down to the least that still breaks a rule, or stays under a goodput.",
    mixinStandardHelpOptions = true)
final class EmulateShrinkCommand implements Callable<Integer> {
  @CommandLine.Mixin EmulateOptions common;

  @Option(
      names = "--policy",
      paramLabel = "NAME",
      defaultValue = "module",
      description = "default: ${DEFAULT-VALUE}")
  String policy;

  @Option(names = "--under", paramLabel = "GOODPUT", description = "in place of a broken rule")
  Double under;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    EmulatedSite world = common.world();
    List<Fault> faults = common.faultsFor(world, common.seed);
    Shrink<Fault> shrink =
        new Shrink<>(
            f -> {
              Simulation.Result result =
                  new Simulation(world, PolicyCatalog.named(policy), f, common.seconds, common.seed)
                      .run();
              return under != null
                  ? result.counts().goodput() < under
                  : result.violationCount() > 0;
            },
            Fault::simpler);
    PrintWriter out = spec.commandLine().getOut();
    Simulation.Result whole =
        new Simulation(world, PolicyCatalog.named(policy), faults, common.seconds, common.seed)
            .run();
    if (under != null ? whole.counts().goodput() >= under : whole.violationCount() == 0) {
      throw new InvalidInputException("the whole script does not fail: nothing to shrink");
    }
    List<Fault> least = shrink.of(faults);
    out.printf(
        "# %d faults of %d are left, after %d runs; seed %d%n",
        least.size(), faults.size(), shrink.runs(), common.seed);
    out.print(FaultScript.write(least));
    out.flush();
    return 0;
  }
}

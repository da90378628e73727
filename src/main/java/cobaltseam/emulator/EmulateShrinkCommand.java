package cobaltseam.emulator;

import cobaltseam.deployment.InvalidInputException;
import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Minimises a failing fault script. */
@Command(
    name = "shrink",
    description =
        "Minimises random or scripted faults that break a rule, or whose goodput is below a bound.",
    mixinStandardHelpOptions = true)
final class EmulateShrinkCommand implements Callable<Integer> {
  @CommandLine.Mixin EmulateOptions common;

  @Option(
      names = "--policy",
      paramLabel = "NAME",
      defaultValue = "module",
      description = "default: ${DEFAULT-VALUE}")
  String policy;

  @Option(
      names = "--under",
      paramLabel = "GOODPUT",
      description = "looks for a goodput below this bound instead of a broken rule")
  Double goodputBound;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    EmulatedSite site = common.site();
    List<Fault> faults = common.faultsFor(site, common.seed);
    Shrink<Fault> shrink =
        new Shrink<>(
            candidate -> {
              Simulation.Result result =
                  new Simulation(
                          site, PolicyCatalog.named(policy), candidate, common.seconds, common.seed)
                      .run();
              return goodputBound != null
                  ? result.counts().goodput() < goodputBound
                  : result.violationCount() > 0;
            },
            Fault::simplerVariants);
    PrintWriter out = spec.commandLine().getOut();
    Simulation.Result complete =
        new Simulation(site, PolicyCatalog.named(policy), faults, common.seconds, common.seed)
            .run();
    if (goodputBound != null
        ? complete.counts().goodput() >= goodputBound
        : complete.violationCount() == 0) {
      throw new InvalidInputException("the script does not fail, so there is nothing to minimise");
    }
    List<Fault> minimal = shrink.shrink(faults);
    out.printf(
        "# %d faults of %d are left, after %d runs; seed %d%n",
        minimal.size(), faults.size(), shrink.runs(), common.seed);
    out.print(FaultScript.write(minimal));
    out.flush();
    return 0;
  }
}

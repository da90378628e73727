package cobaltseam.fleet;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code fleet run}: one run. */
@Command(
    name = "run",
    description = "One run: the violated invariants, with times and processes.",
    mixinStandardHelpOptions = true)
final class FleetRunCommand implements Callable<Integer> {
  @CommandLine.Mixin FleetOptions common;
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    List<Fault> faults = common.faults(common.seed, common.processes);
    RunVerdict verdict = common.play(faults, common.processes, common.seed);
    FleetRunner.print(spec.commandLine().getOut(), common.seed, common.processes, verdict, faults);
    return verdict.isFailed() ? 1 : 0;
  }
}

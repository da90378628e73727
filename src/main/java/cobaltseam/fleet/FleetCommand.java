package cobaltseam.fleet;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command {@code fleet}: fleets of dispatchers under injected faults, in virtual time and as
 * real processes on loopback.
 */
@Command(
    name = "fleet",
    description =
        "Runs fleets of dispatchers under fault scripts and checks the recorded histories.",
    subcommands = {
      FleetRunCommand.class,
      FleetHuntCommand.class,
      FleetShrinkCommand.class,
      FleetDetectCommand.class,
      FleetSteadyCommand.class,
      FleetAgreementCommand.class,
      FleetCapacityCommand.class
    },
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND")
public final class FleetCommand implements Callable<Integer> {
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return CommandLine.ExitCode.USAGE;
  }
}

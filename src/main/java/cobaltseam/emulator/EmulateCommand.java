package cobaltseam.emulator;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code emulate}, which runs emulated deployments in virtual time. */
@Command(
    name = "emulate",
    description =
        "Emulates a deployment in virtual time, with the real decision modules and faults.",
    subcommands = {
      EmulateRunCommand.class,
      EmulateHuntCommand.class,
      EmulatePoliciesCommand.class,
      EmulatePlanCommand.class,
      EmulateCompareCommand.class,
      EmulateShrinkCommand.class
    },
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND")
public final class EmulateCommand implements Callable<Integer> {
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return CommandLine.ExitCode.USAGE;
  }
}

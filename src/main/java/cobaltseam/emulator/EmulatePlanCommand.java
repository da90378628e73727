package cobaltseam.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A plan of runs. */
@Command(
    name = "experiment",
    description =
        "Plays a plan over all cores, goes on where it was stopped, and writes an Arrow file, a "
            + "table and charts.",
    mixinStandardHelpOptions = true)
final class EmulatePlanCommand implements Callable<Integer> {
  @CommandLine.Parameters(
      paramLabel = "PLAN",
      description = "a TOML file; docs/operations/experiments.md")
  Path plan;

  @Option(
      names = "--out",
      paramLabel = "FOLDER",
      required = true,
      description = "where results are kept")
  Path folder;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    Experiment.run(Experiment.read(plan), folder, spec.commandLine().getOut());
    return 0;
  }
}

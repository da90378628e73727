package cobaltseam.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an experiment. */
@Command(
    name = "experiment",
    description =
        "Runs the plan of an experiment on all cores, resumes it if it was stopped, and writes an"
            + " Arrow file, a table and charts.",
    mixinStandardHelpOptions = true)
final class EmulatePlanCommand implements Callable<Integer> {
  @CommandLine.Parameters(
      paramLabel = "PLAN",
      description = "a TOML file; see docs/operations/experiments.md")
  Path plan;

  @Option(
      names = "--out",
      paramLabel = "FOLDER",
      required = true,
      description = "the folder of the results")
  Path folder;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    Experiment.run(Experiment.read(plan), folder, spec.commandLine().getOut());
    return 0;
  }
}

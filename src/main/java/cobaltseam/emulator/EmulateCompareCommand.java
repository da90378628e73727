package cobaltseam.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares two result sets, or two policies of one. */
@Command(
    name = "compare",
    description = "Compares goodput by pairs of runs, with confidence intervals.",
    mixinStandardHelpOptions = true)
final class EmulateCompareCommand implements Callable<Integer> {
  @CommandLine.Parameters(
      paramLabel = "RESULTS",
      arity = "1..2",
      description = "one or two files results.arrow")
  List<Path> files;

  @Option(
      names = "--policies",
      paramLabel = "A,B",
      split = ",",
      arity = "1",
      description = "compares two policies within one result set")
  List<String> policies;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    if (files.size() == 1 && (policies == null || policies.size() != 2)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "a single result set requires --policies A,B");
    }
    List<ResultsFile.RunResult> first = ResultsFile.read(files.get(0));
    List<ResultsFile.RunResult> second = files.size() == 1 ? first : ResultsFile.read(files.get(1));
    boolean withinOneSet = files.size() == 1;
    spec.commandLine()
        .getOut()
        .print(
            Experiment.compare(
                first,
                second,
                withinOneSet ? policies.get(0) : null,
                withinOneSet ? policies.get(1) : null));
    spec.commandLine().getOut().flush();
    return 0;
  }
}

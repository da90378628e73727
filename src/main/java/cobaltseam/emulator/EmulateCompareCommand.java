package cobaltseam.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Two result sets, or two policies of one. */
@Command(
    name = "compare",
    description = "Differences of goodput pair by pair, with intervals over seeds.",
    mixinStandardHelpOptions = true)
final class EmulateCompareCommand implements Callable<Integer> {
  @CommandLine.Parameters(
      paramLabel = "RESULTS",
      arity = "1..2",
      description = "one or two results.arrow")
  List<Path> files;

  @Option(
      names = "--policies",
      paramLabel = "A,B",
      split = ",",
      arity = "1",
      description = "within one set: one policy against another")
  List<String> names;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    if (files.size() == 1 && (names == null || names.size() != 2)) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "one result set needs --policies A,B");
    }
    List<ResultsFile.RunResult> first = ResultsFile.read(files.get(0));
    List<ResultsFile.RunResult> second = files.size() == 1 ? first : ResultsFile.read(files.get(1));
    boolean within = files.size() == 1;
    spec.commandLine()
        .getOut()
        .print(
            Experiment.compared(
                first, second, within ? names.get(0) : null, within ? names.get(1) : null));
    spec.commandLine().getOut().flush();
    return 0;
  }
}

package cobaltseam.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** What every command is told. */
class FleetOptions {
  @Option(
      names = "--processes",
      paramLabel = "N",
      defaultValue = "5",
      description = "default: ${DEFAULT-VALUE}")
  int processes;

  @Option(
      names = "--seconds",
      paramLabel = "S",
      defaultValue = "60",
      description = "over which troubles are drawn; default: ${DEFAULT-VALUE}")
  double seconds;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "default: ${DEFAULT-VALUE}")
  long seed;

  @Option(
      names = "--troubles",
      paramLabel = "N",
      defaultValue = "4",
      description = "drawn by the seed; default: ${DEFAULT-VALUE}")
  int faultCount;

  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "troubles from a file in place of drawn ones")
  Path script;

  @Option(
      names = "--folders",
      description = "each process with a lasting folder; some kills lose it")
  boolean folders;

  @Option(
      names = "--copied-back",
      description = "with --folders: one kill of a run brings back an old folder in place of that")
  boolean copiedBack;

  @Option(names = "--real", description = "real processes in place of virtual time")
  boolean real;

  @Option(
      names = "--folder",
      paramLabel = "DIR",
      description = "where real processes leave their logs; default: a new one")
  Path folder;

  List<Fault> faults(long runSeed, int processCount) {
    return script != null
        ? FaultScript.read(script, processCount)
        : generateFaults(runSeed, processCount, faultCount);
  }

  List<Fault> generateFaults(long runSeed, int processCount, int count) {
    List<Fault> generated = Fault.generate(processCount, seconds, count, runSeed);
    return folders ? Fault.withFolders(generated, copiedBack, runSeed) : generated;
  }

  RunVerdict play(List<Fault> script, int processCount, long runSeed)
      throws IOException, InterruptedException {
    if (!real) {
      VirtualFleet.Plan plan = VirtualFleet.Plan.of(processCount);
      return FleetRunner.playVirtual(folders ? plan.withFolders() : plan, script, seconds, runSeed);
    }
    Path runFolder =
        folder == null
            ? Files.createTempDirectory("fleet")
            : folder.resolve(Long.toString(runSeed));
    RealFleetPlan plan = RealFleetPlan.of(processCount);
    return FleetRunner.playReal(folders ? plan.withFolders() : plan, script, runSeed, runFolder);
  }
}

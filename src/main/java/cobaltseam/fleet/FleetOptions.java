package cobaltseam.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** The options that all commands of {@code fleet} share. */
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
      description = "the time over which faults are generated; default: ${DEFAULT-VALUE}")
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
      description = "the number of faults generated from the seed; default: ${DEFAULT-VALUE}")
  int faultCount;

  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "a file with the faults, instead of generated ones")
  Path script;

  @Option(
      names = "--folders",
      description = "each process persists its state in a folder; some kills lose the folder")
  boolean folders;

  @Option(
      names = "--copied-back",
      description =
          "with --folders: instead of losing folders, one kill of a run brings back an old copy")
  boolean copiedBack;

  @Option(names = "--real", description = "real processes instead of virtual time")
  boolean real;

  @Option(
      names = "--folder",
      paramLabel = "DIR",
      description = "where real processes write their logs; default: a new folder")
  Path folder;

  /** The faults of the script file; without one, those that a seed generates. */
  List<Fault> faults(long runSeed, int processCount) {
    return script != null
        ? FaultScript.read(script, processCount)
        : generateFaults(runSeed, processCount, faultCount);
  }

  /** Generates this number of faults from a seed. */
  List<Fault> generateFaults(long runSeed, int processCount, int count) {
    List<Fault> generated = Fault.generate(processCount, seconds, count, runSeed);
    return folders ? Fault.withFolders(generated, copiedBack, runSeed) : generated;
  }

  /** Runs one fleet in virtual time or, with {@code --real}, as processes. */
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

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

  List<Fault> drawn(long of, int among) {
    return script != null ? FaultScript.read(script, among) : drawn(of, among, faultCount);
  }

  List<Fault> drawn(long of, int among, int number) {
    List<Fault> drawn = Fault.drawn(among, seconds, number, of);
    return folders ? Fault.withFolders(drawn, copiedBack, of) : drawn;
  }

  RunVerdict verdict(List<Fault> script, int among, long of)
      throws IOException, InterruptedException {
    if (!real) {
      VirtualFleet.Plan plan = VirtualFleet.Plan.of(among);
      return FleetRunner.playVirtual(folders ? plan.withFolders() : plan, script, seconds, of);
    }
    Path to =
        folder == null ? Files.createTempDirectory("fleet") : folder.resolve(Long.toString(of));
    RealFleetPlan plan = RealFleetPlan.of(among);
    return FleetRunner.playReal(folders ? plan.withFolders() : plan, script, of, to);
  }
}

package cobaltseam.fleet;

import cobaltseam.transport.PersistentStateCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Applies the faults of a script that affect real processes. {@link FaultRelays} apply those that
 * affect datagrams.
 */
final class FaultPlayer {
  private static final int SLOW_PERIOD_MS = 100;
  private final RealFleet fleet;
  private final List<Fault> faults;

  FaultPlayer(RealFleet fleet, List<Fault> faults) {
    this.fleet = fleet;
    this.faults = faults;
  }

  /**
   * Applies the faults of the script at their times. Returns after the last one has ended, with all
   * processes resumed.
   */
  void play() throws IOException, InterruptedException {
    double endS = faults.stream().mapToDouble(Fault::endS).max().orElse(0);
    Set<String> done = new LinkedHashSet<>();
    while (fleet.scriptTimeS() < endS + 0.01) {
      for (int i = 0; i < faults.size(); i++) {
        Fault fault = faults.get(i);
        for (int process : fault.processes()) {
          applyToProcess(fault, process, i + "/" + process, done);
        }
      }
      TimeUnit.MILLISECONDS.sleep(5);
    }
    fleet.resumeAll();
    fleet.writeScriptLog();
  }

  private void applyToProcess(Fault fault, int index, String key, Set<String> done)
      throws IOException, InterruptedException {
    boolean isActive = fleet.scriptTimeS() >= fault.atS() && fleet.scriptTimeS() < fault.endS();
    boolean isOver = fleet.scriptTimeS() >= fault.endS();
    switch (fault.kind()) {
      case PAUSE -> {
        if (isActive && done.add(key + "stop")) {
          fleet.suspend(index);
        } else if (isOver && done.add(key + "go") && fleet.isSuspended(index)) {
          fleet.resume(index);
        }
      }
      case SLOW -> {
        boolean pausesNow =
            isActive && fleet.scriptTimeS() * 1000 % SLOW_PERIOD_MS > SLOW_PERIOD_MS * fault.size();
        if (isActive && pausesNow != fleet.isSuspended(index)) {
          if (pausesNow) {
            fleet.suspend(index);
          } else {
            fleet.resume(index);
          }
        } else if (isOver && done.add(key + "go") && fleet.isSuspended(index)) {
          fleet.resume(index);
        }
      }
      case KILL, GONE, TERM, LOSE, STALE -> endAndRestart(fault, index, key, done);
      default -> {}
    }
  }

  private void endAndRestart(Fault fault, int index, String key, Set<String> done)
      throws IOException, InterruptedException {
    boolean isActive = fleet.scriptTimeS() >= fault.atS() && fleet.scriptTimeS() < fault.endS();
    boolean isOver = fleet.scriptTimeS() >= fault.endS();
    if (fault.kind() == Fault.Kind.STALE
        && fleet.scriptTimeS() >= fault.atS() / 2
        && done.add(key + "copy")) {
      copyIfExists(stateFile(index), fleet.earlierState(index));
    }
    if (isActive && done.add(key + "end") && fleet.isAlive(index)) {
      if (fault.kind() == Fault.Kind.TERM) {
        fleet.terminate(index);
      } else {
        fleet.kill(index);
      }
    } else if (isOver
        && fault.kind() != Fault.Kind.GONE
        && done.contains(key + "end")
        && done.add(key + "start")
        && !isPermanentlyKilled(index)) {
      if (fleet.isAlive(index) && fault.kind() == Fault.Kind.TERM) {
        fleet.destroy(index);
      }
      if (!fleet.isAlive(index)) {
        if (fault.kind() == Fault.Kind.LOSE) {
          Files.deleteIfExists(stateFile(index));
        } else if (fault.kind() == Fault.Kind.STALE) {
          copyIfExists(fleet.earlierState(index), stateFile(index));
        }
        fleet.start(index);
      }
    }
  }

  private static void copyIfExists(Path from, Path to) throws IOException {
    if (Files.exists(from)) {
      Files.createDirectories(to.getParent());
      Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
    }
  }

  private boolean isPermanentlyKilled(int index) {
    return faults.stream()
        .anyMatch(
            fault ->
                fault.kind() == Fault.Kind.GONE
                    && fault.processes().contains(index)
                    && fault.atS() <= fleet.scriptTimeS());
  }

  private Path stateFile(int index) {
    return fleet.stateFolder(index).resolve(PersistentStateCodec.FILE_NAME);
  }
}

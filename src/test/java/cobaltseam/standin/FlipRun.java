package cobaltseam.standin;

import cobaltseam.standin.AdvertLink.Fault;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.VirtualAddressRig.Plan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The long measurements of mastership on real processes: the outcomes of all requests over many
 * takeovers under loss, the duration of a takeover, how often loss alone causes one, the load of
 * the engines in a split, and the processor time by the number of virtual routers. bench/vrrp.sh
 * runs them; docs/measures-vrrp.md holds the results.
 */
public final class FlipRun {
  private FlipRun() {}

  /** Runs one measurement and prints its results as a Markdown table. */
  public static void main(String[] args) throws Exception {
    switch (args.length == 0 ? "" : args[0]) {
      case "flips" -> measureOutcomes(Integer.parseInt(args[1]), Integer.parseInt(args[2]));
      case "takeover" -> measureTakeover(Integer.parseInt(args[1]));
      case "false" -> countFalseTakeovers(Integer.parseInt(args[1]));
      case "split" -> measureSplit();
      case "routers" -> measureRouters();
      default -> {
        System.err.println(
            "usage: flips FLIPS CLIENTS | takeover TIMES | false SECONDS | split | routers");
        System.exit(2);
      }
    }
  }

  private static String readState(VirtualAddressRig rig, int index) throws IOException {
    try (StatementClient client = new StatementClient(rig.ownAddresses[index], 5000)) {
      return client.show("mastership").get("router_51/ipv4_state");
    }
  }

  private static void awaitState(VirtualAddressRig rig, int index, String state)
      throws IOException {
    for (long waitedMs = 0; !readState(rig, index).equals(state); waitedMs += 5) {
      if (waitedMs > 60_000) {
        throw new AssertionError(
            "dispatcher "
                + index
                + " did not become "
                + state
                + " within 60 s:\n"
                + rig.dispatchers[index].log());
      }
      VirtualAddressRig.sleep(5);
    }
  }

  /**
   * Causes takeovers by changed priorities, SIGTERM, SIGKILL and SIGSTOP in turn, at each loss
   * rate, and prints the outcomes of all requests.
   */
  private static void measureOutcomes(int takeovers, int clients) throws Exception {
    System.out.println(
        "| loss | takeovers | requests | answered | shed | failed | rejected | disconnected | timed out "
            + "| started twice | answered, not completed | rejected, started | shed, completed "
            + "| read without one final answer |");
    System.out.println(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (int percent : new int[] {0, 10, 30, 60}) {
      Path folder = Files.createTempDirectory("flips");
      try (VirtualAddressRig rig =
          new VirtualAddressRig(
              new Plan(4, 8, 8, 100, new int[] {150, 100}, true, "", percent), folder)) {
        rig.start();
        awaitState(rig, 0, "active");
        rig.startClients(clients, 0, 2500);
        Fault fault = new Fault(percent / 100.0, percent / 300.0, percent / 300.0, 150);
        for (AdvertLink link : rig.links) {
          link.setFault(fault);
        }
        long unaccounted = 0;
        for (int i = 0; i < takeovers; i++) {
          int newActive = i % 2 == 0 ? 1 : 0;
          int oldActive = 1 - newActive;
          VirtualAddressRig.sleep(400);
          switch (i % 8 / 2) {
            case 1 -> {
              unaccounted += countUnaccounted(rig.dispatchers[oldActive].terminate());
              awaitState(rig, newActive, "active");
              restart(rig, oldActive);
            }
            case 2 -> {
              rig.dispatchers[oldActive].kill();
              awaitState(rig, newActive, "active");
              restart(rig, oldActive);
            }
            case 3 -> {
              rig.dispatchers[oldActive].signal("STOP");
              awaitState(rig, newActive, "active");
              rig.dispatchers[oldActive].signal("CONT");
            }
            default -> {}
          }
          for (int index = 0; index < 2; index++) {
            rig.dispatchers[index].writeSettings(rig.toml(index, index == newActive ? 200 : 50));
            rig.dispatchers[index].signal("HUP");
          }
          awaitState(rig, newActive, "active");
        }
        rig.stopClients();
        for (DispatcherProcess dispatcher : rig.dispatchers) {
          unaccounted += countUnaccounted(dispatcher.terminate());
        }
        Map<Outcome, Integer> outcomes = rig.ledger.counts();
        System.out.printf(
            Locale.ROOT,
            "| %d%% | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |%n",
            percent,
            takeovers,
            rig.ledger.entries().size(),
            outcomes.get(Outcome.ANSWERED),
            outcomes.get(Outcome.SHED),
            outcomes.get(Outcome.FAILED),
            outcomes.get(Outcome.REJECTED),
            outcomes.get(Outcome.DISCONNECTED),
            outcomes.get(Outcome.TIMED_OUT),
            rig.repeatedRuns(),
            rig.answeredWithoutRun(),
            rig.rejectedButRun(),
            rig.shedAfterRun(),
            unaccounted);
      }
    }
  }

  private static void restart(VirtualAddressRig rig, int index)
      throws IOException, InterruptedException {
    int fromLine = rig.dispatchers[index].logLineCount();
    rig.dispatchers[index].start();
    rig.dispatchers[index].awaitLogLine("service.started", fromLine, 30_000);
  }

  /** Counts the requests that were read but have no final answer, and the internal faults. */
  private static long countUnaccounted(Map<String, Long> counters) {
    return counters.get("commands_taken")
        - counters.get("commands_answered")
        - counters.get("commands_shed")
        - counters.get("commands_failed")
        - counters.get("commands_departed")
        + counters.get("faults");
  }

  /** Measures the time from a fault of the active dispatcher to the first answer of the backup. */
  private static void measureTakeover(int times) throws Exception {
    System.out.println(
        "| interval | fault | takeovers | median, ms | 99th percentile, ms | maximum, ms | RFC bound, ms |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (int interval : new int[] {10, 100, 1000}) {
      int runs = interval == 1000 ? Math.max(5, times / 4) : times;
      for (String fault : new String[] {"KILL", "STOP", "TERM"}) {
        List<Double> takeoverMs = new ArrayList<>();
        Path folder = Files.createTempDirectory("takeover");
        try (VirtualAddressRig rig =
            new VirtualAddressRig(
                new Plan(1, 8, 1, interval, new int[] {150, 100}, true, "", 1), folder)) {
          rig.start();
          for (int i = 0; i < runs; i++) {
            awaitState(rig, 0, "active");
            awaitState(rig, 1, "backup");
            VirtualAddressRig.sleep(100);
            long since = System.nanoTime();
            rig.dispatchers[0].signal(fault);
            takeoverMs.add((rig.firstAnswer(1, 30_000) - since) / 1e6);
            if (fault.equals("STOP")) {
              rig.dispatchers[0].signal("CONT");
            }
            if (!fault.equals("STOP")) {
              rig.dispatchers[0].kill();
              restart(rig, 0);
            }
          }
        }
        Collections.sort(takeoverMs);
        double skewMs = interval * (256 - 100) / 256.0;
        System.out.printf(
            Locale.ROOT,
            "| %d ms | %s | %d | %.1f | %.1f | %.1f | %.1f |%n",
            interval,
            fault,
            runs,
            takeoverMs.get(takeoverMs.size() / 2),
            takeoverMs.get((int) Math.ceil(takeoverMs.size() * 0.99) - 1),
            takeoverMs.get(takeoverMs.size() - 1),
            fault.equals("TERM") ? skewMs : 3 * interval + skewMs);
      }
    }
  }

  /** Counts takeovers by the backup that only lost adverts cause, while the active one works. */
  private static void countFalseTakeovers(int seconds) throws Exception {
    System.out.println("| interval | loss | seconds | false takeovers | per hour |");
    System.out.println("| --- | --- | --- | --- | --- |");
    for (int interval : new int[] {10, 100, 1000}) {
      for (int percent : new int[] {0, 10, 30, 60}) {
        Path folder = Files.createTempDirectory("false");
        try (VirtualAddressRig rig =
            new VirtualAddressRig(Plan.of(interval, percent + interval), folder)) {
          rig.start();
          awaitState(rig, 0, "active");
          awaitState(rig, 1, "backup");
          int fromLine = rig.dispatchers[1].logLineCount();
          for (AdvertLink link : rig.links) {
            link.setFault(Fault.loss(percent / 100.0));
          }
          VirtualAddressRig.sleep(seconds * 1000L);
          long falseTakeovers =
              rig.dispatchers[1]
                  .log()
                  .lines()
                  .skip(fromLine)
                  .filter(line -> line.contains("mastership.taken"))
                  .count();
          System.out.printf(
              Locale.ROOT,
              "| %d ms | %d%% | %d | %d | %.0f |%n",
              interval,
              percent,
              seconds,
              falseTakeovers,
              falseTakeovers * 3600.0 / seconds);
        }
      }
    }
  }

  /**
   * Measures the largest number of requests that ran concurrently on an engine, relative to its
   * thread budget: without a split, in a split one way, in a split both ways, and after the split.
   */
  private static void measureSplit() throws Exception {
    System.out.println(
        "| adverts | active | maximum running on an engine | thread budget | ratio |");
    System.out.println("| --- | --- | --- | --- | --- |");
    Path folder = Files.createTempDirectory("split");
    int cores = 8;
    int threadBudget = 2 * cores;
    try (VirtualAddressRig rig =
        new VirtualAddressRig(
            new Plan(2, cores, 60, 100, new int[] {150, 100}, true, "", 5), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.reconnectsAtRandom = true;
      rig.startClients(160, 0, 2500);
      String[] phaseNames = {
        "forwarded both ways", "cut one way", "cut both ways", "forwarded again"
      };
      for (int phase = 0; phase < phaseNames.length; phase++) {
        rig.links[0].setCut(phase == 1 || phase == 2);
        rig.links[1].setCut(phase == 2);
        VirtualAddressRig.sleep(4000);
        rig.engines.forEach(EmulatedEngine::takeMaxRunning);
        VirtualAddressRig.sleep(4000);
        int maxRunning =
            rig.engines.stream().mapToInt(EmulatedEngine::takeMaxRunning).max().orElse(0);
        long active = 0;
        for (int i = 0; i < 2; i++) {
          active += readState(rig, i).equals("active") ? 1 : 0;
        }
        System.out.printf(
            Locale.ROOT,
            "| %s | %d | %d | %d | %.2f |%n",
            phaseNames[phase],
            active,
            maxRunning,
            threadBudget,
            (double) maxRunning / threadBudget);
      }
      rig.stopClients();
    }
  }

  /**
   * Measures the processor time of an otherwise idle dispatcher with no virtual router, with one,
   * and with 255, which is the maximum.
   */
  private static void measureRouters() throws Exception {
    System.out.println(
        "| virtual routers | interval | processor time, ms per second, active | backup |");
    System.out.println("| --- | --- | --- | --- |");
    for (int count : new int[] {0, 1, 255}) {
      for (int interval : count == 0 ? new int[] {1000} : new int[] {100, 1000}) {
        Path folder = Files.createTempDirectory("routers");
        Plan plan = new Plan(1, 8, 20, interval, new int[] {150, 100}, true, "", 1);
        try (VirtualAddressRig rig = new VirtualAddressRig(plan, folder)) {
          for (int i = 0; i < 2; i++) {
            StringBuilder settings = new StringBuilder(rig.toml(i, i == 0 ? 150 : 100));
            for (int router = 1; router < count; router++) {
              int port = 20_000 + router;
              settings.append(
                  "[[mastership.router]]\nid = %d\npriority = %d\ninterval_ms = %d\naddresses = [\"192.0.2.10\"]\nserve = \"%s:%d\"\n"
                      .formatted(
                          router >= 51 ? router + 1 : router,
                          i == 0 ? 150 : 100,
                          interval,
                          rig.serveAddresses[i].getAddress().getHostAddress(),
                          port));
            }
            rig.dispatchers[i].writeSettings(count == 0 ? "" : settings.toString());
          }
          rig.start();
          VirtualAddressRig.sleep(8000);
          double[] processorMs = new double[2];
          for (int i = 0; i < 2; i++) {
            processorMs[i] = -rig.dispatchers[i].processorMs();
          }
          VirtualAddressRig.sleep(10_000);
          for (int i = 0; i < 2; i++) {
            processorMs[i] += rig.dispatchers[i].processorMs();
          }
          System.out.printf(
              Locale.ROOT,
              "| %d | %d ms | %.1f | %.1f |%n",
              count,
              interval,
              processorMs[0] / 10,
              processorMs[1] / 10);
        }
      }
    }
  }
}

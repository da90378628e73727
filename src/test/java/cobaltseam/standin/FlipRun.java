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
 * The long measurements of mastership on real processes: the outcome of every request over many
 * take-overs under loss, how long a take-over takes, how often loss alone causes one, and the load
 * of engines in a split. bench/vrrp.sh runs them; docs/measures-vrrp.md holds the results.
 */
public final class FlipRun {
  private FlipRun() {}

  /** Runs one measurement and prints its table. */
  public static void main(String[] args) throws Exception {
    switch (args.length == 0 ? "" : args[0]) {
      case "flips" -> flips(Integer.parseInt(args[1]), Integer.parseInt(args[2]));
      case "takeover" -> takeover(Integer.parseInt(args[1]));
      case "false" -> falseTakeovers(Integer.parseInt(args[1]));
      case "split" -> split();
      case "routers" -> routers();
      default -> {
        System.err.println(
            "usage: flips FLIPS CLIENTS | takeover TIMES | false SECONDS | split | routers");
        System.exit(2);
      }
    }
  }

  private static String state(VirtualAddressRig rig, int index) throws IOException {
    try (StatementClient client = new StatementClient(rig.ownAddresses[index], 5000)) {
      return client.show("mastership").get("router_51/ipv4_state");
    }
  }

  private static void awaitState(VirtualAddressRig rig, int index, String state)
      throws IOException {
    for (long waited = 0; !state(rig, index).equals(state); waited += 5) {
      if (waited > 60_000) {
        throw new AssertionError("never " + state + ":\n" + rig.dispatchers[index].log());
      }
      VirtualAddressRig.sleep(5);
    }
  }

  /**
   * Causes take-overs by changed priorities, SIGTERM, SIGKILL and SIGSTOP in turn, at each loss,
   * and prints the outcomes of all requests.
   */
  private static void flips(int flips, int clients) throws Exception {
    System.out.println(
        "| loss | flips | commands | answered | shed | failed | turned away | cut | silent | ran twice | answered unrun "
            + "| turned away yet run | shed yet run | taken without one answer |");
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
        for (int flip = 0; flip < flips; flip++) {
          int up = flip % 2 == 0 ? 1 : 0;
          int down = 1 - up;
          VirtualAddressRig.sleep(400);
          switch (flip % 8 / 2) {
            case 1 -> {
              unaccounted += unaccounted(rig.dispatchers[down].terminate());
              awaitState(rig, up, "active");
              restart(rig, down);
            }
            case 2 -> {
              rig.dispatchers[down].kill();
              awaitState(rig, up, "active");
              restart(rig, down);
            }
            case 3 -> {
              rig.dispatchers[down].signal("STOP");
              awaitState(rig, up, "active");
              rig.dispatchers[down].signal("CONT");
            }
            default -> {}
          }
          for (int i = 0; i < 2; i++) {
            rig.dispatchers[i].writeSettings(rig.toml(i, i == up ? 200 : 50));
            rig.dispatchers[i].signal("HUP");
          }
          awaitState(rig, up, "active");
        }
        rig.stopClients();
        for (DispatcherProcess d : rig.dispatchers) {
          unaccounted += unaccounted(d.terminate());
        }
        Map<Outcome, Integer> seen = rig.ledger.counts();
        System.out.printf(
            Locale.ROOT,
            "| %d%% | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |%n",
            percent,
            flips,
            rig.ledger.entries().size(),
            seen.get(Outcome.ANSWERED),
            seen.get(Outcome.SHED),
            seen.get(Outcome.FAILED),
            seen.get(Outcome.REJECTED),
            seen.get(Outcome.DISCONNECTED),
            seen.get(Outcome.TIMED_OUT),
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
    int from = rig.dispatchers[index].logLineCount();
    rig.dispatchers[index].start();
    rig.dispatchers[index].awaitLogLine("service.started", from, 30_000);
  }

  private static long unaccounted(Map<String, Long> counters) {
    return counters.get("commands_taken")
        - counters.get("commands_answered")
        - counters.get("commands_shed")
        - counters.get("commands_failed")
        - counters.get("commands_departed")
        + counters.get("faults");
  }

  /** Measures the time from a fault of the active dispatcher to the first answer of the other. */
  private static void takeover(int times) throws Exception {
    System.out.println(
        "| interval | fault | times | median, ms | 99th percentile, ms | longest, ms | the RFC's bound, ms |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (int interval : new int[] {10, 100, 1000}) {
      int runs = interval == 1000 ? Math.max(5, times / 4) : times;
      for (String fault : new String[] {"KILL", "STOP", "TERM"}) {
        List<Double> ms = new ArrayList<>();
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
            ms.add((rig.firstAnswer(1, 30_000) - since) / 1e6);
            if (fault.equals("STOP")) {
              rig.dispatchers[0].signal("CONT");
            }
            if (!fault.equals("STOP")) {
              rig.dispatchers[0].kill();
              restart(rig, 0);
            }
          }
        }
        Collections.sort(ms);
        double skew = interval * (256 - 100) / 256.0;
        System.out.printf(
            Locale.ROOT,
            "| %d ms | %s | %d | %.1f | %.1f | %.1f | %.1f |%n",
            interval,
            fault,
            runs,
            ms.get(ms.size() / 2),
            ms.get((int) Math.ceil(ms.size() * 0.99) - 1),
            ms.get(ms.size() - 1),
            fault.equals("TERM") ? skew : 3 * interval + skew);
      }
    }
  }

  /** Counts take-overs by the backup while the active dispatcher works, at losses of adverts. */
  private static void falseTakeovers(int seconds) throws Exception {
    System.out.println("| interval | loss | seconds | take-overs without need | an hour |");
    System.out.println("| --- | --- | --- | --- | --- |");
    for (int interval : new int[] {10, 100, 1000}) {
      for (int percent : new int[] {0, 10, 30, 60}) {
        Path folder = Files.createTempDirectory("false");
        try (VirtualAddressRig rig =
            new VirtualAddressRig(Plan.of(interval, percent + interval), folder)) {
          rig.start();
          awaitState(rig, 0, "active");
          awaitState(rig, 1, "backup");
          int from = rig.dispatchers[1].logLineCount();
          for (AdvertLink link : rig.links) {
            link.setFault(Fault.loss(percent / 100.0));
          }
          VirtualAddressRig.sleep(seconds * 1000L);
          long claims =
              rig.dispatchers[1]
                  .log()
                  .lines()
                  .skip(from)
                  .filter(l -> l.contains("mastership.taken"))
                  .count();
          System.out.printf(
              Locale.ROOT,
              "| %d ms | %d%% | %d | %d | %.0f |%n",
              interval,
              percent,
              seconds,
              claims,
              claims * 3600.0 / seconds);
        }
      }
    }
  }

  /**
   * Measures the most requests that ran at once on an engine, against its thread budget: without a
   * split, in a split one way, and in a split both ways.
   */
  private static void split() throws Exception {
    System.out.println(
        "| adverts | active | most running on an engine | its whole figure | share |");
    System.out.println("| --- | --- | --- | --- | --- |");
    Path folder = Files.createTempDirectory("split");
    int cores = 8;
    int whole = 2 * cores;
    try (VirtualAddressRig rig =
        new VirtualAddressRig(
            new Plan(2, cores, 60, 100, new int[] {150, 100}, true, "", 5), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.reconnectsAtRandom = true;
      rig.startClients(160, 0, 2500);
      String[] names = {"pass both ways", "cut one way", "cut both ways", "pass again"};
      for (int phase = 0; phase < names.length; phase++) {
        rig.links[0].setCut(phase == 1 || phase == 2);
        rig.links[1].setCut(phase == 2);
        VirtualAddressRig.sleep(4000);
        rig.engines.forEach(EmulatedEngine::takeMaxRunning);
        VirtualAddressRig.sleep(4000);
        int most = rig.engines.stream().mapToInt(EmulatedEngine::takeMaxRunning).max().orElse(0);
        long active = 0;
        for (int i = 0; i < 2; i++) {
          active += state(rig, i).equals("active") ? 1 : 0;
        }
        System.out.printf(
            Locale.ROOT,
            "| %s | %d | %d | %d | %.2f |%n",
            names[phase],
            active,
            most,
            whole,
            (double) most / whole);
      }
      rig.stopClients();
    }
  }

  /**
   * Measures the processor time of an otherwise idle dispatcher with few and with the most virtual
   * routers.
   */
  private static void routers() throws Exception {
    System.out.println(
        "| virtual routers | interval | processor time, ms a second, active | standing by |");
    System.out.println("| --- | --- | --- | --- |");
    for (int number : new int[] {0, 1, 255}) {
      for (int interval : number == 0 ? new int[] {1000} : new int[] {100, 1000}) {
        Path folder = Files.createTempDirectory("routers");
        Plan plan = new Plan(1, 8, 20, interval, new int[] {150, 100}, true, "", 1);
        try (VirtualAddressRig rig = new VirtualAddressRig(plan, folder)) {
          for (int i = 0; i < 2; i++) {
            StringBuilder own = new StringBuilder(rig.toml(i, i == 0 ? 150 : 100));
            for (int r = 1; r < number; r++) {
              int port = 20_000 + r;
              own.append(
                  "[[mastership.router]]\nid = %d\npriority = %d\ninterval_ms = %d\naddresses = [\"192.0.2.10\"]\nserve = \"%s:%d\"\n"
                      .formatted(
                          r >= 51 ? r + 1 : r,
                          i == 0 ? 150 : 100,
                          interval,
                          rig.serveAddresses[i].getAddress().getHostAddress(),
                          port));
            }
            rig.dispatchers[i].writeSettings(number == 0 ? "" : own.toString());
          }
          rig.start();
          VirtualAddressRig.sleep(8000);
          double[] spent = new double[2];
          for (int i = 0; i < 2; i++) {
            spent[i] = -rig.dispatchers[i].processorMs();
          }
          VirtualAddressRig.sleep(10_000);
          for (int i = 0; i < 2; i++) {
            spent[i] += rig.dispatchers[i].processorMs();
          }
          System.out.printf(
              Locale.ROOT,
              "| %d | %d ms | %.1f | %.1f |%n",
              number,
              interval,
              spent[0] / 10,
              spent[1] / 10);
        }
      }
    }
  }
}

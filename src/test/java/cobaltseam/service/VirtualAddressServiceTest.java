package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.authentication.KeyRing;
import cobaltseam.standin.AdvertLink.Fault;
import cobaltseam.standin.RequestLedger.Outcome;
import cobaltseam.standin.StatementClient;
import cobaltseam.standin.VirtualAddressRig;
import cobaltseam.standin.VirtualAddressRig.Plan;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementAuthenticator;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two dispatchers that share a virtual address, as real processes, while advertisements between
 * them are lost, blocked and forged.
 */
class VirtualAddressServiceTest {
  private static final long TIMEOUT_MS = 30_000;

  /** The time without a statement after which a dispatcher closes a new connection. */
  private static final long FIRST_STATEMENT_TIMEOUT_MS = 5000;

  @TempDir Path folder;

  /**
   * Returns one value of SHOW cobaltseam.mastership, or the empty string. A dispatcher closes a
   * connection whose first statement does not arrive in time. If this process was suspended for
   * that long and the dispatcher counted the timeout, the value is requested again.
   */
  private static String shown(VirtualAddressRig rig, int index, String name) throws Exception {
    long startNanos = System.nanoTime();
    try (StatementClient client = new StatementClient(rig.ownAddresses[index], 5000)) {
      return client.show("mastership").getOrDefault(name, "");
    } catch (EOFException e) {
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      Map<String, String> counters = shownCounters(rig, index);
      boolean hasTimedOut = !counters.get("clients_timed_out").equals("0");
      assertTrue(
          elapsedMs >= FIRST_STATEMENT_TIMEOUT_MS && hasTimedOut,
          "the connection ended after " + elapsedMs + " ms, counters " + counters);
      return shown(rig, index, name);
    }
  }

  private static Map<String, String> shownCounters(VirtualAddressRig rig, int index)
      throws IOException {
    try (StatementClient client = new StatementClient(rig.ownAddresses[index], 5000)) {
      return client.show("counters");
    }
  }

  private static String state(VirtualAddressRig rig, int index) throws Exception {
    return shown(rig, index, "router_51/ipv4_state");
  }

  private static void awaitShown(VirtualAddressRig rig, int index, String name, String value)
      throws Exception {
    for (long waitedMs = 0; !shown(rig, index, name).equals(value); waitedMs += 20) {
      assertTrue(
          waitedMs < TIMEOUT_MS,
          name + " did not become " + value + ":\n" + rig.dispatchers[index].log());
      VirtualAddressRig.sleep(20);
    }
  }

  /** Waits for a state of the virtual router; if it is active, also until clients can connect. */
  private static void awaitState(VirtualAddressRig rig, int index, String state) throws Exception {
    awaitShown(rig, index, "router_51/ipv4_state", state);
    if (state.equals("active")) {
      awaitShown(rig, index, "router_51/ipv4_serves", rig.serveAddresses[index] + " open");
    }
  }

  /** Gives this dispatcher the higher priority, and waits until it is active. */
  private static void moveMastership(VirtualAddressRig rig, int to) throws Exception {
    for (int i = 0; i < 2; i++) {
      rig.dispatchers[i].writeSettings(rig.toml(i, i == to ? 200 : 50));
      rig.dispatchers[i].signal("HUP");
    }
    awaitState(rig, to, "active");
  }

  /** Checks that each admitted request has one final answer and that clients received it. */
  private static void assertAccountedFor(
      VirtualAddressRig rig, Map<String, Long> first, Map<String, Long> second) {
    Map<Outcome, Integer> outcomes = rig.ledger.counts();
    long admitted = first.get("commands_taken") + second.get("commands_taken");
    long ended = 0;
    for (String end : new String[] {"answered", "shed", "failed", "departed"}) {
      ended += first.get("commands_" + end) + second.get("commands_" + end);
    }
    assertEquals(admitted, ended, "every admitted request has one final answer");
    assertEquals(
        (long) outcomes.get(Outcome.ANSWERED),
        first.get("commands_answered") + second.get("commands_answered"),
        outcomes.toString());
    assertEquals(
        (long) outcomes.get(Outcome.SHED),
        first.get("commands_shed") + second.get("commands_shed"),
        outcomes.toString());
    assertEquals(
        (long) outcomes.get(Outcome.FAILED),
        first.get("commands_failed") + second.get("commands_failed"),
        outcomes.toString());
    assertEquals(0, outcomes.get(Outcome.TIMED_OUT));
    assertEquals(0, first.get("faults") + second.get("faults"));
    assertInvariantsHold(rig);
  }

  private static void assertInvariantsHold(VirtualAddressRig rig) {
    assertEquals(0, rig.repeatedRuns(), "no request that is not idempotent started twice");
    assertEquals(0, rig.answeredWithoutRun(), "every answered request was completed by an engine");
    assertEquals(0, rig.rejectedButRun(), "no request that a backup rejected ran");
    assertEquals(0, rig.shedAfterRun(), "no request that is not idempotent was shed after it ran");
  }

  /**
   * Mastership changes under load while advertisements are lost, duplicated and delayed: each
   * admitted request still has exactly one final answer.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.1, 0.3, 0.6})
  void everyAdmittedRequestIsAccountedForUnderLoss(double loss) throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 7), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.links[0].setFault(new Fault(loss, loss / 3, loss / 3, 150));
      rig.links[1].setFault(new Fault(loss, loss / 3, loss / 3, 150));
      rig.startClients(8, 1, 2500);
      for (int change = 0; change < 3; change++) {
        VirtualAddressRig.sleep(300);
        moveMastership(rig, change % 2 == 0 ? 1 : 0);
      }
      rig.links[0].setFault(Fault.NONE);
      rig.links[1].setFault(Fault.NONE);
      awaitState(rig, 1, "active");
      awaitState(rig, 0, "backup");
      rig.stopClients();
      assertTrue(rig.ledger.counts().get(Outcome.ANSWERED) > 100, rig.ledger.counts().toString());
      assertAccountedFor(rig, rig.dispatchers[0].terminate(), rig.dispatchers[1].terminate());
    }
  }

  @Test
  void peerTakesOverFromKilledDispatcherAndFromResigningOne() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(200, 8), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.startClients(6, 1, 2500);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      rig.dispatchers[0].kill();
      long killedAt = System.nanoTime();
      rig.dispatchers[1].awaitLogLine("mastership.taken", 0, TIMEOUT_MS);
      rig.awaitAnswer(killedAt, TIMEOUT_MS);
      int fromLine = rig.dispatchers[0].logLineCount();
      rig.dispatchers[0].start();
      // The restarted dispatcher has the higher priority and becomes active again.
      rig.dispatchers[0].awaitLogLine("mastership.serves", fromLine, TIMEOUT_MS);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      fromLine = rig.dispatchers[1].logLineCount();
      rig.dispatchers[0].terminate();
      rig.dispatchers[1].awaitLogLine("mastership.taken", fromLine, TIMEOUT_MS);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      rig.stopClients();
      assertInvariantsHold(rig);
    }
  }

  @Test
  void resumedDispatcherIsFencedBeforeItAdmitsOrForwardsRequests() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 9), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.startClients(6, 1, 2000);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      rig.dispatchers[0].signal("STOP");
      rig.dispatchers[1].awaitLogLine("mastership.taken", 0, TIMEOUT_MS);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      int fromLine = rig.dispatchers[0].logLineCount();
      rig.dispatchers[0].signal("CONT");
      int left = rig.dispatchers[0].awaitLogLine("mastership.left", fromLine, TIMEOUT_MS);
      assertTrue(
          rig.dispatchers[0].log().lines().toList().get(left - 1).contains("fenced"),
          rig.dispatchers[0].log());
      // The resumed dispatcher becomes active again, since its priority is higher.
      rig.dispatchers[0].awaitLogLine("mastership.taken", left, TIMEOUT_MS);
      rig.stopClients();
      assertInvariantsHold(rig);
    }
  }

  @Test
  void bothDispatchersServeInASplitAndOneBecomesBackupWhenItHeals() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 10), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.startClients(8, 1, 2500);
      rig.links[0].setCut(true);
      awaitState(rig, 1, "active");
      VirtualAddressRig.sleep(200);
      // The dispatcher that receives the other's advertisements shares the engines with it; the
      // one that receives none does not yet.
      awaitShown(rig, 0, "engines_shared_over", "2.00");
      rig.links[1].setCut(true);
      assertEquals("active", state(rig, 0));
      rig.links[0].setCut(false);
      rig.links[1].setCut(false);
      awaitState(rig, 1, "backup");
      assertEquals("active", state(rig, 0));
      rig.stopClients();
      assertAccountedFor(rig, rig.dispatchers[0].terminate(), rig.dispatchers[1].terminate());
    }
  }

  /** Engines are slow and have a small capacity, so that requests are both in flight and queued. */
  @Test
  void lossOfMastershipShedsQueuedRequestsAtOnceAndCompletesThoseInFlight() throws Exception {
    try (VirtualAddressRig rig =
        new VirtualAddressRig(
            new Plan(1, 2, 800, 100, new int[] {150, 100}, true, "", 12), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      List<Thread> clients = new ArrayList<>();
      Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
      Map<String, Long> endedAtNanos = new ConcurrentHashMap<>();
      for (int i = 0; i < 6; i++) {
        String call = "00000000000000b" + i;
        String profile = i % 2 == 0 ? "look" : "once";
        clients.add(
            new Thread(
                () -> {
                  try (StatementClient client = new StatementClient(rig.serveAddresses[0], 8000)) {
                    outcomes.put(call, client.execute(call, profile, 3000, 800));
                    endedAtNanos.put(call, System.nanoTime());
                  } catch (IOException e) {
                    outcomes.put(call, Outcome.UNSENT);
                  }
                }));
        clients.get(i).start();
      }
      for (long waitedMs = 0; rig.engines.get(0).runningCount() < 2; waitedMs += 5) {
        assertTrue(waitedMs < TIMEOUT_MS, "fewer than two requests are in flight");
        VirtualAddressRig.sleep(5);
      }
      VirtualAddressRig.sleep(50);
      moveMastership(rig, 1);
      for (Thread client : clients) {
        client.join(TIMEOUT_MS);
      }
      long answered =
          outcomes.values().stream().filter(outcome -> outcome == Outcome.ANSWERED).count();
      long shed = outcomes.values().stream().filter(outcome -> outcome == Outcome.SHED).count();
      assertTrue(answered >= 2, outcomes.toString());
      assertEquals(6, answered + shed, outcomes.toString());
      long lastShedAt =
          outcomes.keySet().stream()
              .filter(call -> outcomes.get(call) == Outcome.SHED)
              .mapToLong(endedAtNanos::get)
              .max()
              .orElse(0);
      long lastAnsweredAt =
          outcomes.keySet().stream()
              .filter(call -> outcomes.get(call) == Outcome.ANSWERED)
              .mapToLong(endedAtNanos::get)
              .max()
              .orElse(0);
      assertTrue(lastShedAt < lastAnsweredAt, "queued requests do not wait for those in flight");
      Map<String, Long> counters = rig.dispatchers[0].terminate();
      assertEquals(6, counters.get("commands_taken"));
      assertEquals(shed, counters.get("commands_shed"));
    }
  }

  @Test
  void dispatcherThatCannotBindItsAddressLetsPeerServe() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 13), folder)) {
      try (ServerSocket occupant = new ServerSocket()) {
        occupant.bind(rig.serveAddresses[0]);
        rig.start();
        rig.dispatchers[0].awaitLogLine("mastership.bind_failed", 0, TIMEOUT_MS);
        rig.dispatchers[0].awaitLogLine("unable", 0, TIMEOUT_MS);
        awaitState(rig, 1, "active");
        try (StatementClient client = connect(rig.serveAddresses[1])) {
          assertEquals(Outcome.ANSWERED, client.execute("00000000000000d0", "look", 2000));
        }
      }
      // The address is free again: the dispatcher retries after its backoff and becomes active.
      rig.dispatchers[0].awaitLogLine("mastership.serves", 0, TIMEOUT_MS);
      awaitState(rig, 1, "backup");
    }
  }

  /**
   * Guards against an advertisement that is sent before the own service address is bound: the peer
   * would stop serving although this dispatcher cannot serve yet.
   */
  @Test
  void dispatcherThatCannotBindItsAddressDoesNotEndServiceOfPeer() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 16), folder);
        ServerSocket occupant = new ServerSocket()) {
      occupant.bind(rig.serveAddresses[0]);
      rig.dispatchers[1].start();
      rig.dispatchers[1].awaitLogLine(" serves on ", 0, TIMEOUT_MS);
      awaitState(rig, 1, "active");
      rig.dispatchers[0].start();
      rig.dispatchers[0].awaitLogLine("mastership.bind_failed", 0, TIMEOUT_MS);
      rig.dispatchers[0].awaitLogLine("unable", 0, TIMEOUT_MS);
      assertTrue(!rig.dispatchers[1].log().contains("mastership.left"), rig.dispatchers[1].log());
      assertEquals("active", state(rig, 1));
    }
  }

  @Test
  void forgedReplayedAndInvalidAdvertisementsAreRejectedAndKeysRotate() throws Exception {
    String authentication =
        "[mastership.seal]\nkeys = \"keys\"\nwrite_key = %d\nclock_difference_ms = 400\n";
    Plan plan =
        new Plan(1, 8, 20, 100, new int[] {150, 100}, true, authentication.formatted(1), 14);
    try (VirtualAddressRig rig = new VirtualAddressRig(plan, folder)) {
      // Authentication covers the addresses of a datagram, and a link changes them. So the test
      // signs with the addresses that the receiver sees.
      for (int i = 0; i < 2; i++) {
        Files.writeString(
            rig.dispatchers[i].folder().toPath().resolve("keys"), "1 " + "ab".repeat(16) + "\n");
      }
      KeyRing keys = KeyRing.parse("1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16));
      Advertisement advert =
          new Advertisement(51, 250, 10, List.of(Addresses.parse("192.0.2.10").orElseThrow()));
      InetAddress peer = rig.advertSourceAddress(1);
      InetAddress self = rig.advertListenAddress(0).getAddress();
      byte[] plain = AdvertisementCodec.encode(advert, peer, self, ChecksumCoverage.MESSAGE);
      rig.start();
      awaitState(rig, 0, "active");
      // An advertisement signed with the right key in the peer's name is accepted.
      rig.links[1].sendToReceiver(
          AdvertisementAuthenticator.sign(plain, peer, self, keys, 1, nowUs()));
      rig.dispatchers[0].awaitLogLine("higher_heard", 0, TIMEOUT_MS);
      awaitState(rig, 0, "active");
      int fromLine = rig.dispatchers[0].logLineCount();
      byte[] stale =
          AdvertisementAuthenticator.sign(plain, peer, self, keys, 1, nowUs() - 1_500_000);
      sendInvalid(rig, plain, stale, keys);
      awaitAtLeast(rig, "adverts_refused_unsealed", 100);
      awaitAtLeast(rig, "adverts_refused_stale", 100);
      awaitAtLeast(rig, "adverts_refused_key_unknown", 100);
      assertEquals("active", state(rig, 0), rig.dispatchers[0].log());
      assertTrue(
          rig.dispatchers[0]
              .log()
              .lines()
              .skip(fromLine)
              .noneMatch(l -> l.contains("higher_heard")));
      rotateKeys(rig, plain, keys);
      // An invalid key file changes nothing.
      Files.writeString(rig.dispatchers[0].folder().toPath().resolve("keys"), "2 short");
      int reloadFromLine = rig.dispatchers[0].logLineCount();
      rig.dispatchers[0].signal("HUP");
      rig.dispatchers[0].awaitLogLine("configuration.unusable", reloadFromLine, TIMEOUT_MS);
      assertEquals("active", state(rig, 0));
    }
  }

  /** Sends unauthenticated, stale, unknown-key and random datagrams in the peer's name. */
  private static void sendInvalid(VirtualAddressRig rig, byte[] plain, byte[] stale, KeyRing keys)
      throws Exception {
    InetAddress peer = rig.advertSourceAddress(1);
    InetAddress self = rig.advertListenAddress(0).getAddress();
    SplittableRandom random = new SplittableRandom(14);
    for (int i = 0; i < 2000; i++) {
      byte[] bytes =
          switch (i % 4) {
            case 0 -> plain;
            case 1 -> stale;
            case 2 -> AdvertisementAuthenticator.sign(plain, peer, self, keys, 2, nowUs());
            default -> {
              byte[] noise = new byte[random.nextInt(5000)];
              random.nextBytes(noise);
              yield noise;
            }
          };
      rig.links[1].sendToReceiver(bytes);
    }
  }

  /** Adds a second key by SIGHUP, then removes the first one. */
  private static void rotateKeys(VirtualAddressRig rig, byte[] plain, KeyRing keys)
      throws Exception {
    InetAddress peer = rig.advertSourceAddress(1);
    InetAddress self = rig.advertListenAddress(0).getAddress();
    for (String file :
        new String[] {"1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16), "2 " + "cd".repeat(16)}) {
      Files.writeString(rig.dispatchers[0].folder().toPath().resolve("keys"), file);
      rig.dispatchers[0].writeSettings(rig.toml(0, 150).replace("write_key = 1", "write_key = 2"));
      int fromLine = rig.dispatchers[0].logLineCount();
      rig.dispatchers[0].signal("HUP");
      rig.dispatchers[0].awaitLogLine("configuration.read", fromLine, TIMEOUT_MS);
      fromLine = rig.dispatchers[0].logLineCount();
      rig.links[1].sendToReceiver(
          AdvertisementAuthenticator.sign(plain, peer, self, keys, 2, nowUs()));
      rig.dispatchers[0].awaitLogLine("higher_heard", fromLine, TIMEOUT_MS);
      awaitState(rig, 0, "active");
    }
  }

  private static long nowUs() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  private static void awaitAtLeast(VirtualAddressRig rig, String name, int minimum)
      throws Exception {
    for (long waitedMs = 0; Integer.parseInt("0" + shown(rig, 0, name)) < minimum; waitedMs += 20) {
      assertTrue(waitedMs < TIMEOUT_MS, name + " stays below " + minimum);
      VirtualAddressRig.sleep(20);
    }
  }

  @Test
  void silentEndpointWatchLowersPriorityWithoutMovingMastership() throws Exception {
    Plan plan =
        new Plan(
            1,
            8,
            20,
            100,
            new int[] {150, 140},
            true,
            """
                [mastership.fitness]
                sustained_ms = 100
                calm_ms = 500
                bus_silent = {bad_from = 1.0, well_below = 0.8, steps = 50}
                """,
            15);
    try (VirtualAddressRig rig = new VirtualAddressRig(plan, folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.discovery.setSilent(true);
      rig.dispatchers[0].awaitLogLine("mastership.fitness", 0, TIMEOUT_MS);
      rig.dispatchers[1].awaitLogLine("mastership.fitness", 0, TIMEOUT_MS);
      awaitShown(rig, 0, "fitness_steps", "50 [bus_silent]");
      rig.discovery.setSilent(false);
      awaitShown(rig, 0, "fitness_steps", "0 []");
      awaitState(rig, 0, "active");
    }
  }

  /** Connects to an address, with retries until a dispatcher listens on it. */
  static StatementClient connect(InetSocketAddress to) {
    for (long waitedMs = 0; ; waitedMs += 10) {
      try {
        return new StatementClient(to, 8000);
      } catch (IOException e) {
        assertTrue(waitedMs < TIMEOUT_MS, "no dispatcher listens on " + to);
        VirtualAddressRig.sleep(10);
      }
    }
  }

  @Test
  void backupRejectsRequestsWithRetryAfterTime() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 11), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      try (StatementClient client = new StatementClient(rig.ownAddresses[1], 5000)) {
        assertEquals(Outcome.REJECTED, client.execute("00000000000000aa", "look", 2000));
        assertTrue(client.lastError().contains("pushback=400"), client.lastError());
        assertEquals("backup", client.show("mastership").get("router_51/ipv4_state"));
        assertEquals("0", client.show("counters").get("commands_taken"));
      }
      try (StatementClient client = new StatementClient(rig.ownAddresses[0], 5000)) {
        assertEquals(Outcome.ANSWERED, client.execute("00000000000000ab", "look", 2000));
      }
    }
  }
}

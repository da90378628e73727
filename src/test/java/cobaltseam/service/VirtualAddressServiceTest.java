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
 * them are lost, cut and forged.
 */
class VirtualAddressServiceTest {
  private static final long TIMEOUT_MS = 30_000;

  /** After so long without a statement a dispatcher ends a new connection. */
  private static final long FIRST_STATEMENT_MS = 2000;

  @TempDir Path folder;

  /**
   * One value that a dispatcher shows. A dispatcher may end a connection without a first statement
   * in time: if this process stood still for that long, and the dispatcher counted it, it is asked
   * again.
   */
  private static String shown(VirtualAddressRig rig, int index, String name) throws Exception {
    long askedAt = System.nanoTime();
    try (StatementClient client = new StatementClient(rig.owns[index], 5000)) {
      return client.show("mastership").getOrDefault(name, "");
    } catch (EOFException e) {
      long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedAt);
      Map<String, String> counters = shownCounters(rig, index);
      boolean hasTimedOut = !counters.get("clients_timed_out").equals("0");
      assertTrue(
          tookMs >= FIRST_STATEMENT_MS && hasTimedOut,
          "the connection ended after " + tookMs + " ms, counters " + counters);
      return shown(rig, index, name);
    }
  }

  private static Map<String, String> shownCounters(VirtualAddressRig rig, int index)
      throws IOException {
    try (StatementClient client = new StatementClient(rig.owns[index], 5000)) {
      return client.show("counters");
    }
  }

  private static String state(VirtualAddressRig rig, int index) throws Exception {
    return shown(rig, index, "router_51/ipv4_state");
  }

  private static void awaitShown(VirtualAddressRig rig, int index, String name, String value)
      throws Exception {
    for (long waited = 0; !shown(rig, index, name).equals(value); waited += 20) {
      assertTrue(
          waited < TIMEOUT_MS, name + " is never " + value + ":\n" + rig.dispatchers[index].log());
      VirtualAddressRig.sleep(20);
    }
  }

  /** Waits for a state; where that is active, also until clients can connect. */
  private static void awaitState(VirtualAddressRig rig, int index, String state) throws Exception {
    awaitShown(rig, index, "router_51/ipv4_state", state);
    if (state.equals("active")) {
      awaitShown(rig, index, "router_51/ipv4_serves", rig.serves[index] + " open");
    }
  }

  /** Gives the other dispatcher the higher priority, and waits until it is active. */
  private static void moveMastership(VirtualAddressRig rig, int to) throws Exception {
    for (int i = 0; i < 2; i++) {
      rig.dispatchers[i].writeSettings(rig.own(i, i == to ? 200 : 50));
      rig.dispatchers[i].signal("HUP");
    }
    awaitState(rig, to, "active");
  }

  /** Checks that each admitted request has one final answer, and no other request has one. */
  private static void assertAccountedFor(
      VirtualAddressRig rig, Map<String, Long> one, Map<String, Long> other) {
    Map<Outcome, Integer> seen = rig.ledger.counts();
    long admitted = one.get("commands_taken") + other.get("commands_taken");
    long answered = 0;
    for (String end : new String[] {"answered", "shed", "failed", "departed"}) {
      answered += one.get("commands_" + end) + other.get("commands_" + end);
    }
    assertEquals(admitted, answered, "every command taken has one final answer");
    assertEquals(
        (long) seen.get(Outcome.ANSWERED),
        one.get("commands_answered") + other.get("commands_answered"),
        seen.toString());
    assertEquals(
        (long) seen.get(Outcome.SHED),
        one.get("commands_shed") + other.get("commands_shed"),
        seen.toString());
    assertEquals(
        (long) seen.get(Outcome.FAILED),
        one.get("commands_failed") + other.get("commands_failed"),
        seen.toString());
    assertEquals(0, seen.get(Outcome.SILENT));
    assertEquals(0, one.get("faults") + other.get("faults"));
    assertNoRuleBroken(rig);
  }

  private static void assertNoRuleBroken(VirtualAddressRig rig) {
    assertEquals(0, rig.ranTwice(), "no effect twice");
    assertEquals(0, rig.answeredUnrun(), "answered is what an engine ran");
    assertEquals(0, rig.turnedAwayRun(), "nothing is taken by a backup");
    assertEquals(0, rig.shedThoughRun(), "shed only where harmless");
  }

  /** Whoever is active, and however often that changes, each request has exactly one answer. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.1, 0.3, 0.6})
  void everyAdmittedRequestIsAccountedForUnderLoss(double loss) throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 7), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.links[0].setFault(new Fault(loss, loss / 3, loss / 3, 150));
      rig.links[1].setFault(new Fault(loss, loss / 3, loss / 3, 150));
      rig.startClients(8, 1, 2500);
      for (int flip = 0; flip < 3; flip++) {
        VirtualAddressRig.sleep(300);
        moveMastership(rig, flip % 2 == 0 ? 1 : 0);
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
  void aPeerTakesOverFromAKilledDispatcherAndFromOneThatResigns() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(200, 8), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.startClients(6, 1, 2500);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      rig.dispatchers[0].kill();
      long killed = System.nanoTime();
      rig.dispatchers[1].await("mastership.taken", 0, TIMEOUT_MS);
      rig.awaitAnswer(killed, TIMEOUT_MS);
      int from = rig.dispatchers[0].lines();
      rig.dispatchers[0].start();
      // After its restart it has the higher priority again.
      rig.dispatchers[0].await("mastership.serves", from, TIMEOUT_MS);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      from = rig.dispatchers[1].lines();
      rig.dispatchers[0].terminate();
      rig.dispatchers[1].await("mastership.taken", from, TIMEOUT_MS);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      rig.stopClients();
      assertNoRuleBroken(rig);
    }
  }

  @Test
  void aPausedDispatcherStepsBackBeforeItAdmitsOrForwards() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 9), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.startClients(6, 1, 2000);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      rig.dispatchers[0].signal("STOP");
      rig.dispatchers[1].await("mastership.taken", 0, TIMEOUT_MS);
      rig.awaitAnswer(System.nanoTime(), TIMEOUT_MS);
      int from = rig.dispatchers[0].lines();
      rig.dispatchers[0].signal("CONT");
      int left = rig.dispatchers[0].await("mastership.left", from, TIMEOUT_MS);
      assertTrue(
          rig.dispatchers[0].log().lines().toList().get(left - 1).contains("fenced"),
          rig.dispatchers[0].log());
      // It becomes active again, since its priority is higher.
      rig.dispatchers[0].await("mastership.taken", left, TIMEOUT_MS);
      rig.stopClients();
      assertNoRuleBroken(rig);
    }
  }

  @Test
  void inASplitBothServeAndOneYieldsWhenItHeals() throws Exception {
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

  /** Slow engines of small capacity: some requests are in flight and some are queued. */
  @Test
  void onReleaseQueuedRequestsAreShedAtOnceAndThoseInFlightComplete() throws Exception {
    try (VirtualAddressRig rig =
        new VirtualAddressRig(
            new Plan(1, 2, 800, 100, new int[] {150, 100}, true, "", 12), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      List<Thread> clients = new ArrayList<>();
      Map<String, Outcome> ends = new ConcurrentHashMap<>();
      Map<String, Long> ended = new ConcurrentHashMap<>();
      for (int i = 0; i < 6; i++) {
        String call = "00000000000000b" + i;
        String profile = i % 2 == 0 ? "look" : "once";
        clients.add(
            new Thread(
                () -> {
                  try (StatementClient client = new StatementClient(rig.serves[0], 8000)) {
                    ends.put(call, client.execute(call, profile, 3000, 800));
                    ended.put(call, System.nanoTime());
                  } catch (IOException e) {
                    ends.put(call, Outcome.UNSENT);
                  }
                }));
        clients.get(i).start();
      }
      for (long waited = 0; rig.engines.get(0).running() < 2; waited += 5) {
        assertTrue(waited < TIMEOUT_MS);
        VirtualAddressRig.sleep(5);
      }
      VirtualAddressRig.sleep(50);
      moveMastership(rig, 1);
      for (Thread client : clients) {
        client.join(TIMEOUT_MS);
      }
      long answered = ends.values().stream().filter(e -> e == Outcome.ANSWERED).count();
      long shed = ends.values().stream().filter(e -> e == Outcome.SHED).count();
      assertTrue(answered >= 2, ends.toString());
      assertEquals(6, answered + shed, ends.toString());
      long lastShed =
          ends.keySet().stream()
              .filter(c -> ends.get(c) == Outcome.SHED)
              .mapToLong(ended::get)
              .max()
              .orElse(0);
      long lastAnswered =
          ends.keySet().stream()
              .filter(c -> ends.get(c) == Outcome.ANSWERED)
              .mapToLong(ended::get)
              .max()
              .orElse(0);
      assertTrue(lastShed < lastAnswered, "what is held is not kept waiting for what is out");
      Map<String, Long> counters = rig.dispatchers[0].terminate();
      assertEquals(6, counters.get("commands_taken"));
      assertEquals(shed, counters.get("commands_shed"));
    }
  }

  @Test
  void aDispatcherThatCantBindItsAddressLetsAnotherServe() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 13), folder)) {
      try (ServerSocket holder = new ServerSocket()) {
        holder.bind(rig.serves[0]);
        rig.start();
        rig.dispatchers[0].await("mastership.bind_failed", 0, TIMEOUT_MS);
        rig.dispatchers[0].await("unable", 0, TIMEOUT_MS);
        awaitState(rig, 1, "active");
        try (StatementClient client = connect(rig.serves[1])) {
          assertEquals(Outcome.ANSWERED, client.execute("00000000000000d0", "look", 2000));
        }
      }
      // The address is free again: the dispatcher retries after its backoff, and serves.
      rig.dispatchers[0].await("mastership.serves", 0, TIMEOUT_MS);
      awaitState(rig, 1, "backup");
    }
  }

  /** Guards against an advertisement that ends the service of another before this one can begin. */
  @Test
  void aDispatcherThatCantBindItsAddressEndsNobodysService() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 16), folder);
        ServerSocket holder = new ServerSocket()) {
      holder.bind(rig.serves[0]);
      rig.dispatchers[1].start();
      rig.dispatchers[1].await(" serves on ", 0, TIMEOUT_MS);
      awaitState(rig, 1, "active");
      rig.dispatchers[0].start();
      rig.dispatchers[0].await("mastership.bind_failed", 0, TIMEOUT_MS);
      rig.dispatchers[0].await("unable", 0, TIMEOUT_MS);
      assertTrue(!rig.dispatchers[1].log().contains("mastership.left"), rig.dispatchers[1].log());
      assertEquals("active", state(rig, 1));
    }
  }

  @Test
  void forgedReplayedAndInvalidAdvertisementsAreRejectedAndKeysRotate() throws Exception {
    String seal = "[mastership.seal]\nkeys = \"keys\"\nwrite_key = %d\nclock_difference_ms = 400\n";
    Plan plan = new Plan(1, 8, 20, 100, new int[] {150, 100}, true, seal.formatted(1), 14);
    try (VirtualAddressRig rig = new VirtualAddressRig(plan, folder)) {
      // Authentication covers the datagram's addresses, which a link changes.
      for (int i = 0; i < 2; i++) {
        Files.writeString(
            rig.dispatchers[i].folder().toPath().resolve("keys"), "1 " + "ab".repeat(16) + "\n");
      }
      KeyRing keys = KeyRing.parse("1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16));
      Advertisement advert =
          new Advertisement(51, 250, 10, List.of(Addresses.parse("192.0.2.10").orElseThrow()));
      InetAddress peer = rig.seenAs(1);
      InetAddress self = rig.listens(0).getAddress();
      byte[] plain = AdvertisementCodec.encode(advert, peer, self, ChecksumCoverage.MESSAGE);
      rig.start();
      awaitState(rig, 0, "active");
      // An advertisement signed with the right key in the peer's name is accepted.
      rig.links[1].sendToReceiver(
          AdvertisementAuthenticator.sign(plain, peer, self, keys, 1, now()));
      rig.dispatchers[0].await("higher_heard", 0, TIMEOUT_MS);
      awaitState(rig, 0, "active");
      int from = rig.dispatchers[0].lines();
      byte[] stale = AdvertisementAuthenticator.sign(plain, peer, self, keys, 1, now() - 1_500_000);
      sendInvalid(rig, plain, stale, keys);
      awaitAbove(rig, "adverts_refused_unsealed", 100);
      awaitAbove(rig, "adverts_refused_stale", 100);
      awaitAbove(rig, "adverts_refused_key_unknown", 100);
      assertEquals("active", state(rig, 0), rig.dispatchers[0].log());
      assertTrue(
          rig.dispatchers[0].log().lines().skip(from).noneMatch(l -> l.contains("higher_heard")));
      rotateKeys(rig, plain, keys);
      // An invalid key file changes nothing.
      Files.writeString(rig.dispatchers[0].folder().toPath().resolve("keys"), "2 short");
      int at = rig.dispatchers[0].lines();
      rig.dispatchers[0].signal("HUP");
      rig.dispatchers[0].await("configuration.unusable", at, TIMEOUT_MS);
      assertEquals("active", state(rig, 0));
    }
  }

  /** Sends unauthenticated, stale, unknown-key and random datagrams in the peer's name. */
  private static void sendInvalid(VirtualAddressRig rig, byte[] plain, byte[] stale, KeyRing keys)
      throws Exception {
    InetAddress peer = rig.seenAs(1);
    InetAddress self = rig.listens(0).getAddress();
    SplittableRandom random = new SplittableRandom(14);
    for (int i = 0; i < 2000; i++) {
      byte[] bytes =
          switch (i % 4) {
            case 0 -> plain;
            case 1 -> stale;
            case 2 -> AdvertisementAuthenticator.sign(plain, peer, self, keys, 2, now());
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
    InetAddress peer = rig.seenAs(1);
    InetAddress self = rig.listens(0).getAddress();
    for (String file :
        new String[] {"1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16), "2 " + "cd".repeat(16)}) {
      Files.writeString(rig.dispatchers[0].folder().toPath().resolve("keys"), file);
      rig.dispatchers[0].writeSettings(rig.own(0, 150).replace("write_key = 1", "write_key = 2"));
      int at = rig.dispatchers[0].lines();
      rig.dispatchers[0].signal("HUP");
      rig.dispatchers[0].await("configuration.read", at, TIMEOUT_MS);
      at = rig.dispatchers[0].lines();
      rig.links[1].sendToReceiver(
          AdvertisementAuthenticator.sign(plain, peer, self, keys, 2, now()));
      rig.dispatchers[0].await("higher_heard", at, TIMEOUT_MS);
      awaitState(rig, 0, "active");
    }
  }

  private static long now() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  private static void awaitAbove(VirtualAddressRig rig, String name, int least) throws Exception {
    for (long waited = 0; Integer.parseInt("0" + shown(rig, 0, name)) < least; waited += 20) {
      assertTrue(waited < TIMEOUT_MS, name);
      VirtualAddressRig.sleep(20);
    }
  }

  @Test
  void aSilentEndpointWatchLowersPriorityWithoutMovingMastership() throws Exception {
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
      rig.bus.setSilent(true);
      rig.dispatchers[0].await("mastership.fitness", 0, TIMEOUT_MS);
      rig.dispatchers[1].await("mastership.fitness", 0, TIMEOUT_MS);
      awaitShown(rig, 0, "fitness_steps", "50 [bus_silent]");
      rig.bus.setSilent(false);
      awaitShown(rig, 0, "fitness_steps", "0 []");
      awaitState(rig, 0, "active");
    }
  }

  /** Connects as soon as something listens at an address. */
  static StatementClient connect(InetSocketAddress to) {
    for (long waited = 0; ; waited += 10) {
      try {
        return new StatementClient(to, 8000);
      } catch (IOException e) {
        assertTrue(waited < TIMEOUT_MS, "nothing listens on " + to);
        VirtualAddressRig.sleep(10);
      }
    }
  }

  @Test
  void aBackupRejectsRequestsWithARetryAfterTime() throws Exception {
    try (VirtualAddressRig rig = new VirtualAddressRig(Plan.of(100, 11), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      try (StatementClient client = new StatementClient(rig.owns[1], 5000)) {
        assertEquals(Outcome.TURNED_AWAY, client.execute("00000000000000aa", "look", 2000));
        assertTrue(client.lastError().contains("pushback=400"), client.lastError());
        assertEquals("backup", client.show("mastership").get("router_51/ipv4_state"));
        assertEquals("0", client.show("counters").get("commands_taken"));
      }
      try (StatementClient client = new StatementClient(rig.owns[0], 5000)) {
        assertEquals(Outcome.ANSWERED, client.execute("00000000000000ab", "look", 2000));
      }
    }
  }
}

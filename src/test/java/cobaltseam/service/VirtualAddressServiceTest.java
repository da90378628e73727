package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.authentication.KeyRing;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.settings.SettingsReader;
import cobaltseam.standin.AdvertLink.Fault;
import cobaltseam.standin.BusStandIn;
import cobaltseam.standin.ClientStandIn;
import cobaltseam.standin.DispatcherProcess;
import cobaltseam.standin.EngineStandIn;
import cobaltseam.standin.HallRig;
import cobaltseam.standin.HallRig.Plan;
import cobaltseam.standin.Ledger.End;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementAuthenticator;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.net.DatagramSocket;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two dispatchers of a hall as real processes, with the adverts between them lost, cut and forged.
 */
class VirtualAddressServiceTest {
  private static final long SOON_MS = 30_000;

  @TempDir Path folder;

  private static String shown(HallRig rig, int i, String name) throws Exception {
    try (ClientStandIn client = new ClientStandIn(rig.owns[i], 5000)) {
      return client.show("mastership").getOrDefault(name, "");
    }
  }

  private static String state(HallRig rig, int i) throws Exception {
    return shown(rig, i, "router_51/ipv4_state");
  }

  private static void awaitShown(HallRig rig, int i, String name, String value) throws Exception {
    for (long waited = 0; !shown(rig, i, name).equals(value); waited += 20) {
      assertTrue(waited < SOON_MS, name + " is never " + value + ":\n" + rig.dispatchers[i].log());
      HallRig.sleep(20);
    }
  }

  private static void awaitState(HallRig rig, int i, String state) throws Exception {
    awaitShown(rig, i, "router_51/ipv4_state", state);
  }

  /** The other becomes the preferred one, and is followed. */
  private static void flip(HallRig rig, int to) throws Exception {
    for (int i = 0; i < 2; i++) {
      rig.dispatchers[i].own(rig.own(i, i == to ? 200 : 50));
      rig.dispatchers[i].signal("HUP");
    }
    awaitState(rig, to, "active");
  }

  /** All that was taken was answered once; what else clients saw was never taken. */
  private static void accounted(HallRig rig, Map<String, Long> one, Map<String, Long> other) {
    Map<End, Integer> seen = rig.ledger.counts();
    long taken = one.get("commands_taken") + other.get("commands_taken");
    long told = 0;
    for (String end : new String[] {"answered", "shed", "failed", "departed"}) {
      told += one.get("commands_" + end) + other.get("commands_" + end);
    }
    assertEquals(taken, told, "every command taken has one final answer");
    assertEquals(
        (long) seen.get(End.ANSWERED),
        one.get("commands_answered") + other.get("commands_answered"),
        seen.toString());
    assertEquals(
        (long) seen.get(End.SHED),
        one.get("commands_shed") + other.get("commands_shed"),
        seen.toString());
    assertEquals(
        (long) seen.get(End.FAILED),
        one.get("commands_failed") + other.get("commands_failed"),
        seen.toString());
    assertEquals(0, seen.get(End.SILENT));
    assertEquals(0, one.get("faults") + other.get("faults"));
    audited(rig);
  }

  private static void audited(HallRig rig) {
    assertEquals(0, rig.ranTwice(), "no effect twice");
    assertEquals(0, rig.answeredUnrun(), "answered is what an engine ran");
    assertEquals(0, rig.turnedAwayRun(), "nothing is taken by a backup");
    assertEquals(0, rig.shedThoughRun(), "shed only where harmless");
  }

  /**
   * Adverts are lost; whoever is active, and however often that changes, each command has its one
   * answer.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.1, 0.3, 0.6})
  void everyAcceptedCommandIsAccountedForUnderLoss(double loss) throws Exception {
    try (HallRig rig = new HallRig(Plan.of(100, 7), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.links[0].fault(new Fault(loss, loss / 3, loss / 3, 150));
      rig.links[1].fault(new Fault(loss, loss / 3, loss / 3, 150));
      rig.startClients(8, 1, 2500);
      for (int flip = 0; flip < 3; flip++) {
        HallRig.sleep(300);
        flip(rig, flip % 2 == 0 ? 1 : 0);
      }
      rig.links[0].fault(Fault.NONE);
      rig.links[1].fault(Fault.NONE);
      awaitState(rig, 1, "active");
      awaitState(rig, 0, "backup");
      rig.stopClients();
      assertTrue(rig.ledger.counts().get(End.ANSWERED) > 100, rig.ledger.counts().toString());
      accounted(rig, rig.dispatchers[0].end(), rig.dispatchers[1].end());
    }
  }

  @Test
  void aKilledOneIsFollowedAndOneThatEndsHandsOverInItsSkew() throws Exception {
    try (HallRig rig = new HallRig(Plan.of(200, 8), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.startClients(6, 1, 2500);
      rig.awaitAnswer(System.nanoTime(), SOON_MS);
      rig.dispatchers[0].kill();
      long killed = System.nanoTime();
      rig.dispatchers[1].await("mastership.taken", 0, SOON_MS);
      rig.awaitAnswer(killed, SOON_MS);
      int from = rig.dispatchers[0].lines();
      rig.dispatchers[0].start();
      // It comes back and is preferred.
      rig.dispatchers[0].await("mastership.taken", from, SOON_MS);
      rig.awaitAnswer(System.nanoTime(), SOON_MS);
      from = rig.dispatchers[1].lines();
      rig.dispatchers[0].end();
      rig.dispatchers[1].await("mastership.taken", from, SOON_MS);
      rig.awaitAnswer(System.nanoTime(), SOON_MS);
      rig.stopClients();
      audited(rig);
    }
  }

  @Test
  void oneThatStoodStillStepsBackBeforeItTakesOrSends() throws Exception {
    try (HallRig rig = new HallRig(Plan.of(100, 9), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.startClients(6, 1, 2000);
      rig.awaitAnswer(System.nanoTime(), SOON_MS);
      rig.dispatchers[0].signal("STOP");
      rig.dispatchers[1].await("mastership.taken", 0, SOON_MS);
      rig.awaitAnswer(System.nanoTime(), SOON_MS);
      int from = rig.dispatchers[0].lines();
      rig.dispatchers[0].signal("CONT");
      int left = rig.dispatchers[0].await("mastership.left", from, SOON_MS);
      assertTrue(
          rig.dispatchers[0].log().lines().toList().get(left - 1).contains("fenced"),
          rig.dispatchers[0].log());
      // And claims again, as the preferred one.
      rig.dispatchers[0].await("mastership.taken", left, SOON_MS);
      rig.stopClients();
      audited(rig);
    }
  }

  @Test
  void inASplitBothServeAndOneYieldsWhenItHeals() throws Exception {
    try (HallRig rig = new HallRig(Plan.of(100, 10), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.startClients(8, 1, 2500);
      rig.links[0].cut(true);
      awaitState(rig, 1, "active");
      HallRig.sleep(200);
      // The one that hears the other shares the engines with it; the one that hears nothing does
      // not yet.
      awaitShown(rig, 0, "engines_shared_over", "2.00");
      rig.links[1].cut(true);
      assertEquals("active", state(rig, 0));
      rig.links[0].cut(false);
      rig.links[1].cut(false);
      awaitState(rig, 1, "backup");
      assertEquals("active", state(rig, 0));
      rig.stopClients();
      accounted(rig, rig.dispatchers[0].end(), rig.dispatchers[1].end());
    }
  }

  /** Engines that take long and hold little: at the flip some commands are out and some held. */
  @Test
  void atAFlipWhatIsHeldIsShedAtOnceAndWhatIsOutIsAnswered() throws Exception {
    try (HallRig rig =
        new HallRig(new Plan(1, 2, 800, 100, new int[] {150, 100}, true, "", 12), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      List<Thread> clients = new ArrayList<>();
      Map<String, End> ends = new ConcurrentHashMap<>();
      Map<String, Long> ended = new ConcurrentHashMap<>();
      for (int i = 0; i < 6; i++) {
        String call = "00000000000000b" + i;
        String profile = i % 2 == 0 ? "look" : "once";
        clients.add(
            new Thread(
                () -> {
                  try (ClientStandIn client = new ClientStandIn(rig.serves[0], 8000)) {
                    ends.put(call, client.command(call, profile, 3000, 800));
                    ended.put(call, System.nanoTime());
                  } catch (IOException e) {
                    ends.put(call, End.UNSENT);
                  }
                }));
        clients.get(i).start();
      }
      for (long waited = 0; rig.engines.get(0).running() < 2; waited += 5) {
        assertTrue(waited < SOON_MS);
        HallRig.sleep(5);
      }
      HallRig.sleep(50);
      flip(rig, 1);
      for (Thread client : clients) {
        client.join(SOON_MS);
      }
      long answered = ends.values().stream().filter(e -> e == End.ANSWERED).count();
      long shed = ends.values().stream().filter(e -> e == End.SHED).count();
      assertTrue(answered >= 2, ends.toString());
      assertEquals(6, answered + shed, ends.toString());
      long lastShed =
          ends.keySet().stream()
              .filter(c -> ends.get(c) == End.SHED)
              .mapToLong(ended::get)
              .max()
              .orElse(0);
      long lastAnswered =
          ends.keySet().stream()
              .filter(c -> ends.get(c) == End.ANSWERED)
              .mapToLong(ended::get)
              .max()
              .orElse(0);
      assertTrue(lastShed < lastAnswered, "what is held is not kept waiting for what is out");
      Map<String, Long> counters = rig.dispatchers[0].end();
      assertEquals(6, counters.get("commands_taken"));
      assertEquals(shed, counters.get("commands_shed"));
    }
  }

  @Test
  void oneWhoseAddressIsStillHeldLetsAnotherServe() throws Exception {
    try (HallRig rig = new HallRig(Plan.of(100, 13), folder)) {
      try (ServerSocket holder = new ServerSocket()) {
        holder.bind(rig.serves[0]);
        rig.start();
        rig.dispatchers[0].await("mastership.bind_failed", 0, SOON_MS);
        rig.dispatchers[0].await("unable", 0, SOON_MS);
        awaitState(rig, 1, "active");
        try (ClientStandIn client = connected(rig.serves[1])) {
          assertEquals(End.ANSWERED, client.command("00000000000000d0", "look", 2000));
        }
      }
      // The address is free again: the preferred one tries after a while, and serves.
      rig.dispatchers[0].await("mastership.serves", 0, SOON_MS);
      awaitState(rig, 1, "backup");
    }
  }

  @Test
  void forgedReplayedAndGarbledAdvertsMoveNothingAndKeysChangeOneByOne() throws Exception {
    String seal = "[mastership.seal]\nkeys = \"keys\"\nwrite_key = %d\nclock_difference_ms = 400\n";
    Plan plan = new Plan(1, 8, 20, 100, new int[] {150, 100}, true, seal.formatted(1), 14);
    try (HallRig rig = new HallRig(plan, folder)) {
      // Seals cover the datagram's addresses, so what comes over a link is not what was sealed.
      for (int i = 0; i < 2; i++) {
        Files.writeString(
            rig.dispatchers[i].folder().toPath().resolve("keys"), "1 " + "ab".repeat(16) + "\n");
      }
      KeyRing keys = KeyRing.read("1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16));
      Advertisement advert =
          new Advertisement(51, 250, 10, List.of(Addresses.read("192.0.2.10").orElseThrow()));
      InetAddress peer = rig.seenAs(1);
      InetAddress self = rig.listens(0).getAddress();
      byte[] plain = AdvertisementCodec.encode(advert, peer, self, ChecksumCoverage.MESSAGE);
      rig.start();
      awaitState(rig, 0, "active");
      // Sealed by the right key in the peer's name, an advert counts.
      rig.links[1].say(AdvertisementAuthenticator.sign(plain, peer, self, keys, 1, now()));
      rig.dispatchers[0].await("higher_heard", 0, SOON_MS);
      awaitState(rig, 0, "active");
      int from = rig.dispatchers[0].lines();
      byte[] sealed =
          AdvertisementAuthenticator.sign(plain, peer, self, keys, 1, now() - 1_500_000);
      SplittableRandom chance = new SplittableRandom(14);
      for (int i = 0; i < 2000; i++) {
        byte[] bytes =
            switch (i % 4) {
              case 0 -> plain;
              case 1 -> sealed;
              case 2 -> AdvertisementAuthenticator.sign(plain, peer, self, keys, 2, now());
              default -> {
                byte[] noise = new byte[chance.nextInt(5000)];
                chance.nextBytes(noise);
                yield noise;
              }
            };
        rig.links[1].say(bytes);
      }
      awaitAbove(rig, "adverts_refused_unsealed", 100);
      awaitAbove(rig, "adverts_refused_stale", 100);
      awaitAbove(rig, "adverts_refused_key_unknown", 100);
      assertEquals("active", state(rig, 0));
      assertTrue(
          rig.dispatchers[0].log().lines().skip(from).noneMatch(l -> l.contains("higher_heard")));
      // A second key comes in by SIGHUP, then the first one goes.
      for (String file :
          new String[] {
            "1 " + "ab".repeat(16) + "\n2 " + "cd".repeat(16), "2 " + "cd".repeat(16)
          }) {
        Files.writeString(rig.dispatchers[0].folder().toPath().resolve("keys"), file);
        rig.dispatchers[0].own(rig.own(0, 150).replace("write_key = 1", "write_key = 2"));
        int at = rig.dispatchers[0].lines();
        rig.dispatchers[0].signal("HUP");
        rig.dispatchers[0].await("configuration.read", at, SOON_MS);
        at = rig.dispatchers[0].lines();
        rig.links[1].say(AdvertisementAuthenticator.sign(plain, peer, self, keys, 2, now()));
        rig.dispatchers[0].await("higher_heard", at, SOON_MS);
        awaitState(rig, 0, "active");
      }
      // And a file of keys that can't be used changes nothing.
      Files.writeString(rig.dispatchers[0].folder().toPath().resolve("keys"), "2 short");
      int at = rig.dispatchers[0].lines();
      rig.dispatchers[0].signal("HUP");
      rig.dispatchers[0].await("configuration.unusable", at, SOON_MS);
      assertEquals("active", state(rig, 0));
    }
  }

  private static long now() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  private static void awaitAbove(HallRig rig, String name, int least) throws Exception {
    for (long waited = 0; Integer.parseInt("0" + shown(rig, 0, name)) < least; waited += 20) {
      assertTrue(waited < SOON_MS, name);
      HallRig.sleep(20);
    }
  }

  @Test
  void aSilentBusCostsPriorityAndNothingFlipsForWhatAllSeeAlike() throws Exception {
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
    try (HallRig rig = new HallRig(plan, folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      rig.bus.silent(true);
      rig.dispatchers[0].await("mastership.fitness", 0, SOON_MS);
      rig.dispatchers[1].await("mastership.fitness", 0, SOON_MS);
      awaitShown(rig, 0, "fitness_steps", "50 [bus_silent]");
      rig.bus.silent(false);
      awaitShown(rig, 0, "fitness_steps", "0 []");
      awaitState(rig, 0, "active");
    }
  }

  /** In this process, to break something within: mastership ends, and what is in hand does not. */
  @Test
  void aFaultInMastershipEndsItAndNothingElse() throws Exception {
    try (EngineStandIn engine = new EngineStandIn("127.0.0.1", p -> 600);
        BusStandIn bus = new BusStandIn("127.0.0.1")) {
      String known = bus.tell(true, BusStandIn.target(1, engine.address(), "in_service"));
      ServiceConfiguration told =
          ServiceConfiguration.of(
              JsonObjectReader.of(
                  new JsonFactory()
                      .createParser(
                          DispatcherProcess.configuration(
                              "n0", new InetSocketAddress("127.0.0.1", 0), 0, 1, 8, bus, known))));
      InetSocketAddress serve;
      InetSocketAddress adverts;
      try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.78.1"));
          DatagramSocket udp = new DatagramSocket(new InetSocketAddress("127.0.78.1", 0))) {
        serve = (InetSocketAddress) probe.getLocalSocketAddress();
        adverts = (InetSocketAddress) udp.getLocalSocketAddress();
      }
      Path file =
          Files.writeString(
              folder.resolve("own.toml"),
              """
                    [mastership]
                    listen = "127.0.78.1:%d"
                    peers = []
                    router = [{id = 1, interval_ms = 50, addresses = ["192.0.2.10"], serve = "127.0.78.1:%d"}]
                    """
                  .formatted(adverts.getPort(), serve.getPort()));
      AtomicBoolean broken = new AtomicBoolean();
      DispatcherService service = new DispatcherService(told);
      service.joins(
          SettingsReader.read(file).hall(),
          () -> {
            if (broken.get()) {
              throw new IllegalStateException("for the test");
            }
            return new VirtualAddressService.HealthReport(TimeSpan.ZERO, 1, 0, 0);
          });
      service.open();
      Thread loop =
          new Thread(
              () -> {
                try {
                  service.loop();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      loop.start();
      try (ClientStandIn client = connected(serve)) {
        CompletableFuture<End> asked =
            CompletableFuture.supplyAsync(() -> client.command("00000000000000e0", "look", 2500));
        while (engine.running() == 0) {
          HallRig.sleep(5);
        }
        broken.set(true);
        assertEquals(End.ANSWERED, asked.get(SOON_MS, TimeUnit.MILLISECONDS));
      }
      try (ClientStandIn client = new ClientStandIn(service.address(), 5000)) {
        assertEquals("ended by a fault", client.show("mastership").get("mastership"));
        assertEquals(End.TURNED_AWAY, client.command("00000000000000e2", "look", 2500));
      }
      assertThrows(IOException.class, () -> new ClientStandIn(serve, 500));
      loop.interrupt();
      loop.join();
      service.close();
    }
  }

  private static ClientStandIn connected(InetSocketAddress to) {
    for (long waited = 0; ; waited += 10) {
      try {
        return new ClientStandIn(to, 8000);
      } catch (IOException e) {
        assertTrue(waited < SOON_MS, "nothing listens on " + to);
        HallRig.sleep(10);
      }
    }
  }

  @Test
  void aBackupTakesNothingAndSaysWhenToComeBack() throws Exception {
    try (HallRig rig = new HallRig(Plan.of(100, 11), folder)) {
      rig.start();
      awaitState(rig, 0, "active");
      try (ClientStandIn client = new ClientStandIn(rig.owns[1], 5000)) {
        assertEquals(End.TURNED_AWAY, client.command("00000000000000aa", "look", 2000));
        assertTrue(client.lastError().contains("pushback=400"), client.lastError());
        assertEquals("backup", client.show("mastership").get("router_51/ipv4_state"));
        assertEquals("0", client.show("counters").get("commands_taken"));
      }
      try (ClientStandIn client = new ClientStandIn(rig.owns[0], 5000)) {
        assertEquals(End.ANSWERED, client.command("00000000000000ab", "look", 2000));
      }
    }
  }
}

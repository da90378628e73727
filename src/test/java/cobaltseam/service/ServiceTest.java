package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/** The service between clients, engines and a bus that these tests play themselves, on loopback. */
class ServiceTest extends ServiceRig {
  @Test
  void aCommandBehindTheStartUpIsAnsweredWithAllItsPages() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(look(1, 3000));
    Message pull = engine.next("PULL");
    assertEquals("SELECT n FROM a_1.t", pull.items().get(3));
    assertTrue(pull.items().get(2).matches("lane=look,ttl=[0-9]+"), pull.items().get(2));
    pull.answer(pull.id(), "status", "why=progress,v=0.5", "");
    pull.answer(pull.id(), "200", "pages=3,rep=pending:0", ROWS);
    assertEquals(List.of("SCROLL", pull.id(), "1"), engine.next().items());
    assertEquals(List.of("SCROLL", pull.id(), "2"), engine.next().items());
    pull.answer(pull.id(), "chunk", "page=2", "d\t\t\n");
    pull.answer(pull.id(), "chunk", "page=1", "c\t3\tz\n");
    assertEquals(List.of("a|1|x", "b|2|y", "c|3|z", "d||", "SELECT 4"), client.told());
    assertEquals(List.of("empty"), client.ask(" ; "));
    assertTrue(client.ask("SHOW cobaltseam.counters;").contains("commands_answered|1"));
    client.query(client.out, look(2, 3000));
    Message again = engine.next("PULL");
    assertEquals(pull.from(), again.from(), "an unused connection is used again");
    again.answer(again.id(), "200", "pages=1", "");
    assertEquals(List.of("SELECT 0"), client.told());
  }

  @Test
  void whatNeverRanOrMayRunAgainIsSentOnce() throws Exception {
    Peer one = new Peer(true);
    Peer two = new Peer(true);
    start(one, two);
    Client client = new Client(look(1, 3000));
    Message first = poll(one, two);
    first.answer(first.id(), "503", "-", "");
    Message second = poll(one, two);
    second.reset();
    Message third = poll(one, two);
    assertEquals(
        "PULL", third.items().get(0), "a reset may have run, which this profile may do twice");
    third.answer(third.id(), "200", "pages=1", ROWS);
    assertEquals(List.of("a|1|x", "b|2|y", "SELECT 2"), client.told());
    client.query(client.out, command("once", 2, 3000));
    Message once = poll(one, two);
    once.reset();
    assertEquals(List.of("error 58"), client.told(), "this one may not run twice, nor be refused");
  }

  /** A cut-off engine reads no word to stop: only a closed connection ends a send for certain. */
  @Test
  void aSendIsGivenUpByClosingItsConnectionBeforeTheNextOne() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(command("look", 1, 1500));
    Message silent = engine.next("PULL");
    List<Message> next = List.of(engine.next(), engine.next());
    assertEquals(
        Set.of("closed", "PULL"), Set.of(next.get(0).items().get(0), next.get(1).items().get(0)));
    assertTrue(silent.from().getInputStream().read() < 0);
    assertEquals(List.of("error 53 pushback"), client.told());
    assertEquals(List.of("empty"), client.ask(""));
  }

  /** A process that is held up finds answers waiting when it goes on; only then may it miss any. */
  @Test
  void whatHasComeIsHeardBeforeADeadlineActsOnWhatHasNot() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(command("look", 1, 3000));
    Message pull = engine.next("PULL");
    CountDownLatch held = holdUp();
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    Thread.sleep(1000);
    held.countDown();
    assertEquals("SELECT 2", client.told().get(2));
    assertTrue(engine.heard.isEmpty(), "the send was given up with its answer there");
  }

  /**
   * The whole process stood still: the answer lies unread in the machine's buffers when the time
   * for it is over.
   */
  @Test
  void whatLiesUnreadIsReadBeforeADeadlineThatPassedMeanwhileActs() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(command("look", 1, 3000));
    Message pull = engine.next("PULL");
    CountDownLatch held = holdUp();
    CountDownLatch heldSockets = holdUpSockets();
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    // Longer than an answer is waited for; the duration is the subject.
    Thread.sleep(1000);
    held.countDown();
    awaitTurn();
    heldSockets.countDown();
    assertEquals("SELECT 2", client.told().get(2));
    assertTrue(engine.heard.isEmpty(), "the send was given up with its answer there");
  }

  @Test
  void refusedConnectionsProveThatNothingRan() throws Exception {
    int closedPort;
    try (ServerSocket listener = new ServerSocket(0)) {
      closedPort = listener.getLocalPort();
    }
    start(SOCKETS, IDLE_MS, "127.0.0.1:" + closedPort);
    Client client = new Client(command("once", 1, 1000));
    assertEquals(List.of("error 53 pushback"), client.told());
  }

  @Test
  void spoiledAnswersEndTheSendAndNothingElse() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(command("once", 1, 3000));
    Message pull = engine.next("PULL");
    pull.answer("0000000000000009", "200", "pages=1", ROWS);
    pull.answer(pull.id(), "200", "pages=1", "half a row");
    engine.next("closed");
    assertEquals(List.of("error 58"), client.told());
    client.query(client.out, command("once", 2, 3000));
    engine.next("PULL").say("*nonsense\r\n");
    assertEquals("closed", engine.next().items().get(0));
    assertEquals(List.of("error 58"), client.told());
    client.query(client.out, look(3, 3000));
    Message good = engine.next("PULL");
    good.answer(good.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.told().get(2));
  }

  @Test
  void whatComesTwiceIsTakenOnce() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(look(1, 3000));
    Message pull = engine.next("PULL");
    for (int i = 0; i < 2; i++) {
      pull.answer("00000000000000ff", "200", "pages=1", ROWS);
      pull.answer(pull.id(), "200", "pages=2", ROWS);
    }
    engine.next("SCROLL");
    for (int i = 0; i < 2; i++) {
      pull.answer(pull.id(), "chunk", "page=1", "c\t3\tz\n");
    }
    assertEquals(List.of("a|1|x", "b|2|y", "c|3|z", "SELECT 3"), client.told());
    client.query(client.out, look(2, 3000));
    Message again = engine.next("PULL");
    assertEquals(pull.from(), again.from(), "the connection is as good as before");
    again.answer(again.id(), "200", "pages=1", "");
    assertEquals(List.of("SELECT 0"), client.told());
  }

  @Test
  void whereDescriptorsAreFewSendsShareConnectionsAndAreGivenUpByWord() throws Exception {
    Peer engine = new Peer(true);
    start(5, IDLE_MS, engine);
    Client one = new Client(command("once", 1, 700));
    Message first = engine.next("PULL");
    Client two = new Client(command("once", 2, 3000));
    Message second = engine.next("PULL");
    assertEquals(first.from(), second.from());
    assertEquals(List.of("KILL", first.id()), engine.next().items());
    assertEquals(List.of("error 58"), one.told());
    first.answer(first.id(), "200", "pages=2", ROWS);
    assertEquals(List.of("DISCARD", first.id()), engine.next().items(), "a late answer is dropped");
    second.answer(second.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", two.told().get(2));
  }

  @Test
  void connectionsIdleForLongOrToAnEarlierLifeAreNotUsed() throws Exception {
    Peer engine = new Peer(true);
    Peer bus = start(SOCKETS, 200, engine);
    Client client = new Client(look(1, 3000));
    Message first = engine.next("PULL");
    first.answer(first.id(), "200", "pages=1", ROWS);
    client.told();
    Thread.sleep(250);
    client.query(client.out, command("once", 2, 3000));
    List<Message> next = List.of(engine.next(), engine.next());
    assertEquals(
        Set.of("closed", "PULL"), Set.of(next.get(0).items().get(0), next.get(1).items().get(0)));
    assertFalse(next.get(0).from().equals(next.get(1).from()));
    String restarted =
        target(1, engine.address(), "in_service")
            .replace("\"boot_ms\":0", "\"boot_ms\":" + (System.currentTimeMillis() + 60_000));
    bus.next().say(event(8, false, restarted) + "\n");
    assertEquals(
        "closed",
        engine.next().items().get(0),
        "a machine that came back knows no earlier connection");
    assertEquals(List.of("error 58"), client.told());
  }

  @Test
  void aConnectionThatNeverComesUpProvesThatNothingRan() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<Socket> waiting = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        Socket socket = new Socket();
        waiting.add(socket);
        try {
          socket.connect(full.getLocalSocketAddress(), 50);
        } catch (IOException e) {
          break;
        }
      }
      start(
          configuration ->
              configuration.replace(
                  "\"connect_timeout_us\":2000000", "\"connect_timeout_us\":250000"),
          SOCKETS,
          IDLE_MS,
          "127.0.0.1:" + full.getLocalPort());
      Client client = new Client(command("once", 1, 2000));
      long asked = System.nanoTime();
      assertEquals(List.of("error 53 pushback"), client.told());
      assertTrue(System.nanoTime() - asked < TimeUnit.SECONDS.toNanos(2));
      for (Socket socket : waiting) {
        socket.close();
      }
    }
  }

  @Test
  void aClientThatDoesNotReadLosesItsConnectionAndNobodyElse() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    String page = ("x".repeat(990) + "\t\t\n").repeat(6);
    Client lazy = new Client();
    int asked = 0;
    boolean closed = false;
    while (!closed && asked < 2000) {
      try {
        lazy.query(lazy.out, look(++asked, 3000));
      } catch (SocketException e) {
        closed = true;
      }
      Message pull = closed ? null : engine.heard.poll(200, TimeUnit.MILLISECONDS);
      for (int i = 0; pull != null && i < 8; i++) {
        if (i > 0 && !engine.next().items().get(0).equals("SCROLL")) {
          break;
        }
        pull.answer(pull.id(), i == 0 ? "200" : "chunk", i == 0 ? "pages=8" : "page=" + i, page);
      }
    }
    assertTrue(closed, "it was never closed");
    Client other = new Client(look(9999, 3000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", other.told().get(2));
  }

  @Test
  void unusableStatementsAndMessagesGetErrorsAndReachNoEngine() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client();
    assertEquals(List.of("error 42"), client.ask("SELECT 1"));
    assertEquals(List.of("error 42"), client.ask(command("unknown", 1, 100)));
    assertEquals(
        List.of("error 42"), client.ask(command("look", 1, 100).replace("op=", "org=nobody,op=")));
    client.out.write(new byte[] {'P', 0, 0, 0, 8, 'x', 0, 0, 0, 'S', 0, 0, 0, 4});
    assertEquals(List.of("error 0A"), client.told());
    Client other = new Client();
    other.out.write(new byte[] {'Q', -1, 0, 0, 0});
    assertThrows(IOException.class, other::told);
    assertEquals(List.of("empty"), client.ask(""));
    assertTrue(engine.heard.isEmpty());
  }

  /**
   * Hundreds at once, messages without end, and long ones that are never whole: each is closed,
   * nobody waits.
   */
  @Test
  void whoSendsMoreThanIsTakenLosesItsConnectionAndNobodyElse() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    ByteArrayOutputStream many = new ByteArrayOutputStream();
    DataOutputStream to = new DataOutputStream(many);
    List<Socket> flooding = new ArrayList<>();
    List<Client> long0 = new ArrayList<>();
    Client usual = new Client();
    for (int i = 0; i < 300; i++) {
      usual.query(to, look(5000 + i, 3000));
    }
    for (int i = 0; i < 3; i++) {
      Client client = new Client();
      client.out.write(many.toByteArray());
      flooding.add(client.socket);
    }
    byte[] half = new byte[60_000];
    System.arraycopy(new byte[] {'Q', 0, 0, -1, -1}, 0, half, 0, 5);
    for (int i = 0; i < 40; i++) {
      Client client = new Client();
      long0.add(client);
      client.ask("");
      try {
        client.out.write(half);
      } catch (SocketException e) {
        continue;
      }
    }
    flooding.add(long0.get(39).socket);
    for (Socket each : flooding) {
      try {
        each.getInputStream().readAllBytes();
      } catch (SocketException e) {
        // A reset is a close, too.
      }
    }
    assertEquals(List.of("empty"), usual.ask(""));
  }

  /**
   * Far more than there is room for, kept open by their clients: those that are served never wait
   * for them.
   */
  @Test
  void connectionsThatStayGiveWayToThoseThatAsk() throws Exception {
    Peer engine = new Peer(true);
    start(48, IDLE_MS, engine);
    Client open = new Client(look(1, 10_000));
    Message first = engine.next("PULL");
    List<Client> stayed = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Client client = new Client(look(100 + i, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", ROWS);
      assertEquals("SELECT 2", client.told().get(2));
      stayed.add(client);
    }
    assertTrue(stayed.get(0).in.read() < 0, "the longest idle has given way");
    assertTrue(
        service.acceptor.delayedAccepts() < 10,
        "room is made before it is needed: " + service.acceptor.delayedAccepts());
    assertEquals(List.of("empty"), stayed.get(39).ask(""));
    first.answer(first.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", open.told().get(2), "not one with an open statement");
  }

  /**
   * One that looks idle to a process that was held up may have asked: what was taken is answered.
   */
  @Test
  void anIdleConnectionDoesNotGiveWayOnceItHasAsked() throws Exception {
    Peer engine = new Peer(true);
    start(16, IDLE_MS, engine);
    List<Client> idle = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      idle.add(new Client());
      assertEquals(List.of("empty"), idle.get(i).ask(""));
    }
    CountDownLatch held = holdUp();
    Socket another = new Socket(service.address().getAddress(), service.address().getPort());
    Thread.sleep(200);
    idle.get(0).query(idle.get(0).out, look(1, 10_000));
    Thread.sleep(200);
    held.countDown();
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", idle.get(0).told().get(2));
    another.close();
  }

  @Test
  void connectionsThatSayNothingGiveWayAndAreClosedSoon() throws Exception {
    Peer engine = new Peer(true);
    start(16, IDLE_MS, engine);
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      silent.add(new Socket(service.address().getAddress(), service.address().getPort()));
      silent.get(i).setSoTimeout(SOON_S * 1000);
      if (i % 2 == 0) {
        silent.get(i).getOutputStream().write(new byte[] {0, 0, 0, 9, 0, 3, 0, 0});
      }
    }
    Client client = new Client(look(1, 3000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.told().get(2));
    for (Socket each : silent) {
      try {
        assertTrue(each.getInputStream().read() < 0);
      } catch (SocketException e) {
        // A reset is a close, too.
      }
      each.close();
    }
  }

  @Test
  void whoRepeatsWhatCantBeUsedRestsAndIsThenHeard() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client();
    long from = System.nanoTime();
    for (int i = 0; i < 4; i++) {
      assertEquals(List.of("error 42"), client.ask("SELECT " + i));
    }
    assertTrue(
        System.nanoTime() - from >= TimeUnit.MILLISECONDS.toNanos(150),
        "it would be refused without end");
    client.query(client.out, look(1, 5000));
    Message pull = engine.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.told().get(2));
  }

  @Test
  void aCancelledOrLeftCommandGetsNoAnswer() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(look(1, 3000));
    Message pull = engine.next("PULL");
    try (Socket cancel = new Socket(service.address().getAddress(), service.address().getPort())) {
      cancel.getOutputStream().write(client.cancelRequest());
      assertTrue(cancel.getInputStream().read() < 0);
    }
    assertEquals("closed", engine.next().items().get(0));
    assertTrue(pull.from().getInputStream().read() < 0);
    client.query(client.out, look(2, 3000));
    Message second = engine.next("PULL");
    second.answer(second.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.told().get(2), "the only answer is that of the second");
    client.query(client.out, look(3, 3000));
    engine.next("PULL");
    client.close();
    assertEquals("closed", engine.next().items().get(0));
  }

  @Test
  void theBusIsFollowedFromTheLastEventOverLostConnections() throws Exception {
    Peer old = new Peer(true);
    Peer fresh = new Peer(true);
    Peer bus = start(old);
    Message from = bus.next();
    assertEquals("from 7", from.items().get(0));
    String change =
        event(
            8,
            false,
            target(1, old.address(), "terminated"),
            target(2, fresh.address(), "in_service"));
    from.say(change.substring(0, 30));
    from.say(change.substring(30) + "\nno json\n8\n");
    from.say("10\n");
    assertEquals(
        "closed", bus.next().items().get(0), "a number beyond the last event means one is missing");
    Message anew = bus.next();
    assertEquals("from 8", anew.items().get(0));
    anew.reset();
    bus.next("closed");
    assertEquals("from 8", bus.next().items().get(0));
    Client client = new Client(look(1, 3000));
    Message pull = fresh.next("PULL");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.told().get(2));
    assertTrue(old.heard.isEmpty());
  }

  /** The signal itself, with a file that can't be used first: neither may end the process. */
  @Test
  void hangUpMovesToTheBusOfTheNewConfigurationAndABadOneChangesNothing() throws Exception {
    Peer engine = new Peer(true);
    Peer old = start(engine);
    old.next("from 7");
    Path file = Files.createTempFile("configuration", ".json");
    try {
      service.readAnewOnHangUp(Map.of("GW_CONFIG", file.toString()));
      String bad =
          configuration("127.0.0.1:80", SOCKETS, IDLE_MS).replace("\"limits\"", "\"limitless\"");
      Client client = new Client();
      int raised = 0;
      for (String unusable : List.of("", "{", bad)) {
        Files.writeString(file, unusable);
        Signal.raise(new Signal("HUP"));
        await(client, "configurations_unusable|" + ++raised);
      }
      Peer bus = new Peer(false);
      Files.writeString(file, configuration(bus.address(), SOCKETS, IDLE_MS));
      Signal.raise(new Signal("HUP"));
      Message from = bus.next("from 7");
      old.next("closed");
      from.say(event(8, false, target(1, engine.address(), "in_service")) + "\n");
      client.query(client.out, look(1, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", ROWS);
      assertEquals("SELECT 2", client.told().get(2));
      Files.writeString(
          file,
          configuration(bus.address(), SOCKETS, IDLE_MS).replace("\"offset\":7", "\"offset\":9"));
      Signal.raise(new Signal("HUP"));
      await(client, "configurations_read|2");
      from.reset();
      bus.next("closed");
      bus.next("from 9");
    } finally {
      Files.delete(file);
    }
  }

  /** Settings that wait for a moment with nothing in hand never act on a busy dispatcher. */
  @Test
  void settingsActWhileCommandsAreOutAndHeld() throws Exception {
    Peer engine = new Peer(true);
    Peer bus = start(engine);
    bus.next("from 7");
    Path file = Files.createTempFile("configuration", ".json");
    try {
      service.readAnewOnHangUp(Map.of("GW_CONFIG", file.toString()));
      // First to targets so far away that a slow machine sheds nothing.
      String as =
          configuration(bus.address(), SOCKETS, IDLE_MS, target(1, engine.address(), "in_service"))
              .replace("500000,\"hard_limit_us\":3000000", "30000000,\"hard_limit_us\":60000000");
      Client watch = new Client();
      Files.writeString(file, as);
      Signal.raise(new Signal("HUP"));
      await(watch, "configurations_moved|1");
      List<Client> busy = new ArrayList<>();
      List<Message> pulls = new ArrayList<>();
      // Eight threads: all of them out, and two commands held.
      for (int i = 1; i <= 10; i++) {
        Client client = new Client();
        client.query(client.out, command("once", i, 60_000).replace("work=100", "work=5000"));
        busy.add(client);
        if (i <= 8) {
          pulls.add(engine.next("PULL"));
        }
      }
      await(watch, "commands_taken|10");
      Files.writeString(file, as.replace("\"name\":\"once\"", "\"name\":\"twice\""));
      Signal.raise(new Signal("HUP"));
      await(watch, "configurations_moved|2");
      assertEquals(
          List.of("error 42"),
          watch.ask(command("once", 20, 3000)),
          "the new settings know it no more");
      for (Message pull : pulls) {
        pull.answer(pull.id(), "200", "pages=1", "");
      }
      for (int i = 0; i < 2; i++) {
        Message pull = engine.next("PULL");
        pull.answer(pull.id(), "200", "pages=1", "");
      }
      for (Client client : busy) {
        assertEquals(
            List.of("SELECT 0"), client.told(), "taken before the move, answered after it");
      }
      Files.writeString(file, as);
      Signal.raise(new Signal("HUP"));
      await(watch, "configurations_moved|3");
      watch.query(watch.out, command("once", 21, 3000));
      Message pull = engine.next("PULL");
      pull.answer(pull.id(), "200", "pages=1", "");
      assertEquals(List.of("SELECT 0"), watch.told());
    } finally {
      Files.delete(file);
    }
  }

  @Test
  void toldToStopItServesOnUntilNothingIsOpen() throws Exception {
    Peer engine = new Peer(true);
    start(engine);
    Client client = new Client(look(1, 4000));
    Message pull = engine.next("PULL");
    long asked = System.nanoTime();
    Thread stop = new Thread(service::stop);
    stop.start();
    Client late = new Client(look(2, 4000));
    Message second = engine.next("PULL");
    second.answer(second.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", late.told().get(2), "new connections are still served");
    pull.answer(pull.id(), "200", "pages=1", ROWS);
    assertEquals("SELECT 2", client.told().get(2));
    stop.join(SOON_S * 1000);
    assertFalse(stop.isAlive());
    assertTrue(System.nanoTime() - asked >= TimeUnit.MILLISECONDS.toNanos(700));
  }

  @Test
  void theWarmUpPlaysCommandsThroughTheWholeService() throws Exception {
    assertTrue(
        Warmup.run(told("127.0.0.1:9", SOCKETS, IDLE_MS, target(1, "127.0.0.1:9", "in_service")))
            > 0);
  }

  @Test
  void aConfigurationThatCantBeUsedIsTold() {
    for (String bad : List.of("nowhere:80", "127.0.0.1", "127.0.0.1:70000", "127.0.0.1:x", "")) {
      assertThrows(InvalidInputException.class, () -> told(bad, SOCKETS, IDLE_MS), bad);
    }
    assertThrows(InvalidInputException.class, () -> ServiceConfiguration.read(Map.of()));
    assertThrows(
        InvalidInputException.class,
        () -> ServiceConfiguration.read(Map.of("GW_CONFIG", "/nowhere/config.json")));
    assertEquals(
        0x00c41f7aL,
        WatchEvent.engineId("s-00c41f7a").value() & 0xffffffffL,
        "read off a log line");
    assertTrue(
        WatchEvent.engineId("s-00c41f7a").value() > WatchEvent.engineId("s-00c41f79").value(),
        "in the order of numbers");
    assertNotEquals(WatchEvent.engineId("s-00c41f7a"), WatchEvent.engineId("t-00c41f7a"));
    assertEquals(WatchEvent.engineId("a/ü"), WatchEvent.engineId("a/ü"));
  }

  @Test
  void slotsKnowTheirUsesAndDeadlinesTheirOrder() {
    SlotTable<String> slots = new SlotTable<>(2);
    long a = slots.add("a");
    long b = slots.add("b");
    assertEquals(SlotTable.NONE, slots.add("c"));
    slots.free(a);
    slots.free(a);
    long c = slots.add("c");
    assertEquals(
        "null b c 2", slots.get(a) + " " + slots.get(b) + " " + slots.get(c) + " " + slots.size());
    assertEquals(null, slots.get(SlotTable.NONE));
    Timers deadlines = new Timers();
    Timestamp now = new Timestamp(50);
    List<Integer> run = new ArrayList<>();
    deadlines.set(now, () -> run.add(2));
    deadlines.set(now, () -> run.add(3));
    Timers.Timer not = deadlines.set(now, () -> run.add(4));
    deadlines.set(new Timestamp(40), () -> run.add(1));
    deadlines.set(new Timestamp(51), () -> run.add(5));
    deadlines.cancel(not);
    deadlines.cancel(null);
    for (Runnable due = deadlines.due(now); due != null; due = deadlines.due(now)) {
      due.run();
    }
    assertEquals(List.of(1, 2, 3), run);
    assertEquals(1, deadlines.untilNext(now, new TimeSpan(9)).us());
  }
}

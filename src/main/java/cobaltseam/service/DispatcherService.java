package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.logging.JsonLines;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * One dispatcher on sockets: its start, the loop of the thread that owns all state, and its stop.
 */
public final class DispatcherService {
  private static final System.Logger LOG = System.getLogger(DispatcherService.class.getName());

  /** New connections and commands may still come for this long after a stop is asked for. */
  private static final TimeSpan STOP_AFTER = new TimeSpan(700_000);

  /**
   * What is still in hand this long after nothing more is taken is given up while there is time to
   * say so: the platform may kill a process 3 s after {@link #STOP_AFTER}.
   */
  private static final TimeSpan GIVE_UP_AFTER = new TimeSpan(2_700_000);

  /**
   * A start waits this long at most for what the event bus has to tell; without it, it serves by
   * the configuration's list.
   */
  private static final TimeSpan CATCH_UP_WITHIN = new TimeSpan(1_000_000);

  /** A shutdown waits this long at most for clients to close, once nothing is owed to any. */
  private static final TimeSpan LEAVE_WITHIN = new TimeSpan(2_500_000);

  private static final TimeSpan LONGEST_WAIT = new TimeSpan(1_000_000);

  /**
   * A deadline that passed this long ago tells that the process was held up. Nothing may begin
   * later than 0.1 s after its client has gone, so a client's end must not lie unread for longer
   * than this.
   */
  private static final TimeSpan HELD_UP = new TimeSpan(50_000);

  private static final String HANG_UP = "HUP";
  static final int MOST_AT_ONCE = 1024;
  private static final int BACKLOG = 1024;
  private static final int LARGEST_READ = 1 << 14;

  private ServiceConfiguration told;

  /** The own file, where one is named, and what takes part in a hall by it; else null. */
  private Path own;

  private VirtualAddressService hall;

  /** What takes part in a fleet, where the own file has one; else null. */
  private FleetService fleetNode;

  /** Between the fleet's thread and this service's; null without a fleet. */
  private FleetBridge bridge;

  /** Whether the fleet agrees on the settings of decisions. */
  private boolean agrees;

  private final Clock clock = new Clock();
  private final Timers deadlines = new Timers();
  private final Counters counters = new Counters();
  final EventLoopQueue inbox = new EventLoopQueue(counters);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final ExecutorService threads = Executors.newCachedThreadPool(DispatcherService::thread);

  /** One for both sides: the process has one core. */
  final SocketProcessor processor = new SocketProcessor(threads);

  final BoundedAcceptor acceptor;
  private final NioSocketConnector toEngines = new NioSocketConnector(threads, processor);
  private final NioSocketConnector toBus = new NioSocketConnector(threads, processor);
  private final EngineConnections engines;
  private final RequestTable commands;
  private final ClientSessions clients;
  private final EndpointWatch bus;

  /** Whether it follows the list of engines. */
  private boolean follows;

  /** Whether it takes nothing more. */
  private boolean leaves;

  /** When it ends at the latest; null until it takes nothing more and nothing is open. */
  private Timestamp leaveBy;

  DispatcherService(ServiceConfiguration told) {
    this.told = told;
    engines = new EngineConnections(told, toEngines, processor, inbox, clock, deadlines, counters);
    commands =
        new RequestTable(told.deployment(), told.seed(), engines, deadlines, clock, counters);
    clients =
        new ClientSessions(
            told,
            commands,
            new SplittableRandom(~told.seed()),
            processor,
            inbox,
            clock,
            deadlines,
            counters);
    bus = new EndpointWatch(told, toBus, inbox, clock, deadlines, counters, commands::listed);
    acceptor = new BoundedAcceptor(threads, processor, ClientSessions.mostAccepted(told));
    tune(toEngines.getSessionConfig());
    tune(toBus.getSessionConfig());
    tune(acceptor.getSessionConfig());
    acceptor.setReuseAddress(true);
    // Or what is in hand would be cut when the last listener closes.
    acceptor.setCloseOnDeactivation(false);
    acceptor.setBacklog(BACKLOG);
    acceptor.setHandler(clients);
  }

  /**
   * Serves until the process is told to stop.
   *
   * @param own the file that tells what is on beyond the platform's configuration, or null
   */
  public static void run(Path own) throws IOException, InterruptedException {
    Settings setup = own == null ? null : SettingsReader.read(own);
    if (setup != null && setup.jsonLog()) {
      JsonLines.install();
    }
    ServiceConfiguration told = ServiceConfiguration.read(System.getenv());
    Warmup.run(told);
    DispatcherService service = new DispatcherService(told);
    service.own = own;
    if (setup != null && setup.hall() != null) {
      service.joins(setup.hall());
    }
    if (setup != null && setup.fleet() != null) {
      service.joinsFleet(setup, Files.readAllBytes(Path.of(System.getenv("GW_CONFIG"))));
    }
    service.readAnewOnHangUp(System.getenv());
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  service.stop();
                  // Not by the log: it stops early when the process does.
                  System.err.println(service.counters);
                },
                "stop"));
    try {
      service.catchUp();
      service.open();
      LOG.log(
          Level.INFO,
          "{0} serves on {1}",
          Field.of("name", told.name()),
          Field.of("address", service.address()),
          Field.event("service.started"));
      service.loop();
    } finally {
      service.ended.countDown();
    }
  }

  /**
   * Checks a configuration: opens a service on a free loopback port, asks it one empty query, and
   * ends.
   */
  public static void rehearse() throws IOException, InterruptedException {
    ServiceConfiguration told = ServiceConfiguration.read(System.getenv());
    Warmup.run(told);
    DispatcherService service =
        new DispatcherService(
            told.movedTo(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                told.bus(),
                told.known()));
    service.open();
    Thread asker = new Thread(service::askOnce);
    asker.start();
    service.loop();
    asker.join();
    service.close();
    System.out.println(told.name() + ": " + service.counters);
  }

  private void askOnce() {
    try (Socket socket = new Socket(address().getAddress(), address().getPort())) {
      OutputStream out = socket.getOutputStream();
      out.write(new byte[] {0, 0, 0, 9, 0, 3, 0, 0, 0, 'Q', 0, 0, 0, 5, 0, 'X', 0, 0, 0, 4});
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      LOG.log(Level.ERROR, "no answer from a service just opened: {0}", e.getMessage());
    }
    stop();
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "io");
    thread.setDaemon(true);
    return thread;
  }

  private static void tune(SocketSessionConfig sessions) {
    sessions.setTcpNoDelay(true);
    sessions.setKeepAlive(true);
    sessions.setMaxReadBufferSize(LARGEST_READ);
  }

  /**
   * Hears what the event bus has to tell beyond the configuration, before clients come: that was
   * written before this process started, and an engine that drained since must not be sent to.
   */
  void catchUp() throws InterruptedException {
    follow();
    Timestamp by = clock.now().plus(CATCH_UP_WITHIN);
    deadlines.set(by, () -> {});
    while (!bus.isCaughtUp(clock.now()) && clock.now().isBefore(by)) {
      turn();
    }
  }

  private void follow() {
    if (!follows) {
      follows = true;
      told.known().forEach(commands::listed);
      bus.connect();
    }
  }

  /** Takes clients in. */
  void open() throws IOException {
    follow();
    if (hall == null || hall.answersStandingBy()) {
      acceptor.bind(told.listen());
    }
    if (hall != null) {
      hall.open();
    }
    if (fleetNode != null) {
      fleetNode.open();
    }
  }

  /** SIGHUP: reads the configuration anew; one that can't be used changes nothing. */
  void readAnewOnHangUp(Map<String, String> environment) {
    SignalHandler before = Signal.handle(new Signal(HANG_UP), signal -> readAnew(environment));
    if (before == SignalHandler.SIG_IGN) {
      // As under nohup: the machine then installs no handler, and SIGHUP would do nothing, unsaid.
      LOG.log(
          Level.WARNING,
          "SIGHUP was ignored at the start and stays so: the configuration is never read anew",
          Field.event("configuration.deaf"));
    }
  }

  /** One reading at a time, or an older one could overtake a newer. */
  private synchronized void readAnew(Map<String, String> environment) {
    try {
      ServiceConfiguration anew = ServiceConfiguration.read(environment);
      Settings setup = own == null ? null : SettingsReader.read(own);
      byte[] document =
          !agrees
              ? null
              : AgreedConfiguration.document(
                  Files.readAllBytes(Path.of(environment.get("GW_CONFIG"))));
      inbox.post(
          null,
          () -> {
            renewed(anew, document);
            if (setup != null) {
              renewed(setup);
            }
          });
    } catch (IOException | RuntimeException e) {
      inbox.post(null, () -> counters.add(Count.CONFIGURATIONS_UNUSABLE));
      LOG.log(
          Level.ERROR,
          "the configuration stays as it was: {0}",
          Field.of("reason", e.getMessage()),
          Field.event("configuration.unusable"));
    }
  }

  private void renewed(ServiceConfiguration read, byte[] document) {
    boolean asks = document != null && !fleetNode.isEnded();
    if (asks) {
      // Not this file moves the module, but the fleet, once it has agreed on what the file says.
      fleetNode.propose(document);
    }
    ServiceConfiguration anew = asks && bridge.acts() != null ? read.with(bridge.acts()) : read;
    if (!anew.name().equals(told.name()) || !anew.listen().equals(told.listen())) {
      LOG.log(
          Level.WARNING,
          "name and address stay until the next start",
          Field.event("configuration.partly"));
    }
    if (!asks && !anew.deployment().equals(told.deployment())) {
      commands.moveTo(anew.deployment());
      LOG.log(
          Level.INFO,
          "other settings of decisions act from now on, with {0} commands in hand",
          Field.of("inHand", commands.inHand()),
          Field.event("configuration.moved"));
    }
    counters.add(Count.CONFIGURATIONS_READ);
    told = anew;
    engines.renewed(anew);
    bus.told(anew.known());
    bus.moved(anew.bus());
    LOG.log(
        Level.INFO,
        "{0} has read its configuration anew; the event bus is at {1}",
        Field.of("name", told.name()),
        Field.of("bus", anew.bus()),
        Field.event("configuration.read"));
  }

  private void renewed(Settings setup) {
    if (fleetNode != null && setup.fleet() != null) {
      fleetNode.renewed(setup.fleet());
    } else if (fleetNode != null || setup.fleet() != null) {
      LOG.log(
          Level.WARNING,
          "whether membership is on stays until the next start",
          Field.event("configuration.partly"));
    }
    if (hall != null && setup.hall() != null) {
      hall.renewed(setup.hall());
    } else if (hall != null || setup.hall() != null) {
      LOG.log(
          Level.WARNING,
          "whether mastership is on stays until the next start",
          Field.event("configuration.partly"));
    }
  }

  /** What a configuration would serve, in one line. */
  public static String check(Map<String, String> environment) {
    ServiceConfiguration told = ServiceConfiguration.read(environment);
    return told.name()
        + " on "
        + told.listen()
        + ", event bus "
        + told.bus()
        + ", "
        + told.deployment().dispatcherCount()
        + " dispatchers, "
        + told.deployment().requestClasses().size()
        + " profiles, limits "
        + told.sockets()
        + " descriptors and "
        + (told.memoryBytes() >> 20)
        + " MB";
  }

  /** Takes part in a hall from the start on. */
  void joins(Settings.VirtualAddressSettings with) {
    joins(with, this::report);
  }

  void joins(
      Settings.VirtualAddressSettings with, Supplier<VirtualAddressService.HealthReport> fitness) {
    hall =
        new VirtualAddressService(
            with, told, fitness, commands, clients, acceptor, inbox, clock, deadlines, counters);
  }

  /** Takes part in a fleet from the start on. */
  void joinsFleet(Settings setup, byte[] configuration) {
    agrees = setup.agreed() != null;
    bridge = new FleetBridge(commands, inbox, clock, told.deployment(), hall != null);
    fleetNode =
        new FleetService(
            setup,
            told,
            agrees ? AgreedConfiguration.document(configuration) : null,
            bridge,
            clients,
            hall != null,
            clock,
            counters);
  }

  /** What this dispatcher's fitness is judged by. */
  private VirtualAddressService.HealthReport report() {
    return new VirtualAddressService.HealthReport(
        bus.silent(clock.now()),
        engines.inService(),
        engines.failing(),
        (double) (clients.open() + engines.openConnections()) / told.sockets());
  }

  InetSocketAddress address() {
    return acceptor.getLocalAddress();
  }

  /** Runs what is handed over and what is due, until it is to stop and nothing is open. */
  void loop() throws InterruptedException {
    while (!isOver()) {
      turn();
    }
    ended.countDown();
  }

  /** Hears what has come, does what is due, and follows the policy. */
  private void turn() throws InterruptedException {
    // All that has come is heard before a deadline acts on what has not, or is decided on: a
    // process
    // that was held up would else give up sends whose answers lie here.
    hear(deadlines.untilNext(clock.now(), LONGEST_WAIT));
    if (deadlines.overdue(clock.now()).compareTo(HELD_UP) > 0 && hasConnections()) {
      hearUnread();
    }
    doDue();
    commands.follow();
  }

  /** Hears what was handed over, waiting this long at most for the first of it. */
  private void hear(TimeSpan most) throws InterruptedException {
    Runnable task = inbox.next(most);
    for (int heard = 1;
        task != null;
        task = heard++ < MOST_AT_ONCE ? inbox.next(TimeSpan.ZERO) : null) {
      look();
      task.run();
    }
    look();
  }

  private boolean hasConnections() {
    return acceptor.getManagedSessionCount()
            + toEngines.getManagedSessionCount()
            + toBus.getManagedSessionCount()
        > 0;
  }

  /** Has the I/O thread read all that came while the process was held up, and hears it. */
  private void hearUnread() throws InterruptedException {
    AtomicBoolean allHeard = new AtomicBoolean();
    processor.afterReading(() -> inbox.post(null, () -> allHeard.set(true)));
    Timestamp by = clock.now().plus(LONGEST_WAIT);
    for (Timestamp now = clock.now(); !allHeard.get() && now.isBefore(by); now = clock.now()) {
      hear(by.since(now));
    }
  }

  private void doDue() {
    for (Runnable due = deadlines.due(clock.now()); due != null; due = deadlines.due(clock.now())) {
      try {
        due.run();
      } catch (RuntimeException e) {
        counters.add(Count.FAULTS);
        LOG.log(Level.ERROR, "a fault at a deadline", e);
      }
    }
  }

  /**
   * Whether it was asked to stop, nothing is open, and its clients have gone or had long enough to
   * go.
   */
  private boolean isOver() {
    if (!leaves || !commands.isEmpty()) {
      return false;
    }
    if (leaveBy == null) {
      // Not before: while a request is in hand, its cancel request may come on a new connection.
      acceptor.unbind();
      clients.endIdle();
      leaveBy = clock.now().plus(LEAVE_WITHIN);
      deadlines.set(leaveBy, () -> {});
    }
    return acceptor.open() == 0 || !clock.now().isBefore(leaveBy);
  }

  /** Before anything is heard or decided: what a process that stood still has to know first. */
  private void look() {
    if (hall != null) {
      hall.look();
    }
    if (bridge != null) {
      bridge.look();
    }
  }

  /** Commands answered; to be asked when the loop has ended. */
  long answered() {
    return counters.of(Count.COMMANDS_ANSWERED);
  }

  /** Asks the loop to end once nothing is open. */
  void end() {
    inbox.post(null, () -> leave(TimeSpan.ZERO));
  }

  /** Takes nothing more after this span, and ends once nothing is open. */
  private void leave(TimeSpan after) {
    deadlines.set(
        clock.now().plus(after),
        () -> {
          leaves = true;
          clients.shutDown();
        });
    deadlines.set(clock.now().plus(after).plus(GIVE_UP_AFTER), commands::giveUp);
  }

  /** Asks the loop to end: it goes on serving until nothing is open. Returns when it has ended. */
  void stop() {
    inbox.post(
        null,
        () -> {
          if (hall != null) {
            hall.leave();
          }
          if (fleetNode != null) {
            fleetNode.leave();
          }
          leave(STOP_AFTER);
        });
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closes what is open; for a service that ends before its process does. */
  void close() {
    if (hall != null) {
      hall.close();
    }
    if (fleetNode != null) {
      fleetNode.close();
    }
    acceptor.dispose();
    toEngines.dispose();
    toBus.dispose();
    processor.dispose();
    threads.shutdownNow();
  }
}

package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.logging.JsonLines;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/** One dispatcher on sockets: puts its parts together, starts them, and shuts them down. */
public final class DispatcherService {
  private static final System.Logger LOG = System.getLogger(DispatcherService.class.getName());

  /**
   * New connections and requests are admitted for this long after a stop was asked for, in
   * microseconds.
   */
  private static final TimeSpan SHUTDOWN_DELAY_US = new TimeSpan(700_000);

  /**
   * Requests that are open this long after the last was admitted are abandoned while there is time
   * for their answer: the platform may kill a process 3 s after {@link #SHUTDOWN_DELAY_US}.
   */
  private static final TimeSpan ABANDON_AFTER_US = new TimeSpan(2_700_000);

  /**
   * A start waits at most this long for the endpoint watch, in microseconds; without it, it serves
   * by the endpoint list of the configuration.
   */
  private static final TimeSpan CATCH_UP_TIMEOUT_US = new TimeSpan(1_000_000);

  /**
   * A shutdown waits at most this long for clients to close after the last answer, in microseconds.
   */
  private static final TimeSpan CLIENTS_CLOSE_TIMEOUT_US = new TimeSpan(2_500_000);

  private static final int ACCEPT_BACKLOG = 1024;
  private static final int MAX_READ_BYTES = 1 << 14;

  /** Null unless virtual addresses are on. */
  private VirtualAddressService virtualAddresses;

  /** Null unless the fleet is on. */
  private FleetService fleet;

  /** Between the fleet's thread and the event loop; null without a fleet. */
  private FleetBridge fleetBridge;

  private final Clock clock = new Clock();
  private final Timers timers = new Timers();
  private final Counters counters = new Counters();
  final EventLoopQueue inbox = new EventLoopQueue(counters);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final ExecutorService threads = Executors.newCachedThreadPool(DispatcherService::thread);

  /** One I/O thread for clients and engines: the process has one core. */
  final SocketProcessor processor = new SocketProcessor(threads);

  final BoundedAcceptor acceptor;
  private final NioSocketConnector engineConnector = new NioSocketConnector(threads, processor);
  private final NioSocketConnector watchConnector = new NioSocketConnector(threads, processor);
  private final EngineConnections engines;
  private final RequestTable requests;
  private final ClientSessions clients;
  private final EndpointWatch endpointWatch;
  private final ConfigurationReloader reloader;
  private final EventLoop eventLoop;

  /** Whether the endpoint list is followed. */
  private boolean isWatching;

  /** Whether no new request is admitted. */
  private boolean isShuttingDown;

  /** When the service ends at the latest; null until it shuts down and no request is open. */
  private Timestamp endDeadline;

  DispatcherService(ServiceConfiguration configuration) {
    engines =
        new EngineConnections(
            configuration, engineConnector, processor, inbox, clock, timers, counters);
    requests =
        new RequestTable(
            configuration.deployment(), configuration.seed(), engines, timers, clock, counters);
    clients =
        new ClientSessions(
            configuration,
            requests,
            new SplittableRandom(~configuration.seed()),
            processor,
            inbox,
            clock,
            timers,
            counters);
    endpointWatch =
        new EndpointWatch(
            configuration,
            watchConnector,
            inbox,
            clock,
            timers,
            counters,
            requests::updateEndpoints);
    reloader =
        new ConfigurationReloader(configuration, engines, requests, endpointWatch, inbox, counters);
    eventLoop = new EventLoop(inbox, processor, clock, timers, counters, new LoopSteps());
    acceptor =
        new BoundedAcceptor(
            threads, processor, ClientConnections.maxAccepted(configuration.maxSockets()));
    configure(engineConnector.getSessionConfig());
    configure(watchConnector.getSessionConfig());
    configure(acceptor.getSessionConfig());
    acceptor.setReuseAddress(true);
    // Or open requests would be cut off when the last listener closes.
    acceptor.setCloseOnDeactivation(false);
    acceptor.setBacklog(ACCEPT_BACKLOG);
    acceptor.setHandler(clients.ioHandler());
  }

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "io");
    thread.setDaemon(true);
    return thread;
  }

  private static void configure(SocketSessionConfig sessions) {
    sessions.setTcpNoDelay(true);
    sessions.setKeepAlive(true);
    sessions.setMaxReadBufferSize(MAX_READ_BYTES);
  }

  // ---- entry points of the process

  /**
   * Serves until the process is asked to stop.
   *
   * @param settingsFile our own settings file, which names what is on beyond the platform's
   *     configuration, or null
   * @throws IOException if a file can't be read or an address can't be listened on
   */
  public static void run(Path settingsFile) throws IOException, InterruptedException {
    Settings settings = settingsFile == null ? null : SettingsReader.read(settingsFile);
    if (settings != null && settings.logsJson()) {
      JsonLines.install();
    }
    ServiceConfiguration configuration = ServiceConfiguration.read(System.getenv());
    Warmup.run(configuration);
    DispatcherService service = new DispatcherService(configuration);
    service.reloader.setSettingsFile(settingsFile);
    if (settings != null && settings.virtualAddresses() != null) {
      service.enableVirtualAddresses(settings.virtualAddresses());
    }
    if (settings != null && settings.membership() != null) {
      service.enableFleet(settings, Files.readAllBytes(Path.of(System.getenv("GW_CONFIG"))));
    }
    service.reloadOnHangUp(System.getenv());
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
      service.awaitEndpointUpdates();
      service.open();
      LOG.log(
          Level.INFO,
          "{0} serves on {1}",
          Field.of("name", configuration.name()),
          Field.of("address", service.address()),
          Field.event("service.started"));
      service.runLoop();
    } finally {
      service.ended.countDown();
    }
  }

  /**
   * Tests a configuration: opens a service on a free loopback port, sends it one empty query, ends
   * it and prints its counters.
   *
   * @throws IOException if no port can be opened
   */
  public static void rehearse() throws IOException, InterruptedException {
    ConfigurationCheck.rehearse(ServiceConfiguration.read(System.getenv()));
  }

  /**
   * Describes in one line what the configuration that this environment names would serve.
   *
   * @throws cobaltseam.deployment.InvalidInputException if it can't be used
   */
  public static String check(Map<String, String> environment) {
    return ConfigurationCheck.describe(ServiceConfiguration.read(environment));
  }

  // ---- the start

  /** Turns virtual addresses on; to be called before {@link #open}. */
  void enableVirtualAddresses(Settings.VirtualAddressSettings settings) {
    enableVirtualAddresses(settings, this::healthReport);
  }

  void enableVirtualAddresses(
      Settings.VirtualAddressSettings settings,
      Supplier<VirtualAddressService.HealthReport> healthReport) {
    virtualAddresses =
        new VirtualAddressService(
            settings,
            reloader.configuration(),
            healthReport,
            requests,
            clients,
            acceptor,
            inbox,
            clock,
            timers,
            counters);
    reloader.setVirtualAddresses(virtualAddresses);
  }

  /**
   * Turns the fleet on; to be called before {@link #open}, and after {@link
   * #enableVirtualAddresses}.
   */
  void enableFleet(Settings settings, byte[] configurationFile) {
    ServiceConfiguration configuration = reloader.configuration();
    boolean isAgreementOn = settings.agreement() != null;
    boolean hasVirtualAddresses = virtualAddresses != null;
    fleetBridge =
        new FleetBridge(requests, inbox, clock, configuration.deployment(), hasVirtualAddresses);
    fleet =
        new FleetService(
            settings,
            configuration,
            isAgreementOn ? AgreedConfiguration.document(configurationFile) : null,
            fleetBridge,
            clients,
            hasVirtualAddresses,
            clock,
            counters);
    reloader.setFleet(fleet, fleetBridge, isAgreementOn);
  }

  /** What the health score of this dispatcher is computed from. */
  private VirtualAddressService.HealthReport healthReport() {
    return new VirtualAddressService.HealthReport(
        endpointWatch.silence(clock.now()),
        engines.inService(),
        engines.failing(),
        (double) (clients.openClients() + engines.openConnections())
            / reloader.configuration().maxSockets());
  }

  /** From now on SIGHUP has the configuration read again. */
  void reloadOnHangUp(Map<String, String> environment) {
    reloader.reloadOnHangUp(environment);
  }

  /**
   * Waits, before clients come, for the events of the endpoint watch that are newer than the
   * configuration: an engine that was drained since must not be sent to.
   */
  void awaitEndpointUpdates() throws InterruptedException {
    watchEndpoints();
    Timestamp deadline = clock.now().plus(CATCH_UP_TIMEOUT_US);
    timers.set(deadline, () -> {});
    while (!endpointWatch.isCaughtUp(clock.now()) && clock.now().isBefore(deadline)) {
      eventLoop.runTurn();
    }
  }

  private void watchEndpoints() {
    if (!isWatching) {
      isWatching = true;
      reloader.configuration().knownEvents().forEach(requests::updateEndpoints);
      endpointWatch.connect();
    }
  }

  /**
   * Accepts clients.
   *
   * @throws IOException if an address can't be listened on
   */
  void open() throws IOException {
    watchEndpoints();
    if (virtualAddresses == null || virtualAddresses.answersAsBackup()) {
      acceptor.bind(reloader.configuration().listen());
    }
    if (virtualAddresses != null) {
      virtualAddresses.open();
    }
    if (fleet != null) {
      fleet.open();
    }
  }

  /** The address that clients connect to. */
  InetSocketAddress address() {
    return acceptor.getLocalAddress();
  }

  // ---- the event loop

  /** Runs the event loop on this thread until the service was asked to stop and has ended. */
  void runLoop() throws InterruptedException {
    while (!isOver()) {
      eventLoop.runTurn();
    }
    ended.countDown();
  }

  private final class LoopSteps implements EventLoop.Steps {
    @Override
    public void checkAuthority() {
      if (virtualAddresses != null) {
        virtualAddresses.fenceIfOverdue();
      }
      if (fleetBridge != null) {
        fleetBridge.exchange();
      }
    }

    @Override
    public boolean hasConnections() {
      return acceptor.getManagedSessionCount()
              + engineConnector.getManagedSessionCount()
              + watchConnector.getManagedSessionCount()
          > 0;
    }

    @Override
    public void runNextSteps() {
      requests.runNextSteps();
    }
  }

  /** The counters; from any thread. */
  Counters counters() {
    return counters;
  }

  /** How many requests were completed; to be called after the loop has ended. */
  long completedRequests() {
    return counters.get(Count.COMMANDS_ANSWERED);
  }

  // ---- the shutdown

  /**
   * Whether a stop was asked for, no request is open, and the clients have gone or had long enough
   * to go.
   */
  private boolean isOver() {
    if (!isShuttingDown || !requests.isEmpty()) {
      return false;
    }
    if (endDeadline == null) {
      // Not before: while a request is open, its cancel request may come on a new connection.
      acceptor.unbind();
      clients.closeIdle();
      endDeadline = clock.now().plus(CLIENTS_CLOSE_TIMEOUT_US);
      timers.set(endDeadline, () -> {});
    }
    return acceptor.openConnections() == 0 || !clock.now().isBefore(endDeadline);
  }

  /** Asks the loop to end as soon as no request is open; from any thread. */
  void endWhenIdle() {
    inbox.post(null, () -> shutDownAfter(TimeSpan.ZERO));
  }

  private void shutDownAfter(TimeSpan delay) {
    timers.set(
        clock.now().plus(delay),
        () -> {
          isShuttingDown = true;
          clients.shutDown();
        });
    timers.set(clock.now().plus(delay).plus(ABANDON_AFTER_US), requests::abandonAll);
  }

  /**
   * Asks the loop to end, and returns when it has: it goes on serving until no request is open.
   * From any thread but the event loop's.
   */
  void stop() {
    inbox.post(
        null,
        () -> {
          if (virtualAddresses != null) {
            virtualAddresses.resign();
          }
          if (fleet != null) {
            fleet.leave();
          }
          shutDownAfter(SHUTDOWN_DELAY_US);
        });
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Closes all sockets and threads; for a service that ends before its process does. */
  void close() {
    if (virtualAddresses != null) {
      virtualAddresses.close();
    }
    if (fleet != null) {
      fleet.close();
    }
    acceptor.dispose();
    engineConnector.dispose();
    watchConnector.dispose();
    processor.dispose();
    threads.shutdownNow();
  }
}

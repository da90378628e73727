package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.mastership.VirtualRouterId;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The listening sockets of the virtual routers. Binding and unbinding may block, so both run on a
 * thread of their own; every method is called on the event loop, and results are posted back to it.
 * An address that can't be bound is tried again for four advertisement intervals, then the router
 * is reported as unable to serve.
 */
final class VirtualAddressListeners {
  /** What the listeners ask of, and report to, the owner of the virtual routers. */
  interface RouterCallbacks {
    /** The advertisement interval of a configured router. */
    TimeSpan advertisementInterval(VirtualRouterId router);

    /** The wanted listener of this router is open. */
    void onServing(VirtualRouterId router);

    /** The wanted listener of this router could not be opened in time. */
    void onUnableToServe(VirtualRouterId router);
  }

  /** For how many advertisement intervals binding an address is tried. */
  private static final int MAX_BIND_INTERVALS = 4;

  /** The pause between two attempts to bind, in advertisement intervals. */
  private static final double BIND_RETRY_INTERVALS = 0.25;

  /** The listener of one virtual router, for as long as the router is configured. */
  private static final class Listener {
    InetSocketAddress address;
    boolean isWanted;

    /** The result of the last bind or unbind that has finished. */
    boolean isOpen;

    /** Whether a bind or unbind is under way. */
    boolean isBusy;

    Timestamp wantedSince;
  }

  private final BoundedAcceptor acceptor;
  private final EventLoopQueue eventLoop;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final Logger logger;
  private final RateLimitedLog rateLimitedLog;
  private final RouterCallbacks callbacks;
  private final ExecutorService binder =
      Executors.newSingleThreadExecutor(VirtualAddressListeners::newThread);
  private final Map<VirtualRouterId, Listener> listeners = new HashMap<>();
  private final Map<SocketAddress, VirtualRouterId> routersByAddress = new HashMap<>();

  VirtualAddressListeners(
      BoundedAcceptor acceptor,
      EventLoopQueue eventLoop,
      Clock clock,
      Timers timers,
      Counters counters,
      Logger logger,
      RateLimitedLog rateLimitedLog,
      RouterCallbacks callbacks) {
    this.acceptor = acceptor;
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.logger = logger;
    this.rateLimitedLog = rateLimitedLog;
    this.callbacks = callbacks;
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "listeners");
    thread.setDaemon(true);
    return thread;
  }

  /** Adds the listener of a router, closed, or keeps the one it has. */
  void configure(Settings.RouterSettings settings) {
    VirtualRouterId router = settings.options().router();
    listeners.computeIfAbsent(router, r -> new Listener()).address = settings.serviceAddress();
    routersByAddress.put(settings.serviceAddress(), router);
  }

  /** Replaces the listener of a router by a closed one at the address of these settings. */
  void replace(Settings.RouterSettings settings) {
    listeners.put(settings.options().router(), new Listener());
    configure(settings);
  }

  /** Whether a router is known here with another service address than these settings have. */
  boolean hasMoved(Settings.RouterSettings settings) {
    Listener listener = listeners.get(settings.options().router());
    return listener != null && !listener.address.equals(settings.serviceAddress());
  }

  /** Forgets all routers and service addresses but these. */
  void retainOnly(Set<VirtualRouterId> routers, List<Settings.RouterSettings> settings) {
    listeners.keySet().removeIf(router -> !routers.contains(router));
    Set<InetSocketAddress> addresses = new HashSet<>();
    settings.forEach(router -> addresses.add(router.serviceAddress()));
    routersByAddress.keySet().removeIf(address -> !addresses.contains(address));
  }

  /** Opens the listener of a router, and retries while its address is still bound elsewhere. */
  void open(VirtualRouterId router) {
    Listener listener = listeners.get(router);
    listener.isWanted = true;
    listener.wantedSince = clock.now();
    reconcile(router, listener);
  }

  /** Closes the listener of a router; open sessions stay. */
  void close(VirtualRouterId router) {
    Listener listener = listeners.get(router);
    listener.isWanted = false;
    reconcile(router, listener);
  }

  /** Closes the listeners of all routers; open sessions stay. */
  void closeAll() {
    listeners.keySet().forEach(this::close);
  }

  /** Ends the binding thread. */
  void shutDown() {
    binder.shutdownNow();
  }

  /** Starts the next bind or unbind, if the listener is not yet as wanted and none is under way. */
  private void reconcile(VirtualRouterId router, Listener listener) {
    if (listener.isBusy || listener.isWanted == listener.isOpen) {
      return;
    }
    listener.isBusy = true;
    boolean opens = listener.isWanted;
    binder.execute(
        () -> {
          IOException failure = opens ? bind(listener.address) : unbind(listener.address);
          eventLoop.post(null, () -> onReconciled(router, listener, opens, failure));
        });
  }

  /** Returns why the address can't be bound, or null once it is. */
  private IOException bind(InetSocketAddress address) {
    try {
      acceptor.bind(address);
      return null;
    } catch (IOException e) {
      return e;
    } catch (RuntimeException e) {
      return new IOException(e);
    }
  }

  /** Returns why the address can't be unbound, or null once it is. */
  private IOException unbind(InetSocketAddress address) {
    try {
      acceptor.unbind(address);
      return null;
    } catch (RuntimeException e) {
      return new IOException(e);
    }
  }

  private void onReconciled(
      VirtualRouterId router, Listener listener, boolean opened, IOException failure) {
    listener.isBusy = false;
    if (opened && failure != null) {
      onBindFailed(router, listener, failure);
      return;
    }
    listener.isOpen = opened;
    if (opened && listener.isWanted) {
      callbacks.onServing(router);
      logger.log(
          Level.INFO,
          "accepting clients on {0}",
          Field.of("address", listener.address),
          Field.of("virtualRouter", router),
          Field.event("mastership.serves"));
    }
    reconcile(router, listener);
  }

  private void onBindFailed(VirtualRouterId router, Listener listener, IOException failure) {
    counters.add(Count.MASTERSHIP_BINDS_FAILED);
    rateLimitedLog.warn(
        "cannot accept clients on {0} yet: {1}",
        Field.of("address", listener.address),
        Field.of("reason", failure.getMessage()),
        Field.event("mastership.bind_failed"));
    if (!listener.isWanted || listeners.get(router) != listener) {
      return;
    }
    TimeSpan interval = callbacks.advertisementInterval(router);
    TimeSpan triedFor = clock.now().since(listener.wantedSince);
    if (triedFor.compareTo(interval.times(MAX_BIND_INTERVALS)) > 0) {
      callbacks.onUnableToServe(router);
    } else {
      timers.set(
          clock.now().plus(interval.times(BIND_RETRY_INTERVALS)),
          () -> reconcile(router, listener));
    }
  }

  /** Whether clients connect to a virtual router at this address. */
  boolean isVirtual(SocketAddress address) {
    return routersByAddress.containsKey(address);
  }

  /** The router that is served at this address, or null. */
  VirtualRouterId routerAt(SocketAddress address) {
    return routersByAddress.get(address);
  }

  /** The service address of a configured router. */
  InetSocketAddress addressOf(VirtualRouterId router) {
    return listeners.get(router).address;
  }

  /** Whether the listener of a configured router is to be open. */
  boolean isWanted(VirtualRouterId router) {
    return listeners.get(router).isWanted;
  }

  /** Whether the listener of a configured router is open and is not being closed. */
  boolean isListening(VirtualRouterId router) {
    Listener listener = listeners.get(router);
    return listener.isOpen && !listener.isBusy;
  }

  /** Whether the listener of a configured router is open. */
  boolean isOpen(VirtualRouterId router) {
    return listeners.get(router).isOpen;
  }
}

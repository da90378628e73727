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
 * separate thread, which posts the results to the event loop. Every method is called on the event
 * loop. If an address can't be bound, binding is retried for four advertisement intervals; then the
 * router is reported as unable to serve.
 */
final class VirtualAddressListeners {
  /** Queries to, and notifications of, the owner of the virtual routers. */
  interface RouterCallbacks {
    /** The advertisement interval of a configured router. */
    TimeSpan advertisementInterval(VirtualRouterId router);

    /** Called when the listener of this router has opened as requested. */
    void onServing(VirtualRouterId router);

    /** Called when the listener of this router could not be opened in time. */
    void onUnableToServe(VirtualRouterId router);
  }

  /** The number of advertisement intervals for which binding an address is retried. */
  private static final int MAX_BIND_INTERVALS = 4;

  /** The delay between two attempts to bind, in advertisement intervals. */
  private static final double BIND_RETRY_INTERVALS = 0.25;

  /** The listener of one virtual router, for as long as the router is configured. */
  private static final class Listener {
    InetSocketAddress address;

    /** Whether the listener is requested to be open. */
    boolean isWanted;

    /** Whether the address is bound, as of the last bind or unbind that has completed. */
    boolean isOpen;

    /** Whether a bind or unbind is in progress. */
    boolean isBusy;

    /** When the listener was last requested to open. */
    Timestamp openRequestedAt;
  }

  private final BoundedAcceptor acceptor;
  private final EventLoopQueue eventLoop;
  private final Clock clock;
  private final Timers timers;
  private final Counters counters;
  private final Logger logger;
  private final RateLimitedLog rateLimitedLog;
  private final RouterCallbacks callbacks;
  private final ExecutorService bindExecutor =
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

  /**
   * Sets the service address of a router. A new router gets a closed listener; an existing listener
   * is kept.
   */
  void configure(Settings.RouterSettings settings) {
    VirtualRouterId router = settings.options().router();
    listeners.computeIfAbsent(router, added -> new Listener()).address = settings.serviceAddress();
    routersByAddress.put(settings.serviceAddress(), router);
  }

  /** Replaces the listener of a router by a closed one with the address of these settings. */
  void replace(Settings.RouterSettings settings) {
    listeners.put(settings.options().router(), new Listener());
    configure(settings);
  }

  /** Whether these settings change the service address of a router that is already configured. */
  boolean changesAddress(Settings.RouterSettings settings) {
    Listener listener = listeners.get(settings.options().router());
    return listener != null && !listener.address.equals(settings.serviceAddress());
  }

  /** Removes all routers and service addresses except these. */
  void retainOnly(Set<VirtualRouterId> routers, List<Settings.RouterSettings> settings) {
    listeners.keySet().removeIf(router -> !routers.contains(router));
    Set<InetSocketAddress> addresses = new HashSet<>();
    settings.forEach(router -> addresses.add(router.serviceAddress()));
    routersByAddress.keySet().removeIf(address -> !addresses.contains(address));
  }

  /** Opens the listener of a router, with retries while another process still has its address. */
  void open(VirtualRouterId router) {
    Listener listener = listeners.get(router);
    listener.isWanted = true;
    listener.openRequestedAt = clock.now();
    reconcile(router, listener);
  }

  /** Closes the listener of a router. Open sessions are not closed. */
  void close(VirtualRouterId router) {
    Listener listener = listeners.get(router);
    listener.isWanted = false;
    reconcile(router, listener);
  }

  /** Closes the listeners of all routers. Open sessions are not closed. */
  void closeAll() {
    listeners.keySet().forEach(this::close);
  }

  /** Stops the thread that binds and unbinds. */
  void shutDown() {
    bindExecutor.shutdownNow();
  }

  /**
   * Starts a bind or unbind if the listener is not in the requested state and no other bind or
   * unbind is in progress.
   */
  private void reconcile(VirtualRouterId router, Listener listener) {
    if (listener.isBusy || listener.isWanted == listener.isOpen) {
      return;
    }
    listener.isBusy = true;
    boolean isOpening = listener.isWanted;
    bindExecutor.execute(
        () -> {
          IOException failure = isOpening ? bind(listener.address) : unbind(listener.address);
          eventLoop.post(null, () -> onReconciled(router, listener, isOpening, failure));
        });
  }

  /** Binds an address; returns the failure, or null if it is bound. */
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

  /** Unbinds an address; returns the failure, or null if it is unbound. */
  private IOException unbind(InetSocketAddress address) {
    try {
      acceptor.unbind(address);
      return null;
    } catch (RuntimeException e) {
      return new IOException(e);
    }
  }

  private void onReconciled(
      VirtualRouterId router, Listener listener, boolean wasOpening, IOException failure) {
    listener.isBusy = false;
    if (wasOpening && failure != null) {
      onBindFailed(router, listener, failure);
      return;
    }
    listener.isOpen = wasOpening;
    if (wasOpening && listener.isWanted) {
      callbacks.onServing(router);
      logger.log(
          Level.INFO,
          "now accepting clients on service address {0}",
          Field.of("address", listener.address),
          Field.of("virtualRouter", router),
          Field.event("mastership.serves"));
    }
    reconcile(router, listener);
  }

  private void onBindFailed(VirtualRouterId router, Listener listener, IOException failure) {
    counters.add(Count.MASTERSHIP_BINDS_FAILED);
    rateLimitedLog.warn(
        "cannot bind service address {0}: {1}; check that the address is configured on this host"
            + " and that no other process listens on it",
        Field.of("address", listener.address),
        Field.of("reason", failure.getMessage()),
        Field.event("mastership.bind_failed"));
    if (!listener.isWanted || listeners.get(router) != listener) {
      return;
    }
    TimeSpan interval = callbacks.advertisementInterval(router);
    TimeSpan elapsed = clock.now().since(listener.openRequestedAt);
    if (elapsed.compareTo(interval.times(MAX_BIND_INTERVALS)) > 0) {
      callbacks.onUnableToServe(router);
    } else {
      timers.set(
          clock.now().plus(interval.times(BIND_RETRY_INTERVALS)),
          () -> reconcile(router, listener));
    }
  }

  /** Whether this is the service address of a virtual router. */
  boolean isVirtual(SocketAddress address) {
    return routersByAddress.containsKey(address);
  }

  /** The virtual router with this service address, or null. */
  VirtualRouterId routerAt(SocketAddress address) {
    return routersByAddress.get(address);
  }

  /** The service address of a configured router. */
  InetSocketAddress addressOf(VirtualRouterId router) {
    return listeners.get(router).address;
  }

  /** Whether the listener of a configured router is requested to be open. */
  boolean isWanted(VirtualRouterId router) {
    return listeners.get(router).isWanted;
  }

  /** Whether the listener of a configured router is open and not being closed. */
  boolean isListening(VirtualRouterId router) {
    Listener listener = listeners.get(router);
    return listener.isOpen && !listener.isBusy;
  }

  /** Whether the listener of a configured router is open. */
  boolean isOpen(VirtualRouterId router) {
    return listeners.get(router).isOpen;
  }
}

package cobaltseam.service;

import cobaltseam.deployment.RetryingIo;
import cobaltseam.logging.Field;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Map;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reloads the configuration file and the settings file on SIGHUP, and applies them on the
 * event-loop thread. If either file is invalid, nothing changes.
 */
final class ConfigurationReloader {
  private static final System.Logger LOG = System.getLogger(DispatcherService.class.getName());
  private static final String SIGHUP = "HUP";

  private final EngineConnections engines;
  private final RequestTable requests;
  private final EndpointWatch endpointWatch;
  private final EventLoopQueue eventLoop;
  private final Counters counters;

  /** The configuration that was applied last; after the start only the event loop accesses it. */
  private ServiceConfiguration configuration;

  /** The settings file, or null if this dispatcher has none. */
  private Path settingsFile;

  /** Null if virtual addresses are off. */
  private VirtualAddressService virtualAddresses;

  /** Null if fleet membership is off. */
  private FleetService fleet;

  /** Null if fleet membership is off. */
  private FleetBridge fleetBridge;

  /** Whether the fleet agrees on the dispatch settings. */
  private boolean isAgreementOn;

  ConfigurationReloader(
      ServiceConfiguration configuration,
      EngineConnections engines,
      RequestTable requests,
      EndpointWatch endpointWatch,
      EventLoopQueue eventLoop,
      Counters counters) {
    this.configuration = configuration;
    this.engines = engines;
    this.requests = requests;
    this.endpointWatch = endpointWatch;
    this.eventLoop = eventLoop;
    this.counters = counters;
  }

  /** The configuration that was applied last. */
  ServiceConfiguration configuration() {
    return configuration;
  }

  /** Has this settings file reloaded too. Like the setters below, to be called before the start. */
  void setSettingsFile(Path file) {
    settingsFile = file;
  }

  /** Has reloaded settings of virtual addresses applied to this service. */
  void setVirtualAddresses(VirtualAddressService service) {
    virtualAddresses = service;
  }

  /**
   * Has reloaded settings of the fleet applied to this service.
   *
   * @param agreementOn whether the fleet agrees on dispatch settings before they take effect
   */
  void setFleet(FleetService service, FleetBridge bridge, boolean agreementOn) {
    fleet = service;
    fleetBridge = bridge;
    isAgreementOn = agreementOn;
  }

  /** Installs the SIGHUP handler that reloads the files. */
  void reloadOnHangUp(Map<String, String> environment) {
    SignalHandler previous = Signal.handle(new Signal(SIGHUP), signal -> reload(environment));
    if (previous == SignalHandler.SIG_IGN) {
      // The parent process ignored SIGHUP, as nohup does. The JVM then installs no handler, and
      // SIGHUP would have no effect without any notice.
      LOG.log(
          Level.WARNING,
          "SIGHUP was ignored at the start and stays ignored, so the configuration is never"
              + " reloaded; to enable reloading, start the process without nohup",
          Field.event("configuration.deaf"));
    }
  }

  /**
   * Reads both files and posts them to the event loop. Synchronized, since of two concurrent
   * reloads the one that read older files could otherwise be applied last.
   */
  private synchronized void reload(Map<String, String> environment) {
    try {
      ServiceConfiguration reloaded = ServiceConfiguration.read(environment);
      Settings settings = settingsFile == null ? null : SettingsReader.read(settingsFile);
      byte[] document =
          !isAgreementOn
              ? null
              : AgreedConfiguration.document(
                  RetryingIo.readFile(Path.of(environment.get("GW_CONFIG"))));
      eventLoop.post(
          null,
          () -> {
            apply(reloaded, document);
            if (settings != null) {
              apply(settings);
            }
          });
    } catch (IOException | RuntimeException e) {
      eventLoop.post(null, () -> counters.add(Count.CONFIGURATIONS_UNUSABLE));
      LOG.log(
          Level.ERROR,
          "the configuration was not reloaded and stays unchanged: {0}; correct the file and send"
              + " SIGHUP again",
          Field.of("reason", e.getMessage()),
          Field.event("configuration.unusable"));
    }
  }

  private void apply(ServiceConfiguration reloaded, byte[] document) {
    boolean isProposed = document != null && !fleet.isEnded();
    if (isProposed) {
      // Dispatch settings are taken from the agreement of the fleet, not directly from this file.
      fleet.propose(document);
    }
    ServiceConfiguration next =
        isProposed && fleetBridge.activeSettings() != null
            ? reloaded.withDeployment(fleetBridge.activeSettings())
            : reloaded;
    if (!next.name().equals(configuration.name())
        || !next.listen().equals(configuration.listen())) {
      LOG.log(
          Level.WARNING,
          "the name and the listen address were not changed by the reload; restart to apply them",
          Field.event("configuration.partly"));
    }
    if (!isProposed && !next.deployment().equals(configuration.deployment())) {
      requests.applySettings(next.deployment());
      LOG.log(
          Level.INFO,
          "dispatch settings have changed while {0} requests were open",
          Field.of("inHand", requests.openRequests()),
          Field.event("configuration.moved"));
    }
    counters.add(Count.CONFIGURATIONS_READ);
    configuration = next;
    engines.applyConfiguration(next);
    endpointWatch.applyEvents(next.knownEvents());
    endpointWatch.moveTo(next.watchAddress());
    LOG.log(
        Level.INFO,
        "{0} has reloaded its configuration; endpoints are watched at {1}",
        Field.of("name", configuration.name()),
        Field.of("bus", next.watchAddress()),
        Field.event("configuration.read"));
  }

  private void apply(Settings settings) {
    if (fleet != null && settings.membership() != null) {
      fleet.applyReloadedSettings(settings.membership());
    } else if (fleet != null || settings.membership() != null) {
      LOG.log(
          Level.WARNING,
          "fleet membership was not turned on or off by the reload; restart to apply the change",
          Field.event("configuration.partly"));
    }
    if (virtualAddresses != null && settings.virtualAddresses() != null) {
      virtualAddresses.reconfigure(settings.virtualAddresses());
    } else if (virtualAddresses != null || settings.virtualAddresses() != null) {
      LOG.log(
          Level.WARNING,
          "virtual addresses were not turned on or off by the reload; restart to apply the change",
          Field.event("configuration.partly"));
    }
  }
}

package cobaltseam.service;

import cobaltseam.logging.Field;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reads the configuration and our own settings file again on SIGHUP, and applies them on the
 * event-loop thread. Files that can't be used change nothing.
 */
final class ConfigurationReloader {
  private static final System.Logger LOG = System.getLogger(DispatcherService.class.getName());
  private static final String HANG_UP = "HUP";

  private final EngineConnections engines;
  private final RequestTable requests;
  private final EndpointWatch endpointWatch;
  private final EventLoopQueue inbox;
  private final Counters counters;

  /** The configuration that was applied last; the event-loop thread's own after the start. */
  private ServiceConfiguration configuration;

  /** Our own settings file, or null where none is named. */
  private Path settingsFile;

  /** Null unless virtual addresses are on. */
  private VirtualAddressService virtualAddresses;

  /** Null unless the fleet is on. */
  private FleetService fleet;

  private FleetBridge fleetBridge;

  /** Whether the fleet agrees on the settings of decisions. */
  private boolean isAgreementOn;

  ConfigurationReloader(
      ServiceConfiguration configuration,
      EngineConnections engines,
      RequestTable requests,
      EndpointWatch endpointWatch,
      EventLoopQueue inbox,
      Counters counters) {
    this.configuration = configuration;
    this.engines = engines;
    this.requests = requests;
    this.endpointWatch = endpointWatch;
    this.inbox = inbox;
    this.counters = counters;
  }

  /** The configuration that was applied last. */
  ServiceConfiguration configuration() {
    return configuration;
  }

  /** From now on this file is read again too. To be called before the start, like those below. */
  void setSettingsFile(Path file) {
    settingsFile = file;
  }

  /** From now on the settings of virtual addresses are applied too. */
  void setVirtualAddresses(VirtualAddressService service) {
    virtualAddresses = service;
  }

  /**
   * From now on the settings of the fleet are applied too.
   *
   * @param agreementOn whether the fleet agrees on the settings of decisions before they act
   */
  void setFleet(FleetService service, FleetBridge bridge, boolean agreementOn) {
    fleet = service;
    fleetBridge = bridge;
    isAgreementOn = agreementOn;
  }

  /** From now on SIGHUP has the files read again. */
  void reloadOnHangUp(Map<String, String> environment) {
    SignalHandler before = Signal.handle(new Signal(HANG_UP), signal -> reload(environment));
    if (before == SignalHandler.SIG_IGN) {
      // As under nohup: the JVM then installs no handler, and SIGHUP would silently do nothing.
      LOG.log(
          Level.WARNING,
          "SIGHUP was ignored at the start and stays ignored: the configuration is never reloaded",
          Field.event("configuration.deaf"));
    }
  }

  /** Synchronized, since an older reading could otherwise overtake a newer one. */
  private synchronized void reload(Map<String, String> environment) {
    try {
      ServiceConfiguration read = ServiceConfiguration.read(environment);
      Settings settings = settingsFile == null ? null : SettingsReader.read(settingsFile);
      byte[] document =
          !isAgreementOn
              ? null
              : AgreedConfiguration.document(
                  Files.readAllBytes(Path.of(environment.get("GW_CONFIG"))));
      inbox.post(
          null,
          () -> {
            apply(read, document);
            if (settings != null) {
              apply(settings);
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

  private void apply(ServiceConfiguration read, byte[] document) {
    boolean isProposed = document != null && !fleet.isEnded();
    if (isProposed) {
      // The settings of decisions do not follow this file, but what the fleet agrees on.
      fleet.propose(document);
    }
    ServiceConfiguration next =
        isProposed && fleetBridge.activeSettings() != null
            ? read.withDeployment(fleetBridge.activeSettings())
            : read;
    if (!next.name().equals(configuration.name())
        || !next.listen().equals(configuration.listen())) {
      LOG.log(
          Level.WARNING,
          "name and address stay until the next start",
          Field.event("configuration.partly"));
    }
    if (!isProposed && !next.deployment().equals(configuration.deployment())) {
      requests.applySettings(next.deployment());
      LOG.log(
          Level.INFO,
          "the settings of decisions have changed, with {0} requests open",
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
        "{0} has reloaded its configuration; the event bus is at {1}",
        Field.of("name", configuration.name()),
        Field.of("bus", next.watchAddress()),
        Field.event("configuration.read"));
  }

  private void apply(Settings settings) {
    if (fleet != null && settings.membership() != null) {
      fleet.applyRenewedSettings(settings.membership());
    } else if (fleet != null || settings.membership() != null) {
      LOG.log(
          Level.WARNING,
          "whether membership is on stays until the next start",
          Field.event("configuration.partly"));
    }
    if (virtualAddresses != null && settings.virtualAddresses() != null) {
      virtualAddresses.reconfigure(settings.virtualAddresses());
    } else if (virtualAddresses != null || settings.virtualAddresses() != null) {
      LOG.log(
          Level.WARNING,
          "whether mastership is on stays until the next start",
          Field.event("configuration.partly"));
    }
  }
}

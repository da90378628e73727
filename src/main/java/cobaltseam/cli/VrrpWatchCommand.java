package cobaltseam.cli;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.ActiveRouterObserver;
import cobaltseam.mastership.ActiveRouterObserver.ActiveRouterChange;
import cobaltseam.mastership.AdvertisementFilter;
import cobaltseam.mastership.Mastership;
import cobaltseam.mastership.ReplayGuard;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import cobaltseam.transport.AdvertDatagramSocket;
import cobaltseam.vrrp.Addresses;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Listens as a member of the group that never becomes active, and prints the active routers. */
@Command(
    name = "watch",
    description =
        "Listens at mastership.listen of the settings file and prints each change of the active "
            + "router, one JSON object per line. Sends no advertisements and accepts no clients.")
final class VrrpWatchCommand implements Callable<Integer> {
  private static final int MAX_QUEUED_DATAGRAMS = 4096;
  private static final long US_PER_SECOND = 1_000_000;
  private static final long NS_PER_US = 1000;

  @Mixin StandardOptions standardOptions;
  @Mixin SettingsFileOption settingsFile;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      description = "exits after N seconds; default: never")
  Long seconds;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  private record Datagram(byte[] bytes, InetAddress source) {}

  @Override
  public Integer call() throws IOException, InterruptedException {
    Settings.VirtualAddressSettings settings =
        settingsFile.path == null
            ? null
            : SettingsReader.read(settingsFile.path).virtualAddresses();
    if (settings == null) {
      throw new InvalidInputException(
          "no settings file with a [mastership] section is given by --config or COBALTSEAM_CONFIG");
    }
    Timestamp start = now();
    BlockingQueue<Datagram> datagrams = new LinkedBlockingQueue<>(MAX_QUEUED_DATAGRAMS);
    AdvertDatagramSocket socket =
        new AdvertDatagramSocket(
            settings.listen(),
            settings.peerAddresses(),
            (bytes, source) -> datagrams.offer(new Datagram(bytes, source)));
    socket.open();
    watch(start, settings, socket, datagrams);
    socket.close();
    return 0;
  }

  private void watch(
      Timestamp start,
      Settings.VirtualAddressSettings settings,
      AdvertDatagramSocket socket,
      BlockingQueue<Datagram> datagrams)
      throws IOException, InterruptedException {
    InetAddress self = settings.listen().getAddress();
    AdvertisementFilter filter = filter(settings, start);
    ActiveRouterObserver observer = new ActiveRouterObserver();
    Timestamp end = seconds == null ? null : start.plus(new TimeSpan(seconds * US_PER_SECOND));
    for (Timestamp now = start; end == null || now.isBefore(end); now = now()) {
      Datagram datagram =
          datagrams.poll(timeToNextEvent(observer, end, now).us() + 1, TimeUnit.MICROSECONDS);
      List<ActiveRouterChange> changes = new ArrayList<>();
      if (datagram != null) {
        socket.release(datagram.bytes, datagram.source);
        AdvertisementFilter.FilterResult result =
            filter.evaluate(datagram.bytes, datagram.source, self, now());
        if (result.advertisement() != null) {
          changes.addAll(observer.onAdvertisement(datagram.source, result.advertisement(), now()));
        }
      }
      changes.addAll(observer.expireAdvertisements(now()));
      print(changes);
    }
  }

  /** Creates the filter of a group member whose mastership is never started or advertised. */
  private static AdvertisementFilter filter(
      Settings.VirtualAddressSettings settings, Timestamp start) {
    InetAddress self = settings.listen().getAddress();
    Settings.AuthenticationSettings authentication = settings.authentication();
    Mastership neverStarted =
        new Mastership(
            self,
            settings.routerOptions(),
            settings.peerAddresses(),
            0,
            TimeSpan.ZERO,
            TimeSpan.ZERO,
            settings.acceptsOtherIntervals());
    return new AdvertisementFilter(
        self,
        neverStarted,
        new ReplayGuard(
            start, authentication == null ? TimeSpan.ZERO : authentication.clockDifference()),
        settings.peerAddresses(),
        authentication == null ? null : authentication.keys());
  }

  private static TimeSpan timeToNextEvent(
      ActiveRouterObserver observer, Timestamp end, Timestamp now) {
    Timestamp expiry = observer.nextExpiry();
    TimeSpan wait =
        expiry == null ? new TimeSpan(US_PER_SECOND) : expiry.since(now).max(TimeSpan.ZERO);
    return end == null ? wait : wait.min(end.since(now));
  }

  private void print(List<ActiveRouterChange> changes) throws IOException {
    PrintWriter out = spec.commandLine().getOut();
    for (ActiveRouterChange change : changes) {
      out.println(toJson(change));
      out.flush();
    }
  }

  private static Timestamp now() {
    return new Timestamp(ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()));
  }

  private static String toJson(ActiveRouterChange change) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("event", "mastership.seen");
      json.writeStringField(
          "at", Instant.ofEpochSecond(0, change.since().us() * NS_PER_US).toString());
      json.writeNumberField("virtualRouterId", change.router().value());
      json.writeStringField("state", stateLabel(change.activeRouters().size()));
      json.writeArrayFieldStart("active");
      for (InetAddress address : change.activeRouters()) {
        json.writeString(Addresses.format(address));
      }
      json.writeEndArray();
      json.writeEndObject();
    }
    return text.toString();
  }

  private static String stateLabel(int activeRouterCount) {
    return switch (activeRouterCount) {
      case 0 -> "none";
      case 1 -> "active";
      default -> "split";
    };
  }
}

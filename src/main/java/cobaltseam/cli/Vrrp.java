package cobaltseam.cli;

import cobaltseam.authentication.MessageAuthenticator;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.ActiveRouterObserver;
import cobaltseam.mastership.AdvertisementFilter;
import cobaltseam.mastership.Mastership;
import cobaltseam.mastership.ReplayGuard;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import cobaltseam.transport.AdvertDatagramSocket;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What operators ask of VRRP: adverts as bytes and as text, and who is active. */
@Command(
    name = "vrrp",
    description = "Adverts of VRRP version 3: decode and encode them, and watch who is active.",
    subcommands = {Vrrp.Decode.class, Vrrp.Encode.class, Vrrp.Watch.class},
    synopsisSubcommandLabel = "COMMAND")
final class Vrrp implements Callable<Integer> {
  @Mixin CobaltseamCommand.Standard standard;
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return CommandLine.ExitCode.USAGE;
  }

  private static InetAddress address(String option, String text) {
    return Addresses.read(text)
        .orElseThrow(
            () ->
                new InvalidInputException(
                    option
                        + ": '"
                        + text
                        + "' stands there; an IPv4 or IPv6 address, written out, is allowed"));
  }

  private static String label(ChecksumCoverage covers) {
    return covers == ChecksumCoverage.MESSAGE ? "message" : "pseudo_header";
  }

  /** The addresses of the datagram. */
  static final class Datagram {
    @Option(
        names = "--source",
        required = true,
        paramLabel = "ADDRESS",
        description = "source address of the datagram")
    String source;

    @Option(
        names = "--destination",
        required = true,
        paramLabel = "ADDRESS",
        description = "destination address of the datagram")
    String destination;

    InetAddress from() {
      return address("--source", source);
    }

    InetAddress to() {
      return address("--destination", destination);
    }
  }

  /** Bytes to JSON. */
  @Command(
      name = "decode",
      description = "Reads an advert in hex and prints it as one JSON object, or why it is none.")
  static final class Decode implements Callable<Integer> {
    @Mixin CobaltseamCommand.Standard standard;
    @Mixin Datagram datagram;

    @Parameters(paramLabel = "HEX", description = "the payload, with or without spaces and colons")
    String hex;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      String plain = hex.replaceAll("[\\s:]", "");
      if (!plain.matches("([0-9a-fA-F]{2})*")) {
        throw new InvalidInputException("HEX is not a row of whole bytes in hex");
      }
      byte[] bytes = HexFormat.of().parseHex(plain);
      DecodeResult reading = AdvertisementCodec.decode(bytes, datagram.from(), datagram.to());
      if (reading instanceof DecodeResult.Rejected no) {
        throw new InvalidInputException(
            "no advert, " + no.reason().label() + ": " + no.reason().explanation());
      }
      DecodeResult.Decoded whole = (DecodeResult.Decoded) reading;
      StringWriter text = new StringWriter();
      try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
        json.writeStartObject();
        json.writeNumberField("version", 3);
        json.writeNumberField("virtualRouterId", whole.advertisement().virtualRouterId());
        json.writeNumberField("priority", whole.advertisement().priority());
        json.writeNumberField(
            "maxAdvertiseIntervalCentiseconds",
            whole.advertisement().maxAdvertiseIntervalCentiseconds());
        json.writeArrayFieldStart("addresses");
        for (InetAddress address : whole.advertisement().addresses()) {
          json.writeString(Addresses.text(address));
        }
        json.writeEndArray();
        json.writeStringField("checksumCovers", label(whole.coverage()));
        if (whole.hasTrailer()) {
          MessageAuthenticator.Trailer told =
              MessageAuthenticator.readTrailer(bytes, whole.length());
          json.writeObjectFieldStart("seal");
          json.writeNumberField("keyId", told.key());
          json.writeNumberField("sequence", told.sequence());
          json.writeEndObject();
        }
        json.writeEndObject();
      }
      spec.commandLine().getOut().println(text);
      spec.commandLine().getOut().flush();
      return 0;
    }
  }

  /** JSON, or options, to bytes. */
  @Command(
      name = "encode",
      description = "Writes an advert in hex, from the JSON that decode prints or from options.")
  static final class Encode implements Callable<Integer> {
    @Mixin CobaltseamCommand.Standard standard;
    @Mixin Datagram datagram;

    @Parameters(
        paramLabel = "JSON",
        arity = "0..1",
        description = "an object as decode prints it, or - for standard input")
    String json;

    @Option(names = "--virtual-router-id", paramLabel = "ID", description = "1 to 255")
    Integer router;

    @Option(names = "--priority", paramLabel = "PRIORITY", description = "0 to 255; 0 resigns")
    Integer priority;

    @Option(
        names = {"--max-advertise-interval", "--interval"},
        paramLabel = "CENTISECONDS",
        description = "1 to 4095")
    Integer interval;

    @Option(
        names = {"--address", "--addresses"},
        paramLabel = "ADDRESS",
        split = ",",
        description = "a virtual address; may be given again")
    List<String> addresses;

    @Option(
        names = "--checksum-covers",
        paramLabel = "WHAT",
        description = "for IPv4: message (RFC 9568, the default) or pseudo_header")
    String covers;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      JsonNode told = told();
      List<InetAddress> of = new ArrayList<>();
      if (addresses != null) {
        addresses.forEach(a -> of.add(address("--address", a)));
      } else {
        told.path("addresses").forEach(a -> of.add(address("addresses", a.asText())));
      }
      String what = covers != null ? covers : told.path("checksumCovers").asText("message");
      if (!what.equals("message") && !what.equals("pseudo_header")) {
        throw new InvalidInputException(
            "--checksum-covers: '" + what + "' stands there; message or pseudo_header is allowed");
      }
      try {
        Advertisement advert =
            new Advertisement(
                number(router, told, "virtualRouterId"),
                number(priority, told, "priority"),
                number(interval, told, "maxAdvertiseIntervalCentiseconds"),
                of);
        spec.commandLine()
            .getOut()
            .println(
                HexFormat.of()
                    .formatHex(
                        AdvertisementCodec.encode(
                            advert,
                            datagram.from(),
                            datagram.to(),
                            what.equals("message")
                                ? ChecksumCoverage.MESSAGE
                                : ChecksumCoverage.PSEUDO_HEADER)));
        spec.commandLine().getOut().flush();
        return 0;
      } catch (IllegalArgumentException e) {
        throw new InvalidInputException(e.getMessage());
      }
    }

    private JsonNode told() throws IOException {
      ObjectMapper mapper = new ObjectMapper();
      if (json == null) {
        return mapper.createObjectNode();
      }
      try {
        JsonNode told = json.equals("-") ? mapper.readTree(System.in) : mapper.readTree(json);
        if (!told.isObject()) {
          throw new InvalidInputException("JSON is not an object");
        }
        return told;
      } catch (JacksonException e) {
        throw new InvalidInputException("JSON can't be read: " + e.getOriginalMessage());
      }
    }

    private static int number(Integer option, JsonNode told, String key) {
      if (option == null && !told.path(key).canConvertToInt()) {
        throw new InvalidInputException(key + " is told neither by an option nor by JSON");
      }
      return option != null ? option : told.path(key).asInt();
    }
  }

  /** Listens as one of the group, claims nothing, and tells who is active. */
  @Command(
      name = "watch",
      description =
          "Listens at the own file's address and prints each change of who is active, an "
              + "object a line. It claims nothing and takes no traffic.")
  static final class Watch implements Callable<Integer> {
    private static final int MOST_WAITING = 4096;
    private static final long US_PER_SECOND = 1_000_000;

    @Mixin CobaltseamCommand.Standard standard;
    @Mixin CobaltseamCommand.Own own;

    @Option(
        names = "--seconds",
        paramLabel = "N",
        description = "ends after so many seconds; default: never")
    Long seconds;

    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    private record Came(byte[] bytes, InetAddress source) {}

    @Override
    public Integer call() throws IOException, InterruptedException {
      Settings.VirtualAddressSettings hall =
          own.file == null ? null : SettingsReader.read(own.file).hall();
      if (hall == null) {
        throw new InvalidInputException(
            "the own file, by --config or COBALTSEAM_CONFIG, names no [mastership]");
      }
      InetAddress self = hall.listen().getAddress();
      Set<InetAddress> peers = hall.peerAddresses();
      Timestamp start = now();
      TimeSpan difference =
          hall.sealing() == null ? TimeSpan.ZERO : hall.sealing().clockDifference();
      Mastership never =
          new Mastership(
              self, hall.terms(), peers, 0, TimeSpan.ZERO, TimeSpan.ZERO, hall.followsIntervals());
      AdvertisementFilter intake =
          new AdvertisementFilter(
              self,
              never,
              new ReplayGuard(start, difference),
              peers,
              hall.sealing() == null ? null : hall.sealing().keys());
      ActiveRouterObserver observer = new ActiveRouterObserver();
      BlockingQueue<Came> waiting = new LinkedBlockingQueue<>(MOST_WAITING);
      AdvertDatagramSocket socket =
          new AdvertDatagramSocket(
              hall.listen(), peers, (bytes, source) -> waiting.offer(new Came(bytes, source)));
      socket.open();
      Timestamp end = seconds == null ? null : start.plus(new TimeSpan(seconds * US_PER_SECOND));
      PrintWriter out = spec.commandLine().getOut();
      for (Timestamp now = start; end == null || now.isBefore(end); now = now()) {
        Timestamp wake = observer.nextExpiry();
        TimeSpan wait =
            wake == null ? new TimeSpan(US_PER_SECOND) : wake.since(now).max(TimeSpan.ZERO);
        wait = end == null ? wait : wait.min(end.since(now));
        Came came = waiting.poll(wait.us() + 1, TimeUnit.MICROSECONDS);
        List<ActiveRouterObserver.ActiveRouterChange> seen = new ArrayList<>();
        if (came != null) {
          socket.heard(came.bytes, came.source);
          AdvertisementFilter.Verdict verdict =
              intake.evaluate(came.bytes, came.source, self, now());
          if (verdict.advertisement() != null) {
            seen.addAll(observer.onAdvertisement(came.source, verdict.advertisement(), now()));
          }
        }
        seen.addAll(observer.expireClaims(now()));
        for (ActiveRouterObserver.ActiveRouterChange s : seen) {
          out.println(line(s));
          out.flush();
        }
      }
      socket.close();
      return 0;
    }

    private static Timestamp now() {
      return new Timestamp(
          java.time.temporal.ChronoUnit.MICROS.between(
              java.time.Instant.EPOCH, java.time.Instant.now()));
    }

    private static String line(ActiveRouterObserver.ActiveRouterChange seen) throws IOException {
      StringWriter text = new StringWriter();
      try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
        json.writeStartObject();
        json.writeStringField("event", "mastership.seen");
        json.writeStringField(
            "at", java.time.Instant.ofEpochSecond(0, seen.since().us() * 1000).toString());
        json.writeNumberField("virtualRouterId", seen.router().value());
        json.writeStringField(
            "state",
            seen.active().isEmpty() ? "none" : seen.active().size() == 1 ? "active" : "split");
        json.writeArrayFieldStart("active");
        for (InetAddress address : seen.active()) {
          json.writeString(Addresses.text(address));
        }
        json.writeEndArray();
        json.writeEndObject();
      }
      return text.toString();
    }
  }
}

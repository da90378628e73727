package cobaltseam.cli;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Encodes a VRRP advertisement from JSON or options to hex; options override JSON. */
@Command(
    name = "encode",
    description =
        "Encodes an advertisement to hex, from the JSON that decode prints or from options.")
final class VrrpEncodeCommand implements Callable<Integer> {
  @Mixin StandardOptions standardOptions;
  @Mixin VrrpCommand.DatagramOptions datagram;

  @Parameters(
      paramLabel = "JSON",
      arity = "0..1",
      description = "an object in the format that decode prints, or - for standard input")
  String json;

  @Option(names = "--virtual-router-id", paramLabel = "ID", description = "1 to 255")
  Integer virtualRouterId;

  @Option(
      names = "--priority",
      paramLabel = "PRIORITY",
      description = "0 to 255; 0 gives up the active role")
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
      description = "a virtual address; may be repeated")
  List<String> addresses;

  @Option(
      names = "--checksum-covers",
      paramLabel = "WHAT",
      description =
          "what the checksum covers for IPv4: message (RFC 9568, the default) or pseudo_header")
  String checksumCoverage;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    JsonNode object = readJson();
    List<InetAddress> virtualAddresses = virtualAddresses(object);
    ChecksumCoverage coverage = coverage(object);
    try {
      Advertisement advertisement =
          new Advertisement(
              number(virtualRouterId, object, "virtualRouterId"),
              number(priority, object, "priority"),
              number(interval, object, "maxAdvertiseIntervalCentiseconds"),
              virtualAddresses);
      byte[] bytes =
          AdvertisementCodec.encode(
              advertisement, datagram.sourceAddress(), datagram.destinationAddress(), coverage);
      PrintWriter out = spec.commandLine().getOut();
      out.println(HexFormat.of().formatHex(bytes));
      out.flush();
      return 0;
    } catch (IllegalArgumentException e) {
      throw new InvalidInputException(e.getMessage());
    }
  }

  private JsonNode readJson() throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    if (json == null) {
      return mapper.createObjectNode();
    }
    try {
      JsonNode object = json.equals("-") ? mapper.readTree(System.in) : mapper.readTree(json);
      if (!object.isObject()) {
        throw new InvalidInputException("JSON is not an object");
      }
      return object;
    } catch (JacksonException e) {
      throw new InvalidInputException("JSON can't be parsed: " + e.getOriginalMessage());
    }
  }

  private List<InetAddress> virtualAddresses(JsonNode object) {
    List<InetAddress> parsed = new ArrayList<>();
    if (addresses != null) {
      addresses.forEach(text -> parsed.add(VrrpCommand.parseAddress("--address", text)));
    } else {
      object
          .path("addresses")
          .forEach(node -> parsed.add(VrrpCommand.parseAddress("addresses", node.asText())));
    }
    return parsed;
  }

  private ChecksumCoverage coverage(JsonNode object) {
    String text =
        checksumCoverage != null
            ? checksumCoverage
            : object.path("checksumCovers").asText(VrrpCommand.COVERS_MESSAGE);
    return switch (text) {
      case VrrpCommand.COVERS_MESSAGE -> ChecksumCoverage.MESSAGE;
      case VrrpCommand.COVERS_PSEUDO_HEADER -> ChecksumCoverage.PSEUDO_HEADER;
      default ->
          throw new InvalidInputException(
              "--checksum-covers: found '" + text + "'; expected message or pseudo_header");
    };
  }

  private static int number(Integer option, JsonNode object, String key) {
    if (option == null && !object.path(key).canConvertToInt()) {
      throw new InvalidInputException(key + " is given neither by an option nor in JSON");
    }
    return option != null ? option : object.path(key).asInt();
  }
}

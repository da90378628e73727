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

/** Encodes a VRRP advertisement from JSON or options to hex; an option wins over JSON. */
@Command(
    name = "encode",
    description = "Writes an advert in hex, from the JSON that decode prints or from options.")
final class VrrpEncodeCommand implements Callable<Integer> {
  @Mixin StandardOptions standard;
  @Mixin VrrpCommand.DatagramOptions datagram;

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
    JsonNode object = readJson();
    List<InetAddress> virtualAddresses = virtualAddresses(object);
    ChecksumCoverage coverage = coverage(object);
    try {
      Advertisement advertisement =
          new Advertisement(
              number(router, object, "virtualRouterId"),
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
      throw new InvalidInputException("JSON can't be read: " + e.getOriginalMessage());
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
        covers != null ? covers : object.path("checksumCovers").asText(VrrpCommand.COVERS_MESSAGE);
    return switch (text) {
      case VrrpCommand.COVERS_MESSAGE -> ChecksumCoverage.MESSAGE;
      case VrrpCommand.COVERS_PSEUDO_HEADER -> ChecksumCoverage.PSEUDO_HEADER;
      default ->
          throw new InvalidInputException(
              "--checksum-covers: '"
                  + text
                  + "' stands there; message or pseudo_header is allowed");
    };
  }

  private static int number(Integer option, JsonNode object, String key) {
    if (option == null && !object.path(key).canConvertToInt()) {
      throw new InvalidInputException(key + " is told neither by an option nor by JSON");
    }
    return option != null ? option : object.path(key).asInt();
  }
}

package cobaltseam.cli;

import cobaltseam.authentication.MessageAuthenticator;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.util.HexFormat;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Decodes the payload of a VRRP datagram from hex to JSON. */
@Command(
    name = "decode",
    description =
        "Decodes an advertisement from hex to one JSON object, or reports why it is invalid.")
final class VrrpDecodeCommand implements Callable<Integer> {
  @Mixin StandardOptions standardOptions;
  @Mixin VrrpCommand.DatagramOptions datagram;

  @Parameters(paramLabel = "HEX", description = "the payload in hex; spaces and colons are ignored")
  String hex;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    String digits = hex.replaceAll("[\\s:]", "");
    if (!digits.matches("([0-9a-fA-F]{2})*")) {
      throw new InvalidInputException("HEX is not a sequence of bytes of two hex digits each");
    }
    byte[] bytes = HexFormat.of().parseHex(digits);
    DecodeResult result =
        AdvertisementCodec.decode(bytes, datagram.sourceAddress(), datagram.destinationAddress());
    if (result instanceof DecodeResult.Rejected rejected) {
      throw new InvalidInputException(
          "invalid advertisement, "
              + rejected.reason().label()
              + ": "
              + rejected.reason().explanation());
    }
    PrintWriter out = spec.commandLine().getOut();
    out.println(toJson(bytes, (DecodeResult.Decoded) result));
    out.flush();
    return 0;
  }

  private static String toJson(byte[] bytes, DecodeResult.Decoded decoded) throws IOException {
    Advertisement advertisement = decoded.advertisement();
    StringWriter text = new StringWriter();
    try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
      json.writeStartObject();
      json.writeNumberField("version", 3);
      json.writeNumberField("virtualRouterId", advertisement.virtualRouterId());
      json.writeNumberField("priority", advertisement.priority());
      json.writeNumberField(
          "maxAdvertiseIntervalCentiseconds", advertisement.maxAdvertiseIntervalCentiseconds());
      json.writeArrayFieldStart("addresses");
      for (InetAddress address : advertisement.addresses()) {
        json.writeString(Addresses.format(address));
      }
      json.writeEndArray();
      json.writeStringField(
          "checksumCovers",
          decoded.coverage() == ChecksumCoverage.MESSAGE
              ? VrrpCommand.COVERS_MESSAGE
              : VrrpCommand.COVERS_PSEUDO_HEADER);
      if (decoded.hasTrailer()) {
        MessageAuthenticator.Trailer trailer =
            MessageAuthenticator.readTrailer(bytes, decoded.length());
        json.writeObjectFieldStart("seal");
        json.writeNumberField("keyId", trailer.keyId());
        json.writeNumberField("sequence", trailer.sequence());
        json.writeEndObject();
      }
      json.writeEndObject();
    }
    return text.toString();
  }
}

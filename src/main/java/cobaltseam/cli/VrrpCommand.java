package cobaltseam.cli;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import java.net.InetAddress;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** VRRP tools for operators: converts advertisements between hex and JSON, and watches a group. */
@Command(
    name = "vrrp",
    description =
        "Decodes and encodes VRRP version 3 advertisements, and watches which router is active.",
    subcommands = {VrrpDecodeCommand.class, VrrpEncodeCommand.class, VrrpWatchCommand.class},
    synopsisSubcommandLabel = "COMMAND")
final class VrrpCommand implements Callable<Integer> {
  /** The value of {@link ChecksumCoverage#MESSAGE} in JSON and options. */
  static final String COVERS_MESSAGE = "message";

  /** The value of {@link ChecksumCoverage#PSEUDO_HEADER} in JSON and options. */
  static final String COVERS_PSEUDO_HEADER = "pseudo_header";

  @Mixin StandardOptions standardOptions;
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return CommandLine.ExitCode.USAGE;
  }

  /**
   * Parses an address in an option or in JSON.
   *
   * @throws InvalidInputException if it is not an address, with the option's name and the value
   */
  static InetAddress parseAddress(String option, String text) {
    return Addresses.parse(text)
        .orElseThrow(
            () ->
                new InvalidInputException(
                    option + ": found '" + text + "'; expected a numeric IPv4 or IPv6 address"));
  }

  /** The options for the source and destination addresses of a datagram. */
  static final class DatagramOptions {
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

    /**
     * Returns the source address.
     *
     * @throws InvalidInputException if it is not a numeric address
     */
    InetAddress sourceAddress() {
      return parseAddress("--source", source);
    }

    /**
     * Returns the destination address.
     *
     * @throws InvalidInputException if it is not a numeric address
     */
    InetAddress destinationAddress() {
      return parseAddress("--destination", destination);
    }
  }
}

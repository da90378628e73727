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

/** VRRP tools for operators: convert advertisements between bytes and JSON, and watch a group. */
@Command(
    name = "vrrp",
    description = "Adverts of VRRP version 3: decode and encode them, and watch who is active.",
    subcommands = {VrrpDecodeCommand.class, VrrpEncodeCommand.class, VrrpWatchCommand.class},
    synopsisSubcommandLabel = "COMMAND")
final class VrrpCommand implements Callable<Integer> {
  /** The text of {@link ChecksumCoverage#MESSAGE} in JSON and options. */
  static final String COVERS_MESSAGE = "message";

  /** The text of {@link ChecksumCoverage#PSEUDO_HEADER} in JSON and options. */
  static final String COVERS_PSEUDO_HEADER = "pseudo_header";

  @Mixin StandardOptions standard;
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    spec.commandLine().usage(spec.commandLine().getErr());
    return CommandLine.ExitCode.USAGE;
  }

  /**
   * Parses the value of an option.
   *
   * @throws InvalidInputException if it is not an address, with the option's name and the value
   */
  static InetAddress parseAddress(String option, String text) {
    return Addresses.parse(text)
        .orElseThrow(
            () ->
                new InvalidInputException(
                    option
                        + ": '"
                        + text
                        + "' stands there; an IPv4 or IPv6 address, written out, is allowed"));
  }

  /** The options for both addresses of a datagram. */
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

    /** The source address, or an {@link InvalidInputException}. */
    InetAddress sourceAddress() {
      return parseAddress("--source", source);
    }

    /** The destination address, or an {@link InvalidInputException}. */
    InetAddress destinationAddress() {
      return parseAddress("--destination", destination);
    }
  }
}

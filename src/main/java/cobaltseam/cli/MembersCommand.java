package cobaltseam.cli;

import cobaltseam.deployment.InvalidInputException;
import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs a SHOW statement on a running dispatcher over the client protocol and prints the rows. */
@Command(
    name = "members",
    description = "Shows the members of the fleet as a running dispatcher sees them.")
final class MembersCommand implements Callable<Integer> {
  private static final int TIMEOUT_MS = 5000;
  private static final int PROTOCOL_3_0 = 3 << 16;
  private static final int MAX_MESSAGE_BYTES = 1 << 20;

  @Mixin StandardOptions standardOptions;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      required = true,
      description = "the address at which the dispatcher accepts clients")
  String dispatcherAddress;

  @Option(
      names = "--show",
      paramLabel = "NAME",
      defaultValue = "members",
      description =
          "what to show by SHOW cobaltseam.NAME, for example counters; default: ${DEFAULT-VALUE}")
  String showName;

  @Option(
      names = "--watch",
      paramLabel = "S",
      description = "repeats every S seconds until interrupted and prints only changed rows")
  Double watchSeconds;

  @Option(
      names = "--times",
      paramLabel = "N",
      defaultValue = "0",
      description = "with --watch, exits after N requests; 0: never")
  int maxRequests;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    InetSocketAddress address = parseAddress();
    PrintWriter out = spec.commandLine().getOut();
    List<String> previousRows = List.of();
    for (int requests = 1; ; requests++) {
      List<String> rows = requestRows(address);
      for (String row : rows) {
        if (!previousRows.contains(row)) {
          out.println(row);
        }
      }
      out.flush();
      previousRows = rows;
      if (watchSeconds == null || requests == maxRequests) {
        return 0;
      }
      TimeUnit.MILLISECONDS.sleep(Math.max(100, Math.round(watchSeconds * 1000)));
    }
  }

  private InetSocketAddress parseAddress() throws UnknownHostException {
    int colon = dispatcherAddress.lastIndexOf(':');
    int port =
        colon < 0 || !dispatcherAddress.substring(colon + 1).matches("[0-9]{1,5}")
            ? 0
            : Integer.parseInt(dispatcherAddress.substring(colon + 1));
    if (port < 1 || port > 65_535 || !showName.matches("[a-z]+")) {
      throw new InvalidInputException(
          "found --to "
              + dispatcherAddress
              + " --show "
              + showName
              + "; expected --to HOST:PORT and a lowercase word for --show");
    }
    return new InetSocketAddress(
        InetAddress.getByName(dispatcherAddress.substring(0, colon)), port);
  }

  private List<String> requestRows(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MS);
      socket.setSoTimeout(TIMEOUT_MS);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      byte[] query = ("SHOW cobaltseam." + showName).getBytes(StandardCharsets.UTF_8);
      out.writeInt(9);
      out.writeInt(PROTOCOL_3_0);
      out.write(0);
      readRows(in);
      out.write('Q');
      out.writeInt(query.length + 5);
      out.write(query);
      out.write(0);
      return readRows(in);
    }
  }

  /**
   * Reads messages up to ReadyForQuery and returns the data rows, each with its columns joined.
   *
   * @throws IOException if the dispatcher responds with an error or an invalid message
   */
  private static List<String> readRows(DataInputStream in) throws IOException {
    List<String> rows = new ArrayList<>();
    while (true) {
      char type = (char) in.readByte();
      int length = in.readInt() - 4;
      if (length < 0 || length > MAX_MESSAGE_BYTES) {
        throw new IOException("the peer at this address does not speak the PostgreSQL protocol");
      }
      byte[] body = in.readNBytes(length);
      if (type == 'Z') {
        return rows;
      } else if (type == 'E') {
        throw new IOException(new String(body, StandardCharsets.UTF_8).replace('\0', ' ').strip());
      } else if (type == 'D') {
        DataInputStream row = new DataInputStream(new ByteArrayInputStream(body));
        List<String> columns = new ArrayList<>();
        for (int remaining = row.readShort(); remaining > 0; remaining--) {
          columns.add(new String(row.readNBytes(row.readInt()), StandardCharsets.UTF_8));
        }
        rows.add(String.join("  ", columns));
      }
    }
  }
}

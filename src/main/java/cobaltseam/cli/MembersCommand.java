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

/** Prints rows that a running dispatcher shows, read over the client protocol. */
@Command(
    name = "members",
    description = "Shows whom a running dispatcher takes for members of its fleet.")
final class MembersCommand implements Callable<Integer> {
  private static final int TIMEOUT_MS = 5000;
  private static final int PROTOCOL_3_0 = 3 << 16;
  private static final int MAX_MESSAGE_BYTES = 1 << 20;

  @Mixin StandardOptions standard;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      required = true,
      description = "where the dispatcher takes clients")
  String to;

  @Option(
      names = "--show",
      paramLabel = "NAME",
      defaultValue = "members",
      description =
          "another thing that SHOW cobaltseam.NAME knows, such as counters; default: ${DEFAULT-VALUE}")
  String show;

  @Option(
      names = "--watch",
      paramLabel = "S",
      description = "again each so many seconds, what changed alone, until it is interrupted")
  Double watchSeconds;

  @Option(
      names = "--times",
      paramLabel = "N",
      defaultValue = "0",
      description = "ends a watch after so many looks; 0: never")
  int times;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    InetSocketAddress address = parseAddress();
    PrintWriter out = spec.commandLine().getOut();
    List<String> before = List.of();
    for (int look = 1; ; look++) {
      List<String> rows = requestRows(address);
      for (String row : rows) {
        if (!before.contains(row)) {
          out.println(row);
        }
      }
      out.flush();
      before = rows;
      if (watchSeconds == null || look == times) {
        return 0;
      }
      TimeUnit.MILLISECONDS.sleep(Math.max(100, Math.round(watchSeconds * 1000)));
    }
  }

  private InetSocketAddress parseAddress() throws UnknownHostException {
    int colon = to.lastIndexOf(':');
    int port =
        colon < 0 || !to.substring(colon + 1).matches("[0-9]{1,5}")
            ? 0
            : Integer.parseInt(to.substring(colon + 1));
    if (port < 1 || port > 65_535 || !show.matches("[a-z]+")) {
      throw new InvalidInputException(
          "--to "
              + to
              + " --show "
              + show
              + " stands there; an address, a colon and a port, and a word are allowed");
    }
    return new InetSocketAddress(InetAddress.getByName(to.substring(0, colon)), port);
  }

  private List<String> requestRows(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MS);
      socket.setSoTimeout(TIMEOUT_MS);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      byte[] query = ("SHOW cobaltseam." + show).getBytes(StandardCharsets.UTF_8);
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

  /** Reads messages up to ReadyForQuery, and returns the data rows with their columns joined. */
  private static List<String> readRows(DataInputStream in) throws IOException {
    List<String> rows = new ArrayList<>();
    while (true) {
      char type = (char) in.readByte();
      int length = in.readInt() - 4;
      if (length < 0 || length > MAX_MESSAGE_BYTES) {
        throw new IOException("what answers there does not speak PostgreSQL's protocol");
      }
      byte[] body = in.readNBytes(length);
      if (type == 'Z') {
        return rows;
      } else if (type == 'E') {
        throw new IOException(new String(body, StandardCharsets.UTF_8).replace('\0', ' ').strip());
      } else if (type == 'D') {
        DataInputStream row = new DataInputStream(new ByteArrayInputStream(body));
        List<String> columns = new ArrayList<>();
        for (int left = row.readShort(); left > 0; left--) {
          columns.add(new String(row.readNBytes(row.readInt()), StandardCharsets.UTF_8));
        }
        rows.add(String.join("  ", columns));
      }
    }
  }
}

package cobaltseam.cli;

import cobaltseam.deployment.InvalidInputException;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Reads what a running dispatcher shows of its fleet, by the clients' wire. */
@Command(
    name = "members",
    description = "Shows whom a running dispatcher takes for members of its fleet.")
final class Members implements Callable<Integer> {
  private static final int WAIT_MS = 5000;
  private static final int PROTOCOL = 3 << 16;
  private static final int LONGEST = 1 << 20;

  @Mixin CobaltseamCommand.Standard standard;

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
  String what;

  @Option(
      names = "--watch",
      paramLabel = "S",
      description = "again each so many seconds, what changed alone, until it is interrupted")
  Double watchS;

  @Option(
      names = "--times",
      paramLabel = "N",
      defaultValue = "0",
      description = "ends a watch after so many looks; 0: never")
  int times;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    int colon = to.lastIndexOf(':');
    int port =
        colon < 0 || !to.substring(colon + 1).matches("[0-9]{1,5}")
            ? 0
            : Integer.parseInt(to.substring(colon + 1));
    if (port < 1 || port > 65_535 || !what.matches("[a-z]+")) {
      throw new InvalidInputException(
          "--to "
              + to
              + " --show "
              + what
              + " stands there; an address, a colon and a port, and a word are allowed");
    }
    InetSocketAddress at =
        new InetSocketAddress(InetAddress.getByName(to.substring(0, colon)), port);
    PrintWriter out = spec.commandLine().getOut();
    List<String> before = List.of();
    for (int look = 1; ; look++) {
      List<String> rows = show(at);
      for (String row : rows) {
        if (!before.contains(row)) {
          out.println(row);
        }
      }
      out.flush();
      before = rows;
      if (watchS == null || look == times) {
        return 0;
      }
      TimeUnit.MILLISECONDS.sleep(Math.max(100, Math.round(watchS * 1000)));
    }
  }

  private List<String> show(InetSocketAddress at) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(at, WAIT_MS);
      socket.setSoTimeout(WAIT_MS);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      byte[] query = ("SHOW cobaltseam." + what).getBytes(StandardCharsets.UTF_8);
      out.writeInt(9);
      out.writeInt(PROTOCOL);
      out.write(0);
      rows(in);
      out.write('Q');
      out.writeInt(query.length + 5);
      out.write(query);
      out.write(0);
      return rows(in);
    }
  }

  /** The rows up to ReadyForQuery, name and value each. */
  private static List<String> rows(DataInputStream in) throws IOException {
    List<String> rows = new ArrayList<>();
    while (true) {
      char type = (char) in.readByte();
      int length = in.readInt() - 4;
      if (length < 0 || length > LONGEST) {
        throw new IOException("what answers there does not speak PostgreSQL's protocol");
      }
      byte[] body = in.readNBytes(length);
      if (type == 'Z') {
        return rows;
      } else if (type == 'E') {
        throw new IOException(new String(body, StandardCharsets.UTF_8).replace('\0', ' ').strip());
      } else if (type == 'D') {
        DataInputStream row = new DataInputStream(new java.io.ByteArrayInputStream(body));
        List<String> columns = new ArrayList<>();
        for (int n = row.readShort(); n > 0; n--) {
          columns.add(new String(row.readNBytes(row.readInt()), StandardCharsets.UTF_8));
        }
        rows.add(String.join("  ", columns));
      }
    }
  }
}

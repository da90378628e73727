import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import stand.Case;
import stand.Client;
import stand.Pair;

/**
 * Clients of the virtual address write their requests in pieces. The active dispatcher gets SIGTERM
 * while the requests are half written. Each client writes its last byte less than 0.4 s later.
 */
public final class SlowRequestAtShutdown {
  private static final int CLIENTS = 8;
  private static final int PIECES = 6;

  /** The pause between two pieces; the last is written at most 3 pauses after SIGTERM. */
  private static final int PAUSE_MS = 60;

  /** How long a client waits for its answer, far beyond its time to live. */
  private static final int PATIENCE_MS = 6000;

  private static final int TTL_MS = 3000;

  /** New connections come for 0.2 s or more after SIGTERM, requests on open ones for 0.2 s more. */
  private static final int MAX_AFTER_SIGTERM_MS = 400;

  /** A request that crosses the close of a resting connection within this time is sent again. */
  private static final int CROSSING_MS = 50;

  /** Reads the outcome of one client's request, and notes when it came. */
  private static final class Reader extends Thread {
    private final Client client;
    private final Case run;
    private Client.Outcome outcome;
    private double endedAt;

    Reader(Client client, Case run) {
      this.client = client;
      this.run = run;
      setDaemon(true);
      start();
    }

    @Override
    public void run() {
      outcome = client.read();
      endedAt = run.record.ms();
    }

    Client.Outcome await() throws InterruptedException {
      join();
      return outcome;
    }
  }

  public static void main(String[] args) {
    Case.run(args, SlowRequestAtShutdown::holds);
  }

  private static boolean holds(Case run) throws Exception {
    List<Pair.Router> routers = List.of(new Pair.Router(51, 150, 100));
    try (Pair pair = new Pair(run.root, run.folder, run.record, 1000, 20, 50, routers)) {
      Case.require(pair.start(), "they did not start");
      Case.require(pair.awaitServed(51, 20_000), "nobody became active");
      List<Client> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        clients.add(new Client(pair.serve(0, 51), PATIENCE_MS));
        Client.Outcome first =
            clients.get(i).execute(Client.statement("lookup", call('a', i), TTL_MS));
        Case.require(first.kind().equals("served"), "d0 does not serve: " + first);
      }
      InetSocketAddress own = pair.own[0];
      Client control = new Client(own, PATIENCE_MS);
      clients.add(control);
      List<Reader> readers = new ArrayList<>();
      for (Client client : clients) {
        readers.add(new Reader(client, run));
      }
      double signalledAt = 0;
      // Pieces 0 to 2 come before SIGTERM, 3 to 5 after it.
      for (int piece = 0; piece < PIECES; piece++) {
        if (piece == PIECES / 2) {
          if (run.hasTrouble) {
            signalledAt = pair.gateways[0].signal("TERM");
          }
          Thread.sleep(PAUSE_MS);
        }
        for (int i = 0; i < clients.size(); i++) {
          byte[] query = Client.query(Client.statement("lookup", call('b', i), TTL_MS));
          int from = query.length * piece / PIECES;
          int to = query.length * (piece + 1) / PIECES;
          clients.get(i).write(query, from, to);
        }
        if (piece < PIECES - 1 && piece != PIECES / 2 - 1) {
          Thread.sleep(PAUSE_MS);
        }
      }
      double writtenAt = run.record.line("the last byte of each request is written");
      Case.require(
          !run.hasTrouble || writtenAt - signalledAt < MAX_AFTER_SIGTERM_MS,
          "the last byte came later than requests on open connections do");
      int lost = 0;
      for (int i = 0; i < clients.size(); i++) {
        Client.Outcome outcome = readers.get(i).await();
        double sinceEnd = writtenAt - readers.get(i).endedAt;
        boolean isExcused = outcome.kind().equals("closed") && Math.abs(sinceEnd) <= CROSSING_MS;
        boolean isControl = clients.get(i) == control;
        run.record.line(
            call('b', i) + (isControl ? " at the dispatcher's own address" : " at the virtual address")
                + ": " + outcome.kind() + " " + outcome.text().strip()
                + String.format(", %.0f ms before the last byte was written", sinceEnd)
                + (isExcused ? ", crosses the close" : ""));
        lost += outcome.isFinal() || isExcused ? 0 : 1;
        clients.get(i).close();
      }
      run.record.line(lost + " of " + clients.size() + " requests got no answer");
      return lost == 0;
    }
  }

  private static String call(char kind, int number) {
    return String.format("%c%015x", kind, number);
  }
}

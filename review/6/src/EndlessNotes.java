import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** One engine of eight answers each request with notes that never end. */
final class EndlessNotes {
  private static final int SOUND_ENGINES = 7;
  private static final int CLIENTS = 120;
  private static final int TTL_MS = 4000;
  private static final int RUN_MS = 300;

  /** Half a second after its time an answer only earns nothing, and the slack of the sockets. */
  private static final int LATEST_MS = TTL_MS + 500 + 50;

  private static final long END_AT_MS = 40_000;

  /** The load report of a note: the four fields that the settings name. */
  private static final String REPORT = "rep=pending:0;busy_reqs:3;cpu_share:0.25;svc_ms:12.5";

  private EndlessNotes() {}

  public static void main(String[] args) throws Exception {
    Stand.run(args[0], EndlessNotes::play);
  }

  private static int play() throws Exception {
    ConcurrentLinkedQueue<Engine.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    List<String> targets = new ArrayList<>();
    for (int i = 0; i < SOUND_ENGINES; i++) {
      Engine engine = new Engine("engine-" + i, "127.0.0.1", 256, arrivals);
      engine.rule = a -> new Engine.Reply("200", RUN_MS, "a\t" + a.call() + "\tx\n");
      targets.add(Bus.target("s-0000000" + i, engine.address(), "in_service", 0));
    }
    ServerSocket noisy = new ServerSocket();
    noisy.bind(Stand.freeAddress("127.0.0.1"), 256);
    InetSocketAddress noisyAddress =
        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), noisy.getLocalPort());
    targets.add(Bus.target("s-00000007", noisyAddress, "in_service", 0));
    Stand.daemon(() -> accept(noisy));
    Bus bus = new Bus("127.0.0.1");
    bus.publish(true, targets.toArray(new String[0]));
    Config config = new Config();
    config.onceAimUs = 3_000_000;
    config.tellsEveryUs = 2_000_000;
    config.reportFields = "\"pending\",\"busy_reqs\",\"cpu_share\",\"svc_ms\"";
    InetSocketAddress listen = Stand.freeAddress("127.0.0.1");
    Stand.Dispatcher dispatcher =
        new Stand.Dispatcher("n0", config.text(listen, bus.address(), bus.known()), null);
    dispatcher.startAndServe();
    long end = Stand.ms() + END_AT_MS;
    ConcurrentLinkedQueue<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(Stand.daemon(() -> ask(listen, end, outcomes)));
    }
    for (Thread client : clients) {
      client.join();
    }
    long late =
        outcomes.stream()
            .filter(o -> isAnswer(o) && o.endedAtMs() - o.sentAtMs() > LATEST_MS)
            .count();
    long unanswered = outcomes.stream().filter(o -> !isAnswer(o)).count();
    long served = outcomes.stream().filter(o -> o.word().equals("served")).count();
    Stand.note(
        "%d requests, %d served, %d answered more than %d ms after they were sent, %d never"
            .formatted(outcomes.size(), served, late, LATEST_MS, unanswered));
    Stand.note(
        dispatcher.isAlive() ? "n0 is up" : "n0 has ended with " + dispatcher.exitCode());
    if (served == 0) {
      return Stand.COULD_NOT_RUN;
    }
    return late + unanswered > 0 || !dispatcher.isAlive() ? Stand.BROKEN : Stand.HELD;
  }

  private static boolean isAnswer(Client.Outcome outcome) {
    return !outcome.word().equals("silent") && !outcome.word().equals("closed");
  }

  /** One client: it asks until the end or until its first request without an answer. */
  private static void ask(
      InetSocketAddress listen, long endMs, ConcurrentLinkedQueue<Client.Outcome> outcomes) {
    try (Client client = new Client(listen)) {
      while (Stand.ms() < endMs) {
        Client.Outcome outcome = client.call("once", Stand.newCall(), TTL_MS, 30, 3 * TTL_MS);
        outcomes.add(outcome);
        if (!isAnswer(outcome)) {
          return;
        }
        Stand.sleep(50);
      }
    } catch (IOException e) {
      Stand.note("a client can't begin: " + e);
    }
  }

  private static void accept(ServerSocket server) {
    ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(2);
    try {
      while (true) {
        Socket socket = server.accept();
        Stand.daemon(() -> serve(socket, scheduler));
      }
    } catch (IOException e) {
      Stand.note("the noisy engine accepts no more");
    }
  }

  /** The noisy engine; without the disruption it answers each request like the others. */
  private static void serve(Socket socket, ScheduledThreadPoolExecutor scheduler) {
    try (socket) {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      while (true) {
        List<String> items = Engine.readArray(in);
        if (!items.get(0).equals("PULL")) {
          continue;
        }
        String id = items.get(1);
        Stand.note("the noisy engine gets " + id);
        if (!Stand.TROUBLE) {
          scheduler.schedule(
              () -> {
                Engine.write(out, id, "200", "pages=1," + REPORT, "a\t" + id + "\tx\n");
                return null;
              },
              RUN_MS,
              TimeUnit.MILLISECONDS);
          continue;
        }
        String fields = "why=progress,v=0.5," + REPORT;
        byte[] notes =
            ("*4\r\n$16\r\n" + id + "\r\n$6\r\nstatus\r\n$" + fields.length() + "\r\n" + fields
                    + "\r\n$0\r\n\r\n")
                .repeat(100)
                .getBytes(StandardCharsets.US_ASCII);
        while (true) {
          out.write(notes);
        }
      }
    } catch (IOException e) {
      Stand.note("the noisy engine has lost a connection");
    }
  }
}

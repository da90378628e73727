import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * An engine of one cell is replaced, and its address is that of a new engine of another cell. The
 * cases that use this say what is wrong with discovery meanwhile.
 */
final class ReplacedEngine {
  /** An effect that an engine applied: no engine of its cell knew the mark. */
  private record Effect(long atMs, String engine, int cell, String call) {}

  private static final long REPLACED_AT_MS = 10_000;

  /** What the event bus has counts as told this much later at the latest. */
  private static final long TOLD_AFTER_MS = 7000;

  private static final long GRACE_MS = 1000;
  private static final long SLACK_MS = 50;
  private static final long END_AT_MS = 50_000;

  /** How long the engines of a cell remember a mark, as the settings say. */
  private static final long WINDOW_MS = 5000;

  private static final int CLIENTS = 12;

  /** The marks that a cell remembers, and since when. */
  private static final Map<Integer, Map<String, Long>> MARKS = new HashMap<>();

  private static final List<Effect> EFFECTS = new ArrayList<>();

  private ReplacedEngine() {}

  /** Runs a request with a mark at an engine of a cell; a repeat that the cell knows is dropped. */
  private static void run(Engine.Arrival arrival, int cell) {
    if (!arrival.lane().equals("marked")) {
      return;
    }
    synchronized (EFFECTS) {
      Map<String, Long> marks = MARKS.computeIfAbsent(cell, c -> new HashMap<>());
      Long since = marks.get(arrival.call());
      if (since == null || arrival.atMs() - since > WINDOW_MS) {
        marks.put(arrival.call(), arrival.atMs());
        EFFECTS.add(new Effect(arrival.atMs(), arrival.engine(), cell, arrival.call()));
      }
    }
  }

  private static Engine.Rule sound(int cell) {
    return arrival -> {
      run(arrival, cell);
      return new Engine.Reply("200", 60, "a\t" + arrival.call() + "\tx\n");
    };
  }

  /** An engine that runs what it is sent, and then answers one mark in four with an error. */
  private static Engine.Rule failing(int cell) {
    return arrival -> {
      run(arrival, cell);
      boolean fails = arrival.lane().equals("marked") && arrival.call().charAt(15) % 4 == 0;
      return new Engine.Reply(
          fails ? "500" : "200", 60, fails ? "" : "a\t" + arrival.call() + "\tx\n");
    };
  }

  /**
   * Plays the change.
   *
   * @param disruption what is wrong with discovery, from before the start of the dispatcher
   */
  static int play(Consumer<Bus> disruption) throws Exception {
    ConcurrentLinkedQueue<Engine.Arrival> arrivals = new ConcurrentLinkedQueue<>();
    Engine failing = new Engine("engine-1", "127.0.0.1", 64, arrivals);
    failing.rule = failing(1);
    Engine replaced = new Engine("engine-2", "127.0.0.1", 64, arrivals);
    replaced.rule = sound(1);
    Engine staying = new Engine("engine-3", "127.0.0.1", 64, arrivals);
    staying.rule = sound(1);
    Bus bus = new Bus("127.0.0.1");
    bus.publish(
        true,
        Bus.target("s-00000001", failing.address(), "in_service", 0, 1),
        Bus.target("s-00000002", replaced.address(), "in_service", 0, 1),
        Bus.target("s-00000003", staying.address(), "in_service", 0, 1));
    if (Stand.TROUBLE) {
      disruption.accept(bus);
    }
    InetSocketAddress listen = Stand.freeAddress("127.0.0.1");
    Config config = new Config();
    config.markedScope = "cell";
    config.cores = 2;
    Stand.Dispatcher dispatcher =
        new Stand.Dispatcher("n0", config.text(listen, bus.address(), bus.known()), null);
    dispatcher.startAndServe();
    long start = Stand.ms();
    Thread[] clients = new Thread[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
      String op = i % 4 == 0 ? "look" : "marked";
      clients[i] = Stand.daemon(() -> ask(listen, op, start + END_AT_MS));
    }
    Stand.sleep(REPLACED_AT_MS);
    bus.publish(
        false,
        Bus.target("s-00000002", replaced.address(), "terminated", 0, 1),
        Bus.target(
            "s-00000009", replaced.address(), "in_service", System.currentTimeMillis(), 2));
    replaced.name = "engine-9";
    replaced.rule = sound(2);
    replaced.resetConnections();
    long replacedAt = Stand.ms();
    for (Thread client : clients) {
      client.join();
    }
    return judge(replacedAt + TOLD_AFTER_MS + GRACE_MS + SLACK_MS);
  }

  private static int judge(long toldAt) {
    Stand.note("the new engine counts as told, with its grace, at " + toldAt + " ms");
    Map<String, Effect> first = new HashMap<>();
    long twice = 0;
    long after = 0;
    for (Effect effect : EFFECTS) {
      Effect earlier = first.putIfAbsent(effect.call(), effect);
      after += effect.atMs() > toldAt ? 1 : 0;
      if (earlier != null) {
        boolean counts = effect.atMs() > toldAt;
        twice += counts ? 1 : 0;
        Stand.note(
            "%s took effect at %s (cell %d, %d ms) and again at %s (cell %d, %d ms)%s"
                .formatted(
                    effect.call(),
                    earlier.engine(),
                    earlier.cell(),
                    earlier.atMs(),
                    effect.engine(),
                    effect.cell(),
                    effect.atMs(),
                    counts ? "" : ", which does not count yet"));
      }
    }
    Stand.note("%d effects after that time, %d of them a second one".formatted(after, twice));
    return after == 0 ? Stand.COULD_NOT_RUN : twice > 0 ? Stand.BROKEN : Stand.HELD;
  }

  private static void ask(InetSocketAddress listen, String op, long endMs) {
    try (Client client = new Client(listen)) {
      while (Stand.ms() < endMs) {
        client.call(op, Stand.newCall(), 3000, 60, 4000);
        Stand.sleep(40);
      }
    } catch (IOException e) {
      Stand.note("a client can't go on: " + e);
    }
  }
}

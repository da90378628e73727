package stand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Two dispatchers that share virtual routers by VRRP, with one compute node and the event bus. On
 * one machine the two can't both have the virtual address, so each serves a router at an address of
 * its own; a client tries one, then the other, as a network does that routes the virtual address.
 */
public final class Pair implements AutoCloseable {
  /** One virtual router: its number, and its priority at each dispatcher. */
  public record Router(int id, int... priority) {}

  public final Bus bus;
  public final Engine engine;
  public final Gateway[] gateways = new Gateway[2];
  public final InetSocketAddress[] own = new InetSocketAddress[2];
  private final InetSocketAddress[][] serve = new InetSocketAddress[2][256];
  private final InetSocketAddress[] adverts = new InetSocketAddress[2];
  private final InetSocketAddress[] heardAs = new InetSocketAddress[2];
  private final List<AdvertLink> links = new ArrayList<>();
  private final int intervalMs;
  private final Record record;

  /** Adverts go through links that record them. */
  public Pair(
      Path root, Path folder, Record record, int intervalMs, long workMs, int backlog,
      List<Router> routers)
      throws IOException {
    this.intervalMs = intervalMs;
    this.record = record;
    bus = new Bus("127.0.0.1");
    engine = new Engine("node", "127.0.0.1", workMs, backlog, record);
    String known = bus.publish(true, Bus.target(1, engine.address(), "in_service"));
    for (int i = 0; i < 2; i++) {
      own[i] = Gateway.free("127.0.81." + (1 + i));
      adverts[i] = Gateway.free("127.0.81." + (11 + i));
      heardAs[i] = Gateway.free("127.0.81." + (21 + i));
      for (Router router : routers) {
        serve[i][router.id()] = Gateway.free("127.0.82." + (1 + i));
      }
    }
    for (int i = 0; i < 2; i++) {
      links.add(
          new AdvertLink(
              "d" + i, heardAs[1 - i], heardAs[i].getAddress(), adverts[1 - i], record));
      gateways[i] =
          new Gateway(
              "d" + i, root, folder.resolve("d" + i),
              Gateway.configuration("d" + i, own[i], i, 2, bus, known, Gateway.USUAL_LIMITS),
              settings(i, routers), record);
    }
  }

  /** The settings file of one dispatcher. */
  public String settings(int i, List<Router> routers) {
    StringBuilder text = new StringBuilder();
    text.append("[mastership]\n")
        .append("listen = \"" + Gateway.text(adverts[i]) + "\"\n")
        .append("peers = [\"" + Gateway.text(heardAs[1 - i]) + "\"]\n");
    for (Router router : routers) {
      text.append("[[mastership.router]]\n")
          .append("id = " + router.id() + "\n")
          .append("priority = " + router.priority()[i] + "\n")
          .append("interval_ms = " + intervalMs + "\n")
          .append("addresses = [\"127.0.83." + router.id() + "\"]\n")
          .append("serve = \"" + Gateway.text(serve[i][router.id()]) + "\"\n");
    }
    return text.toString();
  }

  public InetSocketAddress serve(int i, int router) {
    return serve[i][router];
  }

  /** The link that carries what this dispatcher sends. */
  public AdvertLink link(int i) {
    return links.get(i);
  }

  /** Starts both, and waits until each serves. */
  public boolean start() throws IOException, InterruptedException {
    for (Gateway gateway : gateways) {
      gateway.start();
    }
    return gateways[0].awaitLog(" serves on ", 1, 30_000)
        && gateways[1].awaitLog(" serves on ", 1, 30_000);
  }

  /** Sends one request to a virtual router, at whichever dispatcher takes it; null if none does. */
  public String ask(int router, String requestClass, String call) {
    String last = "nobody takes connections";
    for (int i = 0; i < 2; i++) {
      try (Client client = new Client(serve[i][router], 2000)) {
        Client.Outcome outcome = client.execute(Client.statement(requestClass, call, 1500));
        last = outcome.kind() + " " + outcome.text();
        if (outcome.kind().equals("served")) {
          return "served by d" + i;
        }
      } catch (IOException e) {
        continue;
      }
    }
    return last;
  }

  /** Asks until a request is served, for this time at most. */
  public boolean awaitServed(int router, long limitMs) throws InterruptedException {
    long end = System.nanoTime() + limitMs * 1_000_000;
    String answer = "";
    for (int n = 0; System.nanoTime() < end; n++) {
      answer = ask(router, "lookup", String.format("%08x%08x", router << 16 | n, System.nanoTime() & 0xffffffffL));
      if (answer.startsWith("served")) {
        record.line("router " + router + ": " + answer);
        return true;
      }
      Thread.sleep(50);
    }
    record.line("router " + router + ": not served within " + limitMs + " ms; last: " + answer);
    return false;
  }

  @Override
  public void close() throws IOException {
    for (Gateway gateway : gateways) {
      gateway.close();
    }
    for (AdvertLink link : links) {
      link.close();
    }
    engine.close();
    bus.close();
  }
}

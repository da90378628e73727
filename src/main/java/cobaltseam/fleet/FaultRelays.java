package cobaltseam.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Every datagram between the processes of a fleet on loopback. Each process is known to the others
 * by an address that is held here; what comes to it goes on to the process, by the rules of the
 * script for that link and direction.
 */
final class FaultRelays implements AutoCloseable {
  private record DelayedDatagram(long atNs, long turn, int to, byte[] bytes)
      implements Comparable<DelayedDatagram> {
    @Override
    public int compareTo(DelayedDatagram other) {
      int order = Long.compare(atNs, other.atNs);
      return order != 0 ? order : Long.compare(turn, other.turn);
    }
  }

  private static final int LARGEST = 1 << 16;
  private static final int MOST_LATE = 1 << 16;
  private static final int BUFFER = 1 << 21;
  private final Selector selector = Selector.open();
  private final List<DatagramChannel> channels = new ArrayList<>();
  private final List<InetSocketAddress> seen = new ArrayList<>();
  private final List<InetSocketAddress> heard = new ArrayList<>();
  private final Map<SocketAddress, Integer> senders = new HashMap<>();
  private final PriorityQueue<DelayedDatagram> late = new PriorityQueue<>();
  private final SplittableRandom chance;
  private volatile long since;
  private volatile List<Fault> faults;
  private long turns;
  private volatile long passed;
  private volatile long kept;

  FaultRelays(int processes, List<Fault> faults, long seed, long since) throws IOException {
    this.faults = faults;
    this.since = since;
    chance = new SplittableRandom(seed);
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    // Closed only once all are chosen, or one that is free again could be given to the next.
    List<DatagramChannel> free = new ArrayList<>();
    for (int i = 0; i < processes; i++) {
      DatagramChannel channel = DatagramChannel.open();
      channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, BUFFER);
      channel.configureBlocking(false);
      channel.bind(new InetSocketAddress(loopback, 0));
      channel.register(selector, SelectionKey.OP_READ, i);
      channels.add(channel);
      seen.add((InetSocketAddress) channel.getLocalAddress());
      DatagramChannel listens = DatagramChannel.open();
      free.add(listens);
      listens.bind(new InetSocketAddress(loopback, 0));
      heard.add((InetSocketAddress) listens.getLocalAddress());
      senders.put(heard.get(i), i);
    }
    for (DatagramChannel each : free) {
      each.close();
    }
    Thread thread = new Thread(this::run, "relays");
    thread.setDaemon(true);
    thread.start();
  }

  /** Where others reach a process. */
  InetSocketAddress seenAt(int process) {
    return seen.get(process);
  }

  /** Where the process itself listens. */
  InetSocketAddress listensAt(int process) {
    return heard.get(process);
  }

  /** From when the script's time counts. */
  void since(long ns) {
    since = ns;
  }

  long passed() {
    return passed;
  }

  long kept() {
    return kept;
  }

  /** Says something to a process in nobody's name. */
  void say(int to, byte[] bytes) throws IOException {
    channels.get(to).send(ByteBuffer.wrap(bytes), heard.get(to));
  }

  private double seconds() {
    return (System.nanoTime() - since) / 1e9;
  }

  private void run() {
    ByteBuffer buffer = ByteBuffer.allocate(LARGEST);
    while (selector.isOpen()) {
      try {
        long wait =
            late.isEmpty() ? 100 : Math.max(1, (late.peek().atNs - System.nanoTime()) / 1_000_000);
        selector.select(wait);
        for (SelectionKey key : selector.selectedKeys()) {
          int to = (int) key.attachment();
          buffer.clear();
          for (SocketAddress from = channels.get(to).receive(buffer);
              from != null;
              from = channels.get(to).receive(buffer)) {
            buffer.flip();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            buffer.clear();
            rule(senders.getOrDefault(from, -1), to, bytes);
          }
        }
        selector.selectedKeys().clear();
        while (!late.isEmpty() && late.peek().atNs <= System.nanoTime()) {
          DelayedDatagram delayed = late.poll();
          pass(delayed.to, delayed.bytes);
        }
      } catch (ClosedSelectorException e) {
        return;
      } catch (IOException e) {
        // The process that it was for is not there just now.
        kept++;
      }
    }
  }

  private void rule(int from, int to, byte[] bytes) throws IOException {
    Fault.DatagramFate fate =
        from < 0 ? new Fault.DatagramFate(1, 0) : Fault.fate(faults, from, to, seconds(), chance);
    kept += fate.copies() == 0 ? 1 : 0;
    for (int n = 0; n < fate.copies(); n++) {
      if (fate.delayS() == 0) {
        pass(to, bytes);
      } else if (late.size() < MOST_LATE) {
        late.add(
            new DelayedDatagram(
                System.nanoTime() + (long) (fate.delayS() * 1e9 * (1 + n)), turns++, to, bytes));
      }
    }
  }

  private void pass(int to, byte[] bytes) throws IOException {
    channels.get(to).send(ByteBuffer.wrap(bytes), heard.get(to));
    passed++;
  }

  @Override
  public void close() throws IOException {
    selector.close();
    for (DatagramChannel channel : channels) {
      channel.close();
    }
  }
}

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
 * Relays every datagram between the processes of a fleet on loopback. Each process advertises the
 * address of a relay socket; the relay forwards what arrives there to the process, subject to the
 * faults of the script for that link and direction.
 */
final class FaultRelays implements AutoCloseable {
  private record DelayedDatagram(long atNs, long sequence, int to, byte[] bytes)
      implements Comparable<DelayedDatagram> {
    @Override
    public int compareTo(DelayedDatagram other) {
      int order = Long.compare(atNs, other.atNs);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  private static final int MAX_DATAGRAM_BYTES = 1 << 16;
  private static final int MAX_DELAYED_DATAGRAMS = 1 << 16;
  private static final int RECEIVE_BUFFER_BYTES = 1 << 21;
  private final Selector selector = Selector.open();
  private final List<DatagramChannel> channels = new ArrayList<>();
  private final List<InetSocketAddress> advertisedAddresses = new ArrayList<>();
  private final List<InetSocketAddress> listenAddresses = new ArrayList<>();
  private final Map<SocketAddress, Integer> senders = new HashMap<>();
  private final PriorityQueue<DelayedDatagram> delayedDatagrams = new PriorityQueue<>();
  private final SplittableRandom random;
  private volatile long startNs;
  private volatile List<Fault> faults;
  private long nextSequence;
  private volatile long forwarded;
  private volatile long dropped;

  FaultRelays(int processes, List<Fault> faults, long seed, long startNs) throws IOException {
    this.faults = faults;
    this.startNs = startNs;
    random = new SplittableRandom(seed);
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    // Closed only after all ports are chosen; otherwise a freed port could be assigned again.
    List<DatagramChannel> reservedPorts = new ArrayList<>();
    for (int i = 0; i < processes; i++) {
      DatagramChannel channel = DatagramChannel.open();
      channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      channel.configureBlocking(false);
      channel.bind(new InetSocketAddress(loopback, 0));
      channel.register(selector, SelectionKey.OP_READ, i);
      channels.add(channel);
      advertisedAddresses.add((InetSocketAddress) channel.getLocalAddress());
      DatagramChannel reserved = DatagramChannel.open();
      reservedPorts.add(reserved);
      reserved.bind(new InetSocketAddress(loopback, 0));
      listenAddresses.add((InetSocketAddress) reserved.getLocalAddress());
      senders.put(listenAddresses.get(i), i);
    }
    for (DatagramChannel channel : reservedPorts) {
      channel.close();
    }
    Thread thread = new Thread(this::run, "relays");
    thread.setDaemon(true);
    thread.start();
  }

  /** The relay address at which other processes reach a process. */
  InetSocketAddress advertisedAddress(int process) {
    return advertisedAddresses.get(process);
  }

  /** The address on which the process itself listens. */
  InetSocketAddress listenAddress(int process) {
    return listenAddresses.get(process);
  }

  /** Sets the time at which the script starts, as a value of {@link System#nanoTime}. */
  void setStart(long ns) {
    startNs = ns;
  }

  long forwardedCount() {
    return forwarded;
  }

  long droppedCount() {
    return dropped;
  }

  /** Sends a datagram to a process directly, from an address that belongs to no member. */
  void deliver(int to, byte[] bytes) throws IOException {
    channels.get(to).send(ByteBuffer.wrap(bytes), listenAddresses.get(to));
  }

  private double scriptTimeS() {
    return (System.nanoTime() - startNs) / 1e9;
  }

  private void run() {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    while (selector.isOpen()) {
      try {
        long wait =
            delayedDatagrams.isEmpty()
                ? 100
                : Math.max(1, (delayedDatagrams.peek().atNs - System.nanoTime()) / 1_000_000);
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
            applyFaults(senders.getOrDefault(from, -1), to, bytes);
          }
        }
        selector.selectedKeys().clear();
        while (!delayedDatagrams.isEmpty() && delayedDatagrams.peek().atNs <= System.nanoTime()) {
          DelayedDatagram delayed = delayedDatagrams.poll();
          forward(delayed.to, delayed.bytes);
        }
      } catch (ClosedSelectorException e) {
        return;
      } catch (IOException e) {
        // The destination process is not running at the moment.
        dropped++;
      }
    }
  }

  private void applyFaults(int from, int to, byte[] bytes) throws IOException {
    Fault.Delivery delivery =
        from < 0
            ? new Fault.Delivery(1, 0)
            : Fault.delivery(faults, from, to, scriptTimeS(), random);
    dropped += delivery.copies() == 0 ? 1 : 0;
    for (int n = 0; n < delivery.copies(); n++) {
      if (delivery.delayS() == 0) {
        forward(to, bytes);
      } else if (delayedDatagrams.size() < MAX_DELAYED_DATAGRAMS) {
        delayedDatagrams.add(
            new DelayedDatagram(
                System.nanoTime() + (long) (delivery.delayS() * 1e9 * (1 + n)),
                nextSequence++,
                to,
                bytes));
      }
    }
  }

  private void forward(int to, byte[] bytes) throws IOException {
    channels.get(to).send(ByteBuffer.wrap(bytes), listenAddresses.get(to));
    forwarded++;
  }

  @Override
  public void close() throws IOException {
    selector.close();
    for (DatagramChannel channel : channels) {
      channel.close();
    }
  }
}

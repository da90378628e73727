package cobaltseam.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The UDP socket of mastership adverts. A thread of its own reads it and hands over the datagrams
 * of peers, no more of each at once than a bound: a peer that floods it delays the others neither
 * here nor at the thread that owns the state.
 */
public final class AdvertDatagramSocket {
  /**
   * Gets each datagram on the reading thread; it calls {@link #release} once it is done with it.
   */
  public interface Receiver {
    /** Gets a datagram, which belongs to the receiver from then on. */
    void receive(byte[] bytes, InetAddress source);
  }

  /**
   * The longest advert with its authentication has 4,132 bytes: a longer datagram arrives cut, and
   * is rejected for its length.
   */
  private static final int MAX_ADVERT_BYTES = 4200;

  /**
   * Bytes of all peers that may wait to be read, with the overhead of each datagram: each peer has
   * an even part, and at least two datagrams.
   */
  private static final int MAX_UNREAD_BYTES = 1 << 20;

  private static final int OVERHEAD_BYTES = 128;
  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private final DatagramEndpoint datagrams;
  private final Receiver receiver;
  private final AtomicLong unknownSources = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();
  private volatile Map<InetAddress, AtomicInteger> unreadBytes = Map.of();
  private volatile int maxUnreadBytesPerPeer;

  /**
   * @param at the address to bind
   * @param peers the addresses whose datagrams are handed over
   */
  public AdvertDatagramSocket(InetSocketAddress at, Set<InetAddress> peers, Receiver receiver) {
    datagrams = new DatagramEndpoint(at, MAX_ADVERT_BYTES, this::receive);
    this.receiver = receiver;
    setPeers(peers);
  }

  /** From now on only datagrams from these addresses are handed over. */
  public void setPeers(Set<InetAddress> peers) {
    Map<InetAddress, AtomicInteger> next = new ConcurrentHashMap<>();
    peers.forEach(p -> next.put(p, unreadBytes.getOrDefault(p, new AtomicInteger())));
    unreadBytes = next;
    maxUnreadBytesPerPeer =
        Math.max(
            2 * (MAX_ADVERT_BYTES + OVERHEAD_BYTES), MAX_UNREAD_BYTES / Math.max(1, peers.size()));
  }

  /**
   * @throws IOException if the address can't be bound
   */
  public void open() throws IOException {
    datagrams.open(RECEIVE_BUFFER_BYTES, "adverts");
  }

  private void receive(ByteBuffer buffer, InetSocketAddress from) {
    InetAddress source = from.getAddress();
    AtomicInteger waiting = unreadBytes.get(source);
    if (waiting == null) {
      unknownSources.incrementAndGet();
      return;
    }
    byte[] bytes = new byte[buffer.remaining()];
    if (waiting.addAndGet(bytes.length + OVERHEAD_BYTES) > maxUnreadBytesPerPeer) {
      waiting.addAndGet(-bytes.length - OVERHEAD_BYTES);
      dropped.incrementAndGet();
    } else {
      buffer.get(bytes);
      receiver.receive(bytes, source);
    }
  }

  /** Frees the space of a datagram of this peer, so that others may wait in its place. */
  public void release(byte[] bytes, InetAddress source) {
    AtomicInteger waiting = unreadBytes.get(source);
    if (waiting != null) {
      waiting.addAndGet(-bytes.length - OVERHEAD_BYTES);
    }
  }

  /** The number of datagrams from other addresses since the last call. */
  public long takeUnknownSourceCount() {
    return unknownSources.getAndSet(0);
  }

  /** The number of datagrams dropped beyond the bound since the last call. */
  public long takeDroppedCount() {
    return dropped.getAndSet(0);
  }

  /**
   * Sends a datagram; it never waits.
   *
   * @throws IOException if the system rejects it
   */
  public void send(byte[] bytes, InetSocketAddress to) throws IOException {
    datagrams.send(bytes, to);
  }

  /** Closes the socket; nothing is handed over from then on. */
  public void close() {
    datagrams.close();
  }
}

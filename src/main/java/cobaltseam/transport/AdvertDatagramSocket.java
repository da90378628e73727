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
 * The UDP socket for mastership adverts. A thread of its own reads the socket and passes the
 * datagrams of known peers to the receiver. The number of unprocessed bytes is limited for each
 * peer, so that a peer that floods the socket delays the datagrams of other peers neither on the
 * reading thread nor on the thread that owns the state.
 */
public final class AdvertDatagramSocket {
  /**
   * Receives each datagram on the reading thread, and must call {@link #release} once it has
   * processed the datagram.
   */
  public interface Receiver {
    /** Receives a datagram; the receiver takes ownership of the array. */
    void receive(byte[] bytes, InetAddress source);
  }

  /**
   * The longest advert with its authentication trailer has 4,132 bytes. A longer datagram is
   * truncated to this limit and then rejected for its length.
   */
  private static final int MAX_ADVERT_BYTES = 4200;

  /**
   * The most bytes of all peers that may wait to be processed, including the overhead of each
   * datagram. Each peer gets an equal share, which has space for at least two datagrams.
   */
  private static final int MAX_UNREAD_BYTES = 1 << 20;

  /** The memory counted for each datagram in addition to its content. */
  private static final int OVERHEAD_BYTES = 128;

  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private final DatagramEndpoint datagrams;
  private final Receiver receiver;
  private final AtomicLong unknownSources = new AtomicLong();
  private final AtomicLong dropped = new AtomicLong();
  private volatile Map<InetAddress, AtomicInteger> unreadBytes = Map.of();
  private volatile int maxUnreadBytesPerPeer;

  /**
   * @param address the address to bind
   * @param peers the addresses whose datagrams are passed to the receiver
   */
  public AdvertDatagramSocket(
      InetSocketAddress address, Set<InetAddress> peers, Receiver receiver) {
    datagrams = new DatagramEndpoint(address, MAX_ADVERT_BYTES, this::receive);
    this.receiver = receiver;
    setPeers(peers);
  }

  /** Changes the addresses whose datagrams are passed to the receiver. */
  public void setPeers(Set<InetAddress> peers) {
    Map<InetAddress, AtomicInteger> next = new ConcurrentHashMap<>();
    peers.forEach(peer -> next.put(peer, unreadBytes.getOrDefault(peer, new AtomicInteger())));
    unreadBytes = next;
    maxUnreadBytesPerPeer =
        Math.max(
            2 * (MAX_ADVERT_BYTES + OVERHEAD_BYTES), MAX_UNREAD_BYTES / Math.max(1, peers.size()));
  }

  /**
   * Binds the socket and starts the reading thread.
   *
   * @throws IOException if the address can't be bound
   */
  public void open() throws IOException {
    datagrams.open(RECEIVE_BUFFER_BYTES, "adverts");
  }

  private void receive(ByteBuffer buffer, InetSocketAddress from) {
    InetAddress source = from.getAddress();
    AtomicInteger pendingBytes = unreadBytes.get(source);
    if (pendingBytes == null) {
      unknownSources.incrementAndGet();
      return;
    }
    byte[] bytes = new byte[buffer.remaining()];
    if (pendingBytes.addAndGet(bytes.length + OVERHEAD_BYTES) > maxUnreadBytesPerPeer) {
      pendingBytes.addAndGet(-bytes.length - OVERHEAD_BYTES);
      dropped.incrementAndGet();
    } else {
      buffer.get(bytes);
      receiver.receive(bytes, source);
    }
  }

  /** Releases the space of a processed datagram of this peer. */
  public void release(byte[] bytes, InetAddress source) {
    AtomicInteger pendingBytes = unreadBytes.get(source);
    if (pendingBytes != null) {
      pendingBytes.addAndGet(-bytes.length - OVERHEAD_BYTES);
    }
  }

  /** The number of datagrams from unknown addresses since the last call. */
  public long takeUnknownSourceCount() {
    return unknownSources.getAndSet(0);
  }

  /** The number of datagrams dropped because of the limit since the last call. */
  public long takeDroppedCount() {
    return dropped.getAndSet(0);
  }

  /**
   * Sends a datagram without blocking.
   *
   * @throws IOException if the operating system rejects the datagram
   */
  public void send(byte[] bytes, InetSocketAddress to) throws IOException {
    datagrams.send(bytes, to);
  }

  /** Closes the socket and stops the reading thread. */
  public void close() {
    datagrams.close();
  }
}

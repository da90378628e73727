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
 * The UDP socket of adverts. A thread of its own reads it and hands over what comes from peers, no
 * more of each at once than a bound: whoever floods it takes the others' turn neither here nor at
 * the thread that owns the state.
 */
public final class AdvertDatagramSocket {
  /**
   * Who hears of a datagram, on the reading thread; it calls {@link #heard} once it is through with
   * it.
   */
  public interface Receiver {
    void came(byte[] bytes, InetAddress source);
  }

  /**
   * The longest advert with its seal has 4,132 bytes: what is longer comes cut, and is refused for
   * its length.
   */
  private static final int LARGEST = 4200;

  /**
   * Bytes of all peers that may wait to be heard, each its even part and at least two datagrams,
   * with what keeps one.
   */
  private static final int MOST_UNHEARD = 1 << 20;

  private static final int KEEPING = 128;
  private static final int BUFFER = 1 << 20;

  private final DatagramEndpoint datagrams;
  private final Receiver receiver;
  private final AtomicLong strangers = new AtomicLong();
  private final AtomicLong tooMany = new AtomicLong();
  private volatile Map<InetAddress, AtomicInteger> unheard = Map.of();
  private volatile int mostOfOne;

  public AdvertDatagramSocket(InetSocketAddress at, Set<InetAddress> peers, Receiver receiver) {
    datagrams = new DatagramEndpoint(at, LARGEST, this::handOver);
    this.receiver = receiver;
    peers(peers);
  }

  /** From now on only what comes from these addresses is handed over. */
  public void peers(Set<InetAddress> peers) {
    Map<InetAddress, AtomicInteger> anew = new ConcurrentHashMap<>();
    peers.forEach(p -> anew.put(p, unheard.getOrDefault(p, new AtomicInteger())));
    unheard = anew;
    mostOfOne = Math.max(2 * (LARGEST + KEEPING), MOST_UNHEARD / Math.max(1, peers.size()));
  }

  /**
   * @throws IOException if the address can't be bound
   */
  public void open() throws IOException {
    datagrams.open(BUFFER, "adverts");
  }

  private void handOver(ByteBuffer buffer, InetSocketAddress from) {
    InetAddress source = from.getAddress();
    AtomicInteger waiting = unheard.get(source);
    if (waiting == null) {
      strangers.incrementAndGet();
      return;
    }
    byte[] bytes = new byte[buffer.remaining()];
    if (waiting.addAndGet(bytes.length + KEEPING) > mostOfOne) {
      waiting.addAndGet(-bytes.length - KEEPING);
      tooMany.incrementAndGet();
    } else {
      buffer.get(bytes);
      receiver.came(bytes, source);
    }
  }

  /** A datagram of this peer has been heard: others may wait in its place. */
  public void heard(byte[] bytes, InetAddress source) {
    AtomicInteger waiting = unheard.get(source);
    if (waiting != null) {
      waiting.addAndGet(-bytes.length - KEEPING);
    }
  }

  /** Datagrams from others than peers since this was last asked. */
  public long strangers() {
    return strangers.getAndSet(0);
  }

  /** Datagrams beyond the bound since this was last asked. */
  public long tooMany() {
    return tooMany.getAndSet(0);
  }

  /** Sends one; it never waits. */
  public void send(byte[] bytes, InetSocketAddress to) throws IOException {
    datagrams.send(bytes, to);
  }

  /** Closes it; nothing is handed over from then on. */
  public void close() {
    datagrams.close();
  }
}

package cobaltseam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The UDP socket of messages between members. Who they are is not known beforehand, so what waits
 * to be heard is bounded for all together; seals are checked by whoever hears it.
 */
public final class PeerDatagramSocket {
  /** Bytes that may wait to be heard, each datagram with what keeps it. */
  private static final int MOST_UNHEARD = 1 << 20;

  private static final int KEEPING = 128;
  private static final int BUFFER = 1 << 20;

  private final DatagramEndpoint datagrams;
  private final Consumer<byte[]> receiver;
  private final AtomicInteger unheard = new AtomicInteger();
  private final AtomicLong tooMany = new AtomicLong();

  /**
   * @param receiver hears of each datagram, on the reading thread; {@link #heard} once it is
   *     through with it
   */
  public PeerDatagramSocket(InetSocketAddress at, Consumer<byte[]> receiver) {
    // One byte more than is taken: what is longer is seen to be.
    datagrams = new DatagramEndpoint(at, MessageCodec.MAX_MESSAGE_BYTES + 1, this::handOver);
    this.receiver = receiver;
  }

  /**
   * @throws IOException if the address can't be bound
   */
  public void open() throws IOException {
    datagrams.open(BUFFER, "members");
  }

  private void handOver(ByteBuffer buffer, InetSocketAddress from) {
    int size = buffer.remaining() + KEEPING;
    if (unheard.addAndGet(size) > MOST_UNHEARD) {
      unheard.addAndGet(-size);
      tooMany.incrementAndGet();
      return;
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    receiver.accept(bytes);
  }

  /** A datagram has been heard: others may wait in its place. */
  public void heard(byte[] bytes) {
    unheard.addAndGet(-bytes.length - KEEPING);
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

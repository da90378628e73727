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
  private static final int MAX_UNREAD_BYTES = 1 << 20;

  private static final int OVERHEAD_BYTES = 128;
  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private final DatagramEndpoint datagrams;
  private final Consumer<byte[]> receiver;
  private final AtomicInteger unreadBytes = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();

  /**
   * @param receiver hears of each datagram, on the reading thread; {@link #release} once it is
   *     through with it
   */
  public PeerDatagramSocket(InetSocketAddress at, Consumer<byte[]> receiver) {
    // One byte more than is taken: what is longer is seen to be.
    datagrams = new DatagramEndpoint(at, MessageCodec.MAX_MESSAGE_BYTES + 1, this::receive);
    this.receiver = receiver;
  }

  /**
   * @throws IOException if the address can't be bound
   */
  public void open() throws IOException {
    datagrams.open(RECEIVE_BUFFER_BYTES, "members");
  }

  private void receive(ByteBuffer buffer, InetSocketAddress from) {
    int size = buffer.remaining() + OVERHEAD_BYTES;
    if (unreadBytes.addAndGet(size) > MAX_UNREAD_BYTES) {
      unreadBytes.addAndGet(-size);
      dropped.incrementAndGet();
      return;
    }
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    receiver.accept(bytes);
  }

  /** A datagram has been heard: others may wait in its place. */
  public void release(byte[] bytes) {
    unreadBytes.addAndGet(-bytes.length - OVERHEAD_BYTES);
  }

  /** Datagrams beyond the bound since this was last asked. */
  public long takeDroppedCount() {
    return dropped.getAndSet(0);
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

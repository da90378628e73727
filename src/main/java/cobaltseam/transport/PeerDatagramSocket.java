package cobaltseam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The UDP socket of messages between members. Its peers are not known beforehand, so the datagrams
 * that wait to be read are bounded for all peers together; the receiver authenticates them.
 */
public final class PeerDatagramSocket {
  /** Bytes that may wait to be read, with the overhead of each datagram. */
  private static final int MAX_UNREAD_BYTES = 1 << 20;

  private static final int OVERHEAD_BYTES = 128;
  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private final DatagramEndpoint datagrams;
  private final Consumer<byte[]> receiver;
  private final AtomicInteger unreadBytes = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();

  /**
   * @param receiver gets each datagram on the reading thread, and calls {@link #release} once it is
   *     through with it
   */
  public PeerDatagramSocket(InetSocketAddress at, Consumer<byte[]> receiver) {
    // One byte more than the largest message, so that a longer datagram is seen to be longer.
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

  /** Frees the space of a datagram, so that others may wait in its place. */
  public void release(byte[] bytes) {
    unreadBytes.addAndGet(-bytes.length - OVERHEAD_BYTES);
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

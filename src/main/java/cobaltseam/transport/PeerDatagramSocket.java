package cobaltseam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The UDP socket for messages between members. The peers are not known in advance, so the bytes
 * that wait to be processed are limited for all peers together. The receiver authenticates the
 * datagrams.
 */
public final class PeerDatagramSocket {
  /** The most bytes that may wait to be processed, including the overhead of each datagram. */
  private static final int MAX_UNREAD_BYTES = 1 << 20;

  /** The memory counted for each datagram in addition to its content. */
  private static final int OVERHEAD_BYTES = 128;

  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private final DatagramEndpoint datagrams;
  private final Consumer<byte[]> receiver;
  private final AtomicInteger unreadBytes = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();

  /**
   * @param address the address to bind
   * @param receiver receives each datagram on the reading thread, and must call {@link #release}
   *     once it has processed the datagram
   */
  public PeerDatagramSocket(InetSocketAddress address, Consumer<byte[]> receiver) {
    // One byte more than the largest message, so that the codec detects a longer datagram.
    datagrams = new DatagramEndpoint(address, MessageCodec.MAX_MESSAGE_BYTES + 1, this::receive);
    this.receiver = receiver;
  }

  /**
   * Binds the socket and starts the reading thread.
   *
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

  /** Releases the space of a processed datagram. */
  public void release(byte[] bytes) {
    unreadBytes.addAndGet(-bytes.length - OVERHEAD_BYTES);
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

package cobaltseam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/** A UDP socket with a reading thread of its own, which reads all datagrams into one buffer. */
final class DatagramEndpoint {
  /** Receives each datagram on the reading thread; the buffer is valid only during the call. */
  interface Receiver {
    void receive(ByteBuffer bytes, InetSocketAddress from);
  }

  private final InetSocketAddress address;
  private final int maxDatagramBytes;
  private final Receiver receiver;
  private DatagramChannel channel;
  private Selector selector;

  /**
   * @param maxDatagramBytes the length to which longer datagrams are truncated
   */
  DatagramEndpoint(InetSocketAddress address, int maxDatagramBytes, Receiver receiver) {
    this.address = address;
    this.maxDatagramBytes = maxDatagramBytes;
    this.receiver = receiver;
  }

  /**
   * Binds the socket and starts the reading thread.
   *
   * @throws IOException if the address can't be bound
   */
  void open(int receiveBufferBytes, String threadName) throws IOException {
    selector = Selector.open();
    channel = DatagramChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, receiveBufferBytes);
      channel.configureBlocking(false);
      channel.bind(address);
      channel.register(selector, SelectionKey.OP_READ);
    } catch (IOException e) {
      close();
      throw e;
    }
    Thread reader = new Thread(this::read, threadName);
    reader.setDaemon(true);
    reader.start();
  }

  private void read() {
    ByteBuffer buffer = ByteBuffer.allocate(maxDatagramBytes);
    while (selector.isOpen()) {
      try {
        selector.select();
        selector.selectedKeys().clear();
        for (InetSocketAddress from = receive(buffer); from != null; from = receive(buffer)) {
          receiver.receive(buffer.flip(), from);
        }
      } catch (ClosedSelectorException e) {
        return;
      } catch (IOException e) {
        // The error concerns a datagram that was sent earlier, such as an unreachable port. The
        // socket stays open.
        continue;
      }
    }
  }

  private InetSocketAddress receive(ByteBuffer buffer) throws IOException {
    buffer.clear();
    return channel.isOpen() ? (InetSocketAddress) channel.receive(buffer) : null;
  }

  /** Sends a datagram without blocking. */
  void send(byte[] bytes, InetSocketAddress to) throws IOException {
    channel.send(ByteBuffer.wrap(bytes), to);
  }

  /** Closes the socket and stops the reading thread. */
  void close() {
    try {
      if (channel != null) {
        channel.close();
      }
      selector.close();
    } catch (IOException e) {
      // The socket is no longer used, so the error needs no handling.
      channel = null;
    }
  }
}

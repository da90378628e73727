package cobaltseam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/** A UDP socket that a thread of its own reads into one buffer. */
final class DatagramEndpoint {
  /** Gets each datagram on the reading thread; the buffer is valid during the call alone. */
  interface Receiver {
    void receive(ByteBuffer bytes, InetSocketAddress from);
  }

  private final InetSocketAddress address;
  private final int maxDatagramBytes;
  private final Receiver receiver;
  private DatagramChannel channel;
  private Selector selector;

  /**
   * @param maxDatagramBytes a longer datagram arrives cut
   */
  DatagramEndpoint(InetSocketAddress address, int maxDatagramBytes, Receiver receiver) {
    this.address = address;
    this.maxDatagramBytes = maxDatagramBytes;
    this.receiver = receiver;
  }

  /**
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
        // An error of an earlier datagram that was sent, such as an unreachable port: the socket
        // stays
        // open.
        continue;
      }
    }
  }

  private InetSocketAddress receive(ByteBuffer buffer) throws IOException {
    buffer.clear();
    return channel.isOpen() ? (InetSocketAddress) channel.receive(buffer) : null;
  }

  /** Sends a datagram; it never waits. */
  void send(byte[] bytes, InetSocketAddress to) throws IOException {
    channel.send(ByteBuffer.wrap(bytes), to);
  }

  /** Closes the socket; nothing is handed over from then on. */
  void close() {
    try {
      if (channel != null) {
        channel.close();
      }
      selector.close();
    } catch (IOException e) {
      // It is not used any more, so there is nothing to repair.
      channel = null;
    }
  }
}

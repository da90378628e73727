package cobaltseam.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Clients that connect and then rest, each until the dispatcher closes it or a later one replaces
 * it. Half of them have sent a part of their first message.
 */
final class IdleCrowd implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int CONNECT_INTERVAL_MS = 2;
  private static final byte[] HALF_MESSAGE = {0, 0, 0, 9, 0, 3};

  private final List<InetSocketAddress> dispatchers;
  private final int size;
  private final Deque<Socket> sockets = new ArrayDeque<>();
  private final Thread thread = new Thread(this::run, "soak-crowd");
  private volatile boolean isRunning = true;

  /**
   * @param size the number of connections to each dispatcher
   */
  IdleCrowd(List<InetSocketAddress> dispatchers, int size) {
    this.dispatchers = dispatchers;
    this.size = size;
    thread.setDaemon(true);
  }

  void start() {
    if (size > 0) {
      thread.start();
    }
  }

  private void run() {
    for (int i = 0; isRunning; i++) {
      connect(dispatchers.get(i % dispatchers.size()), i % 2 == 0);
      if (sockets.size() > size * dispatchers.size()) {
        close(sockets.removeFirst());
      }
      try {
        Thread.sleep(CONNECT_INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void connect(InetSocketAddress dispatcher, boolean sendsHalfMessage) {
    Socket socket = new Socket();
    sockets.addLast(socket);
    try {
      socket.connect(dispatcher, CONNECT_TIMEOUT_MS);
      if (sendsHalfMessage) {
        socket.getOutputStream().write(HALF_MESSAGE);
      }
    } catch (IOException e) {
      // The dispatcher does not listen at the moment, or has all the clients that it may have.
      close(socket);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is not used any more.
      return;
    }
  }

  @Override
  public void close() {
    isRunning = false;
    thread.interrupt();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    sockets.forEach(IdleCrowd::close);
  }
}

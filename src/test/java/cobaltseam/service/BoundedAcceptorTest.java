package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.mina.core.session.DefaultIoSessionDataStructureFactory;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionAttributeMap;
import org.junit.jupiter.api.Test;

/** A listener closes while connections wait to be accepted. */
class BoundedAcceptorTest extends ServiceRig {
  private static final int QUEUED_CONNECTIONS = 4;
  private static final byte[] STARTUP = {0, 0, 0, 9, 0, 3, 0, 0, 0};

  /** Blocks the acceptor's thread while it accepts a connection. */
  private static final class AcceptorBlocker extends DefaultIoSessionDataStructureFactory {
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch release = new CountDownLatch(1);

    @Override
    public IoSessionAttributeMap getAttributeMap(IoSession session) throws Exception {
      blocked.countDown();
      ServiceThreads.awaitQuietly(release);
      return super.getAttributeMap(session);
    }
  }

  private Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    closeables.add(socket);
    socket.setSoTimeout(TIMEOUT_S * 1000);
    socket.getOutputStream().write(STARTUP);
    socket.getOutputStream().write(queryMessage(""));
    return socket;
  }

  /** Guards against requests that are lost since their connection was not accepted yet. */
  @Test
  void connectionsThatWaitWhenTheListenerClosesAreServed() throws Exception {
    EmulatedPeer bus = new EmulatedPeer(false);
    EmulatedPeer engine = new EmulatedPeer(true);
    service =
        new DispatcherService(
            serviceConfiguration(
                bus.address(), SOCKETS, IDLE_MS, endpointJson(1, engine.address(), "in_service")));
    AcceptorBlocker blocker = new AcceptorBlocker();
    service.acceptor.setSessionDataStructureFactory(blocker);
    serve();
    InetSocketAddress address = service.address();
    List<Socket> sockets = new ArrayList<>();
    sockets.add(connect(address));
    blocker.blocked.await();
    for (int i = 0; i < QUEUED_CONNECTIONS; i++) {
      sockets.add(connect(address));
    }
    Thread unbinding = new Thread(() -> service.acceptor.unbind());
    unbinding.start();
    // Waits until the close of the listener is requested; the thread then waits for its completion.
    while (unbinding.getState() != Thread.State.WAITING
        && unbinding.getState() != Thread.State.TIMED_WAITING) {
      Thread.onSpinWait();
    }
    blocker.release.countDown();
    for (Socket socket : sockets) {
      assertEquals(List.of('Z', 'Z'), readyMessages(new DataInputStream(socket.getInputStream())));
    }
    unbinding.join();
  }

  /** Reads the replies to the start-up message and to one statement. */
  private static List<Character> readyMessages(DataInputStream input) throws IOException {
    List<Character> types = new ArrayList<>();
    while (types.size() < 2) {
      char type = (char) input.readByte();
      input.readNBytes(input.readInt() - Integer.BYTES);
      if (type == 'Z') {
        types.add(type);
      }
    }
    return types;
  }
}

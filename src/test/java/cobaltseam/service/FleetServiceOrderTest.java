package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.membership.Incarnation;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberCondition;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.MemberUpdate;
import cobaltseam.membership.MembershipMessage.HealthCheck;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.ViewId;
import cobaltseam.settings.SettingsReader;
import cobaltseam.transport.MessageCodec;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Messages of other members that are received before this member has started. */
class FleetServiceOrderTest extends ServiceRig {
  /**
   * Longer than it takes to read a datagram on loopback. The test has to wait for this duration,
   * since nothing shows from outside that the datagram has been read.
   */
  private static final int DATAGRAM_READ_MS = 500;

  @TempDir Path folder;

  /**
   * Other members send messages to a restarted member as soon as its socket is open, since they
   * know its address. Guards against such a message being processed before the membership module
   * has started, which threw an exception and ended membership permanently while the process still
   * served clients.
   */
  @Test
  void messageReceivedAsTheSocketOpensDoesNotEndMembership() throws Exception {
    try (DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      InetSocketAddress listen = freeUdp();
      createService(listen);
      Handler sendsOnOpened =
          new Handler() {
            @Override
            public void publish(LogRecord logged) {
              if (logged.getMessage().startsWith("member ")) {
                sendHealthCheck(other, listen);
              }
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
          };
      Logger log = Logger.getLogger(FleetService.class.getName());
      log.addHandler(sendsOnOpened);
      try {
        serve();
      } finally {
        log.removeHandler(sendsOnOpened);
      }
      TestClient client = new TestClient();
      for (int i = 0;
          client.execute("SHOW cobaltseam.members").stream()
              .noneMatch(row -> row.startsWith("member_n9"));
          i++) {
        assertTrue(
            i < TIMEOUT_S * 100,
            "the member that the message reports is not shown: "
                + client.execute("SHOW cobaltseam.members"));
        Thread.sleep(10);
      }
      assertTrue(client.execute("SHOW cobaltseam.members").contains("membership|on"));
    }
  }

  private static InetSocketAddress freeUdp() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) free.getLocalSocketAddress();
    }
  }

  private void createService(InetSocketAddress listen) throws IOException {
    String address = "127.0.0.1:" + listen.getPort();
    Path settingsFile =
        Files.writeString(
            folder.resolve("cobaltseam.toml"),
            """
                [membership]
                fleet = "rig"
                listen = "%s"
                advertise = "%s"
                seeds = ["%s"]
                founders = ["n0", "n9"]
                period_ms = 200
                """
                .formatted(address, address, address));
    String bus = new EmulatedPeer(false).address();
    service = new DispatcherService(serviceConfiguration(bus, SOCKETS, IDLE_MS));
    service.enableFleet(
        SettingsReader.read(settingsFile),
        configurationJson(bus, SOCKETS, IDLE_MS).getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Sends a health check as another member to the one at this address, and reports a third member
   * as suspected in it.
   */
  private static void sendHealthCheck(DatagramSocket other, InetSocketAddress to) {
    InetSocketAddress from = (InetSocketAddress) other.getLocalSocketAddress();
    Member self = new Member(new MemberName("n9"), new Incarnation(1), from);
    Member third = new Member(new MemberName("n8"), new Incarnation(1), from);
    byte[] bytes =
        new MessageCodec("rig", null, 0)
            .write(
                new HealthCheck(
                    new MessageHeader(self, 0, ViewId.NONE, false),
                    1,
                    new MemberName("n0"),
                    List.of(new MemberUpdate(third, 0, MemberCondition.SUSPECT, self.name()))));
    try {
      other.send(new DatagramPacket(bytes, bytes.length, to));
      Thread.sleep(DATAGRAM_READ_MS);
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}

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

/** Messages of other members that come at the wrong moment. */
class FleetServiceOrderTest extends ServiceRig {
  /** Longer than it takes to read a datagram on loopback: the duration is the subject. */
  private static final int READ_WITHIN_MS = 500;

  @TempDir Path folder;

  /**
   * A member that is started again is spoken to the moment its socket is open, as the others know
   * its address. Heard before the start, such a message was a fault that ended membership for good,
   * with the process still serving.
   */
  @Test
  void messageReceivedAsTheSocketOpensDoesNotEndMembership() throws Exception {
    try (DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      InetSocketAddress listen = freeUdp();
      prepare(listen);
      Handler says =
          new Handler() {
            @Override
            public void publish(LogRecord line) {
              if (line.getMessage().startsWith("member ")) {
                sendHealthCheck(other, listen);
              }
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
          };
      Logger log = Logger.getLogger(FleetService.class.getName());
      log.addHandler(says);
      try {
        serve();
      } finally {
        log.removeHandler(says);
      }
      TestClient client = new TestClient();
      for (int i = 0;
          client.ask("SHOW cobaltseam.members").stream()
              .noneMatch(row -> row.startsWith("member_n9"));
          i++) {
        assertTrue(
            i < SOON_S * 100,
            "the other member is not known: " + client.ask("SHOW cobaltseam.members"));
        Thread.sleep(10);
      }
      assertTrue(client.ask("SHOW cobaltseam.members").contains("membership|on"));
    }
  }

  private static InetSocketAddress freeUdp() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) free.getLocalSocketAddress();
    }
  }

  private void prepare(InetSocketAddress listen) throws IOException {
    String address = "127.0.0.1:" + listen.getPort();
    Path own =
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
        SettingsReader.read(own),
        configurationJson(bus, SOCKETS, IDLE_MS).getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Probes, as another member, the one that listens there, and says of a third that it is
   * suspected.
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
      Thread.sleep(READ_WITHIN_MS);
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}

package cobaltseam.service;

import cobaltseam.logging.Field;
import cobaltseam.membership.PeerMessage;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.transport.MessageCodec;
import cobaltseam.transport.MessageCodec.RejectionReason;
import cobaltseam.transport.PeerDatagramSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Exchanges messages with the other members of the fleet: decodes received datagrams, queues and
 * sends outgoing messages, and counts both. All methods are called on the fleet's thread; the
 * receiver of datagrams is called on the socket's reading thread.
 */
final class FleetMessaging {
  /** A message that waits to be sent. */
  private record OutgoingMessage(InetSocketAddress to, PeerMessage message) {}

  private final Settings.MembershipSettings settings;
  private final Counters counters;
  private final RateLimitedLog log;
  private final MessageCodec codec;
  private final PeerDatagramSocket socket;
  private final List<OutgoingMessage> outgoingMessages = new ArrayList<>();
  private final Map<RejectionReason, Long> rejectionCounts = new EnumMap<>(RejectionReason.class);
  private boolean isOpen;

  /**
   * @param receiver called with each received datagram on the socket's reading thread; the fleet's
   *     thread must then call {@link #release} with it
   */
  FleetMessaging(
      Settings.MembershipSettings settings,
      Counters counters,
      RateLimitedLog log,
      Consumer<byte[]> receiver) {
    this.settings = settings;
    this.counters = counters;
    this.log = log;
    Settings.AuthenticationSettings authentication = settings.authentication();
    codec =
        new MessageCodec(
            settings.fleet(),
            authentication == null ? null : authentication.keys(),
            authentication == null ? 0 : authentication.writeKey());
    socket = new PeerDatagramSocket(settings.listen(), receiver);
  }

  /**
   * Binds the socket and starts its reading thread.
   *
   * @throws IOException if the address can't be bound
   */
  void open() throws IOException {
    socket.open();
    isOpen = true;
  }

  /** Closes the socket if it was opened. */
  void close() {
    if (isOpen) {
      socket.close();
    }
  }

  /** Frees the space of a received datagram in the bounded buffer of unread datagrams. */
  void release(byte[] datagram) {
    socket.release(datagram);
  }

  /** Decodes a datagram; returns empty if it is rejected, which is counted and logged. */
  Optional<PeerMessage> decode(byte[] datagram) {
    MessageCodec.DecodedMessage decoded = codec.read(datagram);
    if (decoded.rejection() == null) {
      counters.add(Count.MEMBERSHIP_DATAGRAMS_TAKEN);
      return Optional.of(decoded.message());
    }
    counters.add(Count.MEMBERSHIP_DATAGRAMS_REFUSED);
    rejectionCounts.merge(decoded.rejection(), 1L, Long::sum);
    log.warn(
        "rejected a datagram received on {0}: {1}",
        Field.of("address", settings.listen()),
        Field.of("reason", decoded.rejection().label()),
        Field.event("membership.refused"));
    return Optional.empty();
  }

  /** Counts the datagrams that were dropped since the last call because too many were unread. */
  void countDropped() {
    counters.add(Count.MEMBERSHIP_DATAGRAMS_DROPPED, socket.takeDroppedCount());
  }

  /** Queues a message until {@link #sendQueued}. */
  void enqueue(InetSocketAddress to, PeerMessage message) {
    outgoingMessages.add(new OutgoingMessage(to, message));
  }

  /** Sends all queued messages in order; a failure to send one is counted and logged. */
  void sendQueued() {
    outgoingMessages.forEach(this::send);
    outgoingMessages.clear();
  }

  private void send(OutgoingMessage outgoing) {
    byte[] bytes = codec.write(outgoing.message);
    try {
      if (bytes == null) {
        throw new IOException(
            "the encoded message exceeds " + MessageCodec.MAX_MESSAGE_BYTES + " bytes");
      }
      socket.send(bytes, outgoing.to);
      counters.add(Count.MEMBERSHIP_DATAGRAMS_SENT);
      counters.add(Count.MEMBERSHIP_BYTES_SENT, bytes.length);
    } catch (IOException | RuntimeException e) {
      counters.add(Count.MEMBERSHIP_DATAGRAMS_UNSENT);
      log.warn(
          "could not send a datagram to member address {0}: {1}",
          Field.of("peer", outgoing.to),
          Field.of("reason", e.getMessage()),
          Field.event("membership.unsent"));
    }
  }

  /** The number of rejected datagrams by reason, in the order of the reasons. */
  Map<RejectionReason, Long> rejectionCounts() {
    return rejectionCounts;
  }
}

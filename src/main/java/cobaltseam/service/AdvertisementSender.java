package cobaltseam.service;

import cobaltseam.logging.Field;
import cobaltseam.mastership.RouterOptions;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.transport.AdvertDatagramSocket;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementAuthenticator;
import cobaltseam.vrrp.AdvertisementCodec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Sends the advertisements of the virtual routers to every peer, authenticated where keys are
 * configured. Runs on the event loop and never blocks.
 */
final class AdvertisementSender {
  private static final int US_PER_CENTISECOND = 10_000;

  private final InetAddress localAddress;
  private final AdvertDatagramSocket socket;
  private final Clock clock;
  private final Counters counters;
  private final RateLimitedLog log;

  /**
   * The sequence number of the last advertisement: the time in microseconds, but at least one more
   * than the previous sequence number, so that it increases even if the clock does not advance.
   */
  private long lastSequence;

  AdvertisementSender(
      InetAddress localAddress,
      AdvertDatagramSocket socket,
      Clock clock,
      Counters counters,
      RateLimitedLog log) {
    this.localAddress = localAddress;
    this.socket = socket;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  /**
   * Sends one advertisement of a virtual router to all peers. A failure to send to one peer is
   * counted and logged, and the others are still sent to.
   *
   * @param priority 0 to 255; 0 announces that this dispatcher resigns
   */
  void send(RouterOptions router, int priority, Settings.VirtualAddressSettings settings) {
    Advertisement advertisement =
        new Advertisement(
            router.router().value(),
            priority,
            (int) (router.advertisementInterval().us() / US_PER_CENTISECOND),
            router.addresses());
    lastSequence = Math.max(lastSequence + 1, clock.now().us());
    for (InetSocketAddress peer : settings.peers()) {
      byte[] bytes = encode(advertisement, peer.getAddress(), settings);
      try {
        socket.send(bytes, peer);
        counters.add(Count.MASTERSHIP_ADVERTS_SENT);
      } catch (IOException e) {
        counters.add(Count.MASTERSHIP_ADVERTS_UNSENT);
        log.warn(
            "could not send a VRRP advertisement to {0}: {1}",
            Field.of("peer", peer),
            Field.of("reason", e.getMessage()),
            Field.event("mastership.advert_unsent"));
      }
    }
  }

  private byte[] encode(
      Advertisement advertisement, InetAddress peer, Settings.VirtualAddressSettings settings) {
    byte[] bytes =
        AdvertisementCodec.encode(advertisement, localAddress, peer, settings.coverage());
    Settings.AuthenticationSettings authentication = settings.authentication();
    return authentication == null
        ? bytes
        : AdvertisementAuthenticator.sign(
            bytes,
            localAddress,
            peer,
            authentication.keys(),
            authentication.writeKey(),
            lastSequence);
  }
}

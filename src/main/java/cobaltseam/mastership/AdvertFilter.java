package cobaltseam.mastership;

import cobaltseam.authentication.KeyRing;
import cobaltseam.authentication.MessageAuthenticator;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Advert;
import cobaltseam.vrrp.AdvertCodec;
import cobaltseam.vrrp.AdvertSeal;
import cobaltseam.vrrp.Reading;
import cobaltseam.vrrp.Reading.Covers;
import cobaltseam.vrrp.Refusal;
import java.net.InetAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which datagrams count as adverts, and counts what does not by its reason. What is refused
 * changes nothing.
 */
public final class AdvertFilter {
  /** What a datagram came to: the advert that counts, or why none does. */
  public record Verdict(Advert advert, Refusal refusal) {}

  private final InetAddress self;
  private final Mastership mastership;
  private final ReplayGuard freshness;
  private final Map<Refusal, Long> refused = new EnumMap<>(Refusal.class);
  private final Map<Covers, Long> covers = new EnumMap<>(Covers.class);
  private Set<InetAddress> peers;
  private KeyRing keys;
  private long taken;

  /**
   * @param keys the keys of seals, or null where adverts have none
   */
  public AdvertFilter(
      InetAddress self,
      Mastership mastership,
      ReplayGuard freshness,
      Set<InetAddress> peers,
      KeyRing keys) {
    this.self = self;
    this.mastership = mastership;
    this.freshness = freshness;
    renewed(peers, keys);
  }

  /** Other peers and keys count from now on. */
  public void renewed(Set<InetAddress> newPeers, KeyRing newKeys) {
    peers = Set.copyOf(newPeers);
    keys = newKeys;
    freshness.keep(peers, Set.copyOf(mastership.routers()));
  }

  /** Judges one datagram as it came between two addresses. */
  public Verdict judge(byte[] bytes, InetAddress source, InetAddress destination, Timestamp now) {
    if (source.equals(self)) {
      return refuse(Refusal.OUR_OWN);
    }
    if (!peers.contains(source)) {
      return refuse(Refusal.UNKNOWN_SENDER);
    }
    Reading reading = AdvertCodec.read(bytes, source, destination);
    if (reading instanceof Reading.Refused no) {
      return refuse(no.refusal());
    }
    Reading.Whole whole = (Reading.Whole) reading;
    Advert advert = whole.advert();
    if (keys != null) {
      Optional<Refusal> broken =
          !whole.sealed()
              ? Optional.of(Refusal.UNSEALED)
              : AdvertSeal.check(bytes, whole.length(), source, destination, keys);
      if (broken.isPresent()) {
        return refuse(broken.get());
      }
    }
    Optional<Refusal> other = mastership.refusal(advert);
    if (other.isEmpty() && keys != null) {
      other =
          freshness.judge(
              source,
              new VirtualRouterId(advert.virtualRouterId(), advert.isIpv6()),
              MessageAuthenticator.readTrailer(bytes, whole.length()).sequence(),
              now);
    }
    if (other.isPresent()) {
      return refuse(other.get());
    }
    taken++;
    covers.merge(whole.covers(), 1L, Long::sum);
    return new Verdict(advert, null);
  }

  private Verdict refuse(Refusal why) {
    refusedTo(why, 1);
    return new Verdict(null, why);
  }

  /** Counts datagrams that were refused before they came here. */
  public void refusedTo(Refusal why, long times) {
    refused.merge(why, times, Long::sum);
  }

  public long refused(Refusal why) {
    return refused.getOrDefault(why, 0L);
  }

  public long taken() {
    return taken;
  }

  /** Adverts taken whose checksum covered this. */
  public long covering(Covers what) {
    return covers.getOrDefault(what, 0L);
  }
}

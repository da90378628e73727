package cobaltseam.mastership;

import cobaltseam.authentication.KeyRing;
import cobaltseam.authentication.MessageAuthenticator;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.vrrp.Advertisement;
import cobaltseam.vrrp.AdvertisementAuthenticator;
import cobaltseam.vrrp.AdvertisementCodec;
import cobaltseam.vrrp.DecodeResult;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import cobaltseam.vrrp.RejectionReason;
import java.net.InetAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which datagrams count as adverts, and counts what does not by its reason. What is refused
 * changes nothing.
 */
public final class AdvertisementFilter {
  /** What a datagram came to: the advert that counts, or why none does. */
  public record Verdict(Advertisement advertisement, RejectionReason rejection) {}

  private final InetAddress self;
  private final Mastership mastership;
  private final ReplayGuard replayGuard;
  private final Map<RejectionReason, Long> rejectedCounts = new EnumMap<>(RejectionReason.class);
  private final Map<ChecksumCoverage, Long> acceptedCounts = new EnumMap<>(ChecksumCoverage.class);
  private Set<InetAddress> peers;
  private KeyRing keys;
  private long acceptedCount;

  /**
   * @param keys the keys of seals, or null where adverts have none
   */
  public AdvertisementFilter(
      InetAddress self,
      Mastership mastership,
      ReplayGuard replayGuard,
      Set<InetAddress> peers,
      KeyRing keys) {
    this.self = self;
    this.mastership = mastership;
    this.replayGuard = replayGuard;
    reconfigure(peers, keys);
  }

  /** Other peers and keys count from now on. */
  public void reconfigure(Set<InetAddress> newPeers, KeyRing newKeys) {
    peers = Set.copyOf(newPeers);
    keys = newKeys;
    replayGuard.retainOnly(peers, Set.copyOf(mastership.routers()));
  }

  /** Judges one datagram as it came between two addresses. */
  public Verdict evaluate(
      byte[] bytes, InetAddress source, InetAddress destination, Timestamp now) {
    if (source.equals(self)) {
      return reject(RejectionReason.OUR_OWN);
    }
    if (!peers.contains(source)) {
      return reject(RejectionReason.UNKNOWN_SENDER);
    }
    DecodeResult result = AdvertisementCodec.decode(bytes, source, destination);
    if (result instanceof DecodeResult.Rejected rejected) {
      return reject(rejected.reason());
    }
    DecodeResult.Decoded decoded = (DecodeResult.Decoded) result;
    Advertisement advertisement = decoded.advertisement();
    if (keys != null) {
      Optional<RejectionReason> broken =
          !decoded.hasTrailer()
              ? Optional.of(RejectionReason.UNSEALED)
              : AdvertisementAuthenticator.verify(
                  bytes, decoded.length(), source, destination, keys);
      if (broken.isPresent()) {
        return reject(broken.get());
      }
    }
    Optional<RejectionReason> other = mastership.rejectionReason(advertisement);
    if (other.isEmpty() && keys != null) {
      other =
          replayGuard.check(
              source,
              new VirtualRouterId(advertisement.virtualRouterId(), advertisement.isIpv6()),
              MessageAuthenticator.readTrailer(bytes, decoded.length()).sequence(),
              now);
    }
    if (other.isPresent()) {
      return reject(other.get());
    }
    acceptedCount++;
    acceptedCounts.merge(decoded.coverage(), 1L, Long::sum);
    return new Verdict(advertisement, null);
  }

  private Verdict reject(RejectionReason reason) {
    countRejected(reason, 1);
    return new Verdict(null, reason);
  }

  /** Counts datagrams that were refused before they came here. */
  public void countRejected(RejectionReason reason, long count) {
    rejectedCounts.merge(reason, count, Long::sum);
  }

  public long rejectedCount(RejectionReason reason) {
    return rejectedCounts.getOrDefault(reason, 0L);
  }

  public long acceptedCount() {
    return acceptedCount;
  }

  /** Adverts taken whose checksum covered this. */
  public long acceptedCountWith(ChecksumCoverage coverage) {
    return acceptedCounts.getOrDefault(coverage, 0L);
  }
}

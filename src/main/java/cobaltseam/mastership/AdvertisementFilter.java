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
 * Decides which datagrams are accepted as advertisements, and counts the rejected ones by reason. A
 * rejected datagram changes no other state. Not thread-safe.
 */
public final class AdvertisementFilter {
  /** The accepted advertisement, or why the datagram was rejected; the other one is null. */
  public record FilterResult(Advertisement advertisement, RejectionReason rejection) {}

  private final InetAddress self;
  private final Mastership mastership;
  private final ReplayGuard replayGuard;
  private final Map<RejectionReason, Long> rejectedCounts = new EnumMap<>(RejectionReason.class);
  private final Map<ChecksumCoverage, Long> acceptedCounts = new EnumMap<>(ChecksumCoverage.class);
  private Set<InetAddress> peers;
  private KeyRing keys;
  private long acceptedCount;

  /**
   * @param self the address that our own advertisements come from
   * @param peers the only senders that are accepted
   * @param keys the keys of authenticated advertisements, or null to accept unauthenticated ones
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

  /** Replaces the peers and the keys, and forgets the sequences of other senders and routers. */
  public void reconfigure(Set<InetAddress> newPeers, KeyRing newKeys) {
    peers = Set.copyOf(newPeers);
    keys = newKeys;
    replayGuard.retainOnly(peers, Set.copyOf(mastership.routers()));
  }

  /** Decides on one datagram that was received from source at destination. */
  public FilterResult evaluate(
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
    return new FilterResult(advertisement, null);
  }

  private FilterResult reject(RejectionReason reason) {
    countRejected(reason, 1);
    return new FilterResult(null, reason);
  }

  /** Adds datagrams that were rejected before they reached this filter. */
  public void countRejected(RejectionReason reason, long count) {
    rejectedCounts.merge(reason, count, Long::sum);
  }

  /** Datagrams rejected for this reason since the start. */
  public long rejectedCount(RejectionReason reason) {
    return rejectedCounts.getOrDefault(reason, 0L);
  }

  /** Advertisements accepted since the start. */
  public long acceptedCount() {
    return acceptedCount;
  }

  /** Advertisements accepted since the start whose checksum covered this. */
  public long acceptedCountWith(ChecksumCoverage coverage) {
    return acceptedCounts.getOrDefault(coverage, 0L);
  }
}

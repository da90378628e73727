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
 * Accepts or rejects received datagrams as advertisements, and counts rejections by reason. A
 * rejected datagram changes no other state. Not thread-safe.
 */
public final class AdvertisementFilter {
  /**
   * The result for one datagram. Exactly one component is set; the other is null.
   *
   * @param advertisement the accepted advertisement
   * @param rejection why the datagram was rejected
   */
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
   * @param self the source address of this dispatcher's advertisements
   * @param peers the addresses that advertisements are accepted from
   * @param keys the keys that verify advertisements, or null if authentication is off
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

  /**
   * Replaces the peers and the keys. The replay guard drops the sequences of senders and virtual
   * routers that are no longer configured.
   */
  public void reconfigure(Set<InetAddress> newPeers, KeyRing newKeys) {
    peers = Set.copyOf(newPeers);
    keys = newKeys;
    replayGuard.retainOnly(peers, Set.copyOf(mastership.routers()));
  }

  /** Accepts or rejects one datagram, given its payload and its addresses. */
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
      Optional<RejectionReason> authenticationFailure =
          !decoded.hasTrailer()
              ? Optional.of(RejectionReason.UNSEALED)
              : AdvertisementAuthenticator.verify(
                  bytes, decoded.length(), source, destination, keys);
      if (authenticationFailure.isPresent()) {
        return reject(authenticationFailure.get());
      }
    }
    Optional<RejectionReason> rejection = mastership.rejectionReason(advertisement);
    if (rejection.isEmpty() && keys != null) {
      rejection =
          replayGuard.check(
              source,
              new VirtualRouterId(advertisement.virtualRouterId(), advertisement.isIpv6()),
              MessageAuthenticator.readTrailer(bytes, decoded.length()).sequence(),
              now);
    }
    if (rejection.isPresent()) {
      return reject(rejection.get());
    }
    acceptedCount++;
    acceptedCounts.merge(decoded.coverage(), 1L, Long::sum);
    return new FilterResult(advertisement, null);
  }

  private FilterResult reject(RejectionReason reason) {
    countRejected(reason, 1);
    return new FilterResult(null, reason);
  }

  /** Counts datagrams that were rejected before they reached this filter. */
  public void countRejected(RejectionReason reason, long count) {
    rejectedCounts.merge(reason, count, Long::sum);
  }

  /** The number of datagrams rejected for this reason since the start. */
  public long rejectedCount(RejectionReason reason) {
    return rejectedCounts.getOrDefault(reason, 0L);
  }

  /** The number of advertisements accepted since the start. */
  public long acceptedCount() {
    return acceptedCount;
  }

  /** The number of advertisements accepted since the start with this checksum coverage. */
  public long acceptedCountWith(ChecksumCoverage coverage) {
    return acceptedCounts.getOrDefault(coverage, 0L);
  }
}

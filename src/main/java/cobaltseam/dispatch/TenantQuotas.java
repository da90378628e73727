package cobaltseam.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps a token bucket for each tenant with a quota, and determines which requests exceed a quota.
 */
final class TenantQuotas {
  /**
   * The minimum size of a bucket in tokens, so that a few requests at once do not exceed a low
   * quota.
   */
  private static final double MIN_BURST = 4;

  private static final class Bucket {
    private final double quotaFraction;
    private double perSecond;
    private double tokens;
    private Timestamp filledAt;

    private Bucket(double perSecond, double quotaFraction) {
      this.perSecond = perSecond;
      this.quotaFraction = quotaFraction;
    }

    private void continueFrom(Bucket earlier) {
      tokens = earlier.tokens;
      filledAt = earlier.filledAt;
    }

    private boolean takeToken(double requestsPerSecond, Timestamp now) {
      // A dispatcher that receives more than an even share of the traffic applies the tenant's
      // fraction of all quotas to the rate that it receives.
      double rate =
          Math.max(perSecond, quotaFraction * requestsPerSecond * PolicyConstants.TOLERANCE_FACTOR);
      double burst = Math.max(rate, MIN_BURST);
      double newTokens =
          filledAt == null
              ? burst
              : rate * now.since(filledAt).us() / PolicyConstants.MICROS_PER_SECOND;
      tokens = Math.min(burst, tokens + newTokens);
      filledAt = now;
      boolean isAvailable = tokens >= 1;
      tokens -= isAvailable ? 1 : 0;
      return isAvailable;
    }
  }

  private final Map<TenantId, Bucket> buckets = new HashMap<>();
  private Timestamp firstRequestAt;

  /** Replaces the quotas; a tenant keeps its tokens. */
  void applyQuotas(List<Deployment.Quota> quotas, int dispatcherCount) {
    Map<TenantId, Bucket> before = new HashMap<>(buckets);
    buckets.clear();
    double totalPerSecond = quotas.stream().mapToDouble(Deployment.Quota::perSecond).sum();
    for (Deployment.Quota quota : quotas) {
      double quotaFraction = totalPerSecond > 0 ? quota.perSecond() / totalPerSecond : 1;
      Bucket bucket = new Bucket(quota.perSecond() / dispatcherCount, quotaFraction);
      Bucket earlier = before.get(quota.tenant());
      if (earlier != null) {
        bucket.continueFrom(earlier);
      }
      buckets.put(quota.tenant(), bucket);
    }
  }

  void scaleRates(double factor) {
    buckets.values().forEach(b -> b.perSecond *= factor);
  }

  /** Returns whether a new request exceeds its tenant's quota; if not, takes a token for it. */
  boolean exceedsQuota(TenantId tenant, long acceptedRequests, Timestamp now) {
    Bucket bucket = buckets.get(tenant);
    if (bucket == null) {
      return false;
    }
    firstRequestAt = firstRequestAt == null ? now : firstRequestAt;
    double seconds =
        Math.max(1, now.since(firstRequestAt).us() / PolicyConstants.MICROS_PER_SECOND);
    return !bucket.takeToken(acceptedRequests / seconds, now);
  }
}

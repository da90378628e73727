package cobaltseam.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A token bucket for each tenant with a quota; tells which requests exceed it. */
final class TenantQuotas {
  /** Tokens that even a tenant with a lower rate may save up: a few requests are no flood. */
  private static final double MIN_BURST = 4;

  private static final class Bucket {
    private final double part;
    private double perSecond;
    private double tokens;
    private Timestamp filledAt;

    private Bucket(double perSecond, double part) {
      this.perSecond = perSecond;
      this.part = part;
    }

    private void continueFrom(Bucket earlier) {
      tokens = earlier.tokens;
      filledAt = earlier.filledAt;
    }

    private boolean takeToken(double requestsPerSecond, Timestamp now) {
      // A dispatcher that carries more than most goes by the tenant's part of what it receives.
      double rate = Math.max(perSecond, part * requestsPerSecond * PolicyConstants.NEAR_RATIO);
      double burst = Math.max(rate, MIN_BURST);
      double more =
          filledAt == null ? burst : rate * now.since(filledAt).us() / PolicyConstants.SECOND_US;
      tokens = Math.min(burst, tokens + more);
      filledAt = now;
      boolean available = tokens >= 1;
      tokens -= available ? 1 : 0;
      return available;
    }
  }

  private final Map<TenantId, Bucket> buckets = new HashMap<>();
  private Timestamp firstRequestAt;

  /** Replaces the quotas; a tenant keeps the tokens that it had. */
  void applyQuotas(List<Deployment.Quota> quotas, int dispatcherCount) {
    Map<TenantId, Bucket> before = new HashMap<>(buckets);
    buckets.clear();
    double all = quotas.stream().mapToDouble(Deployment.Quota::perSecond).sum();
    for (Deployment.Quota quota : quotas) {
      double part = all > 0 ? quota.perSecond() / all : 1;
      Bucket bucket = new Bucket(quota.perSecond() / dispatcherCount, part);
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

  /** Whether a new request exceeds its tenant's quota; counts it against the quota if not. */
  boolean exceedsQuota(TenantId tenant, long acceptedRequests, Timestamp now) {
    Bucket bucket = buckets.get(tenant);
    if (bucket == null) {
      return false;
    }
    firstRequestAt = firstRequestAt == null ? now : firstRequestAt;
    double seconds = Math.max(1, now.since(firstRequestAt).us() / PolicyConstants.SECOND_US);
    return !bucket.takeToken(acceptedRequests / seconds, now);
  }
}

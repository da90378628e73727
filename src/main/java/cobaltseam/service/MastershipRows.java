package cobaltseam.service;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.mastership.AdvertisementFilter;
import cobaltseam.mastership.HealthScore;
import cobaltseam.mastership.HealthScore.HealthSignal;
import cobaltseam.mastership.Mastership;
import cobaltseam.mastership.RouterState;
import cobaltseam.mastership.VirtualRouterId;
import cobaltseam.vrrp.Addresses;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import cobaltseam.vrrp.RejectionReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The rows of SHOW cobaltseam.mastership, each a name and a value. Operators' scripts read the
 * names.
 */
final class MastershipRows {
  private static final long US_PER_MS = 1000;

  private final Mastership mastership;
  private final HealthScore healthScore;
  private final AdvertisementFilter filter;
  private final VirtualAddressListeners listeners;

  MastershipRows(
      Mastership mastership,
      HealthScore healthScore,
      AdvertisementFilter filter,
      VirtualAddressListeners listeners) {
    this.mastership = mastership;
    this.healthScore = healthScore;
    this.filter = filter;
    this.listeners = listeners;
  }

  /**
   * Returns all rows as of a time.
   *
   * @param hasFailed whether an unexpected exception has ended mastership
   * @param sharingDispatchers the number of dispatchers that share the engines; may be a fraction
   */
  List<String[]> rows(boolean hasFailed, double sharingDispatchers, Timestamp now) {
    List<String[]> rows = new ArrayList<>();
    add(rows, "mastership", hasFailed ? "ended by a fault" : "on");
    add(rows, "engines_shared_over", String.format(Locale.ROOT, "%.2f", sharingDispatchers));
    List<String> signals = healthScore.degradedSignals().stream().map(HealthSignal::label).toList();
    add(rows, "fitness_steps", mastership.priorityReduction() + " " + signals);
    for (VirtualRouterId router : mastership.routers()) {
      addRouter(rows, router, now);
    }
    addAdvertisementCounts(rows);
    return rows;
  }

  private void addRouter(List<String[]> rows, VirtualRouterId router, Timestamp now) {
    String prefix = "router_" + router + "_";
    RouterState state = mastership.state(router);
    if (state == null) {
      add(rows, prefix + "state", "initialize");
    } else {
      add(rows, prefix + "state", state.role().name().toLowerCase(Locale.ROOT));
      add(rows, prefix + "since_ms", Long.toString(now.since(state.since()).us() / US_PER_MS));
      add(rows, prefix + "reason", state.reason().label());
      add(
          rows,
          prefix + "priority",
          state.priority() + " of " + mastership.options(router).priority());
    }
    add(
        rows,
        prefix + "serves",
        listeners.addressOf(router) + (listeners.isOpen(router) ? " open" : " closed"));
    mastership
        .receivedAdvertisements(router)
        .forEach(
            (peer, received) -> {
              long ageMs = now.since(received.receivedAt()).us() / US_PER_MS;
              add(
                  rows,
                  prefix + "peer_" + Addresses.format(peer),
                  "priority " + received.priority() + ", " + ageMs + " ms ago");
            });
  }

  private void addAdvertisementCounts(List<String[]> rows) {
    add(rows, "adverts_taken", Long.toString(filter.acceptedCount()));
    for (ChecksumCoverage coverage : ChecksumCoverage.values()) {
      add(
          rows,
          "adverts_covering_" + coverage.name().toLowerCase(Locale.ROOT),
          Long.toString(filter.acceptedCountWith(coverage)));
    }
    for (RejectionReason reason : RejectionReason.values()) {
      long count = filter.rejectedCount(reason);
      if (count > 0) {
        add(rows, "adverts_refused_" + reason.label(), Long.toString(count));
      }
    }
  }

  private static void add(List<String[]> rows, String name, String value) {
    rows.add(new String[] {name, value});
  }
}

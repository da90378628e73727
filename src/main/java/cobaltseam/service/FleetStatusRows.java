package cobaltseam.service;

import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Membership;
import cobaltseam.membership.View;
import cobaltseam.retrybudget.RetryBudget;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import cobaltseam.sharing.StateGossip;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * The rows that SHOW returns about the fleet; operators' scripts read their names. The fleet's
 * thread builds them in {@link #refresh}; client sessions read the last complete set without
 * waiting.
 */
final class FleetStatusRows {
  private static final int US_PER_MS = 1000;
  private static final double US_PER_SECOND = 1e6;

  private final Settings.MembershipSettings settings;
  private final Settings.CapacitySettings capacitySettings;
  private final FleetModules modules;
  private final FleetStateFolder folder;
  private final FleetMessaging messaging;
  private final FleetBridge bridge;
  private final boolean hasMastership;
  private final Counters counters;
  private final Clock clock;
  private final Map<String, Supplier<List<String[]>>> rowSuppliers = new HashMap<>();
  private final AtomicReference<Map<String, List<String[]>>> publishedRows =
      new AtomicReference<>(Map.of());
  private boolean hasFailed;

  /**
   * @param hasMastership whether mastership, and not the fleet, determines the number of
   *     dispatchers that share the engines
   */
  FleetStatusRows(
      Settings settings,
      FleetModules modules,
      FleetStateFolder folder,
      FleetMessaging messaging,
      FleetBridge bridge,
      boolean hasMastership,
      Counters counters,
      Clock clock) {
    this.settings = settings.membership();
    capacitySettings = settings.capacity();
    this.modules = modules;
    this.folder = folder;
    this.messaging = messaging;
    this.bridge = bridge;
    this.hasMastership = hasMastership;
    this.counters = counters;
    this.clock = clock;
  }

  /** Registers a SHOW table for each module that runs. */
  void register(ClientSessions sessions) {
    if (modules.agreed != null) {
      register(sessions, "agreement", () -> modules.agreed.rows(clock.now()));
    }
    if (modules.retryBudget != null) {
      register(sessions, "repeats", this::retryBudgetRows);
    }
    if (capacitySettings != null) {
      register(sessions, "spread", this::capacityRows);
    }
    register(sessions, "members", this::memberRows);
  }

  private void register(ClientSessions sessions, String name, Supplier<List<String[]>> rows) {
    rowSuppliers.put(name, rows);
    sessions.registerShow(name, () -> publishedRows.getAcquire().getOrDefault(name, List.of()));
  }

  /** Rebuilds all rows and publishes them. */
  void refresh() {
    Map<String, List<String[]>> all = new HashMap<>();
    rowSuppliers.forEach((name, rows) -> all.put(name, rows.get()));
    publishedRows.setRelease(Map.copyOf(all));
  }

  /** Marks membership as ended by a fault in later rows. */
  void markFailed() {
    hasFailed = true;
  }

  private static String[] row(String name, String value) {
    return new String[] {name, value};
  }

  /** The rows of the capacity leases, under the name "spread". */
  private List<String[]> capacityRows() {
    Timestamp now = clock.now();
    List<String[]> rows = new ArrayList<>();
    if (!modules.isDividedByDemand()) {
      rows.add(
          row(
              "engines_reported",
              modules.loadReports == null
                  ? "not told"
                  : Integer.toString(modules.loadReports.reportCount())));
      return rows;
    }
    long standaloneAmount =
        capacitySettings.capacityOptions(bridge.configuredDispatchers()).standaloneAmount();
    rows.add(row("usable", ratio(modules.capacityLeases.usableAmount(now))));
    rows.add(row("alone", ratio(standaloneAmount)));
    rows.add(row("even", ratio(modules.capacityLeases.equalShare(now))));
    rows.add(row("lent", ratio(modules.capacityLeases.lentAmount(now))));
    rows.add(row("borrowed", ratio(modules.capacityLeases.borrowedAmount(now))));
    rows.add(row("lease_left_ms", Long.toString(modules.lease.remaining(now).us() / US_PER_MS)));
    StateGossip.FigureSum demandSum = modules.gossip.sum(FleetCoordinator.DEMAND_FIGURE, now);
    rows.add(
        row(
            "demand_threads",
            String.format(
                Locale.ROOT,
                "%.3f of %.3f, %d members known, %d not",
                FleetCoordinator.figureToDemand(
                        modules.gossip.ownFigure(FleetCoordinator.DEMAND_FIGURE))
                    / US_PER_SECOND,
                FleetCoordinator.figureToDemand(demandSum.sum()) / US_PER_SECOND,
                demandSum.counted(),
                demandSum.unknown())));
    if (modules.loadReports != null) {
      rows.add(row("engines_reported", Integer.toString(modules.loadReports.reportCount())));
    }
    return rows;
  }

  /** The rows of the retry budget, under the name "repeats". */
  private List<String[]> retryBudgetRows() {
    List<String[]> rows = new ArrayList<>();
    double remainingRetries = (double) bridge.retries().get() / RetryBudget.UNITS_PER_RETRY;
    rows.add(row("left", String.format(Locale.ROOT, "%.3f", remainingRetries)));
    rows.add(
        row(
            "wanted_a_second",
            String.format(Locale.ROOT, "%.3f", modules.retryBudget.neededPerSecond())));
    rows.add(row("first_sends", Long.toString(bridge.attemptCounts().firstAttempts())));
    rows.add(
        row("further_sends_and_denied", Long.toString(bridge.attemptCounts().wantedRetries())));
    rows.add(row("denied", Long.toString(counters.get(Count.REPEATS_DENIED))));
    StateGossip.FigureSum spareSum =
        modules.gossip.sum(FleetCoordinator.SPARE_RETRIES_FIGURE, clock.now());
    rows.add(
        row(
            "others_can_spare",
            String.format(
                Locale.ROOT,
                "%.3f, %d members known, %d not",
                (double)
                        (spareSum.sum()
                            - modules.gossip.ownFigure(FleetCoordinator.SPARE_RETRIES_FIGURE))
                    / RetryBudget.UNITS_PER_RETRY,
                spareSum.counted(),
                spareSum.unknown())));
    return rows;
  }

  /** An amount of capacity as a ratio of the total. */
  private String ratio(long amount) {
    return String.format(Locale.ROOT, "%.6f", (double) amount / capacitySettings.totalUnits());
  }

  /** The rows of membership, under the name "members". */
  private List<String[]> memberRows() {
    Timestamp now = clock.now();
    Membership membership = modules.membership;
    View view = membership.view();
    List<String[]> rows = new ArrayList<>();
    rows.add(row("membership", hasFailed ? "ended by a fault" : "on"));
    rows.add(
        row(
            "self",
            membership.self().name()
                + " birth "
                + membership.self().incarnation()
                + " at "
                + settings.advertise()));
    rows.add(row("standing", membership.quorumState().label()));
    rows.add(row("view", viewText(view, now)));
    rows.add(
        row(
            "engines_shared_over",
            sharingDispatchersText() + (hasMastership ? ", by mastership" : "")));
    rows.add(row("own_health", membership.healthScore() + " (0 is well)"));
    rows.add(row("folder", folderText()));
    rows.add(row("bears_ms", Long.toString(membership.toleratedSuspension().us() / US_PER_MS)));
    for (Membership.MemberStatus status : membership.memberStatuses()) {
      rows.add(row("member_" + status.member().name(), statusText(status, view, now)));
    }
    messaging
        .rejectionCounts()
        .forEach(
            (reason, count) ->
                rows.add(row("datagrams_refused_" + reason.label(), Long.toString(count))));
    return rows;
  }

  private String viewText(View view, Timestamp now) {
    return view == null
        ? "none"
        : view.id()
            + ", "
            + view.members().size()
            + " members, since "
            + elapsedMs(now, modules.membership.viewInstalledAt())
            + " ms";
  }

  private String sharingDispatchersText() {
    int engineSharers = modules.membership.engineSharerCount(clock.now());
    return Integer.toString(
        hasFailed || engineSharers == 0 ? bridge.configuredDispatchers() : engineSharers);
  }

  private String folderText() {
    if (folder.path() == null) {
      return "none";
    }
    if (modules.membership.isPersistent()) {
      String error = folder.writeError();
      return folder.path() + (error.isEmpty() ? "" : ", not written: " + error);
    }
    return folder.path()
        + ", not used: "
        + (folder.isUsable() ? "lost while it ran" : folder.unusableReason());
  }

  private static String statusText(Membership.MemberStatus status, View view, Timestamp now) {
    boolean isInView =
        view != null && view.contains(status.member().name(), status.member().incarnation());
    return status.condition().name().toLowerCase(Locale.ROOT)
        + " since "
        + elapsedMs(now, status.conditionSince())
        + " ms, "
        + (isInView ? "in the view" : "not in the view")
        + ", birth "
        + status.member().incarnation()
        + " incarnation "
        + status.statusVersion()
        + ", heard "
        + (status.lastReceivedAt() == null
            ? "never"
            : elapsedMs(now, status.lastReceivedAt()) + " ms ago")
        + ", round trip "
        + (status.roundTrip() == null ? "unknown" : status.roundTrip().us() + " us")
        + (status.suspectedBy().isEmpty() ? "" : ", suspected by " + status.suspectedBy());
  }

  private static long elapsedMs(Timestamp now, Timestamp then) {
    return then == null ? 0 : now.since(then).us() / US_PER_MS;
  }
}

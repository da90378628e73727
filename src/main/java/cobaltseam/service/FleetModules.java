package cobaltseam.service;

import cobaltseam.capacity.CapacityLeases;
import cobaltseam.capacity.DemandEstimate;
import cobaltseam.capacity.LoadReports;
import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.Lease;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Membership;
import cobaltseam.membership.MembershipOptions;
import cobaltseam.retrybudget.RetryBudget;
import cobaltseam.settings.Settings;
import cobaltseam.sharing.StateGossip;
import cobaltseam.transport.MessageCodec;
import java.util.SplittableRandom;

/**
 * The decision modules that run on the fleet's thread, created from the settings and connected by a
 * {@link FleetCoordinator}. Modules that the settings do not enable are null.
 */
final class FleetModules {
  /** The largest difference between the rates of two clocks, as a ratio. */
  static final double MAX_CLOCK_RATE_RATIO = 0.001;

  private final Settings.CapacitySettings capacitySettings;

  final Membership membership;

  /** The lease on the view; null if neither agreement nor capacity leases need it. */
  final Lease lease;

  /** Null if the fleet does not agree on settings. */
  final AgreedConfiguration agreed;

  /** The exchange of figures between members; null if members share no figures. */
  final StateGossip gossip;

  /** Null if the engines are not divided by demand. */
  final CapacityLeases capacityLeases;

  /** Null if the engines are not divided by demand. */
  final DemandEstimate demand;

  /** Null if members do not exchange the load reports of engines. */
  final LoadReports loadReports;

  /** Null if retries are not limited fleet-wide. */
  final RetryBudget retryBudget;

  final FleetCoordinator coordinator;

  /**
   * Creates the modules and enables the bridge to collect the values that they need from the event
   * loop.
   *
   * @param settings settings that enable membership
   * @param document the dispatch settings of this dispatcher; used only if the fleet agrees on
   *     settings
   */
  FleetModules(
      Settings settings,
      ServiceConfiguration configuration,
      byte[] document,
      FleetStateFolder folder,
      FleetMessaging messaging,
      FleetBridge bridge,
      Counters counters,
      RateLimitedLog log,
      Timestamp now) {
    capacitySettings = settings.capacity();
    Deployment own = configuration.deployment();
    SplittableRandom random = new SplittableRandom(configuration.seed() ^ System.nanoTime());
    membership = createMembership(settings.membership(), configuration, folder, random.split());
    lease = createLease(settings, random);
    agreed =
        settings.agreement() == null
            ? null
            : createAgreement(settings.agreement(), own, document, folder, counters, random);
    gossip = createGossip(settings, random, now);
    coordinator =
        new FleetCoordinator(
            membership,
            lease,
            agreed == null ? null : agreed.agreement(),
            gossip,
            new FleetEffects(membership, agreed, folder, messaging, counters, log));
    capacityLeases =
        !isDividedByDemand()
            ? null
            : new CapacityLeases(
                capacitySettings.capacityOptions(own.dispatcherCount()),
                coordinator.leaseContext(),
                random.split());
    demand = !isDividedByDemand() ? null : new DemandEstimate(capacitySettings.demandHalfLife());
    loadReports =
        capacitySettings == null || !capacitySettings.loadReportPeriod().isPositive()
            ? null
            : new LoadReports(
                capacitySettings.loadReportOptions(MAX_CLOCK_RATE_RATIO), random.split(), now);
    retryBudget =
        settings.retryBudget() == null
            ? null
            : new RetryBudget(
                settings.retryBudget().retryBudgetOptions(MAX_CLOCK_RATE_RATIO),
                bridge.retries(),
                random.split());
    connect(bridge);
  }

  private static Membership createMembership(
      Settings.MembershipSettings settings,
      ServiceConfiguration configuration,
      FleetStateFolder folder,
      SplittableRandom random) {
    TimeSpan longestDeadline =
        configuration.deployment().requestClasses().stream()
            .map(Deployment.RequestClass::deadline)
            .max(TimeSpan::compareTo)
            .orElse(TimeSpan.ZERO);
    MembershipOptions options =
        new MembershipOptions(
            settings.period(),
            settings.suspicionPeriods(),
            settings.indirectProbes(),
            settings.bootstrapMembers().stream().map(MemberName::new).toList(),
            settings.seeds(),
            longestDeadline);
    // The clock makes it higher than that of any earlier process of this member. If the clock is
    // wrong, peers report the higher incarnation and membership raises this one.
    Incarnation incarnation = new Incarnation(Math.max(1, System.currentTimeMillis()));
    Member self =
        new Member(new MemberName(configuration.name()), incarnation, settings.advertise());
    return folder.isUsable()
        ? Membership.withFolder(options, self, folder.loadedState(), random)
        : new Membership(options, self, random);
  }

  /**
   * Creates the lease on the view. Its duration is taken from the agreement if that is on, else
   * from the capacity leases; null if both are off.
   */
  private Lease createLease(Settings settings, SplittableRandom random) {
    TimeSpan duration = null;
    if (settings.agreement() != null) {
      duration = settings.agreement().maxContradiction();
    } else if (isDividedByDemand()) {
      duration = capacitySettings.leaseDuration();
    }
    return duration == null
        ? null
        : new Lease(
            new Lease.LeaseOptions(duration, MAX_CLOCK_RATE_RATIO), membership, random.split());
  }

  private AgreedConfiguration createAgreement(
      Settings.AgreementSettings settings,
      Deployment own,
      byte[] document,
      FleetStateFolder folder,
      Counters counters,
      SplittableRandom random) {
    AgreedConfiguration created =
        new AgreedConfiguration(settings, membership, lease, own, counters, random.split());
    created.setOwn(document);
    if (folder.loadedState() != null) {
      created.addPersisted(folder.loadedState().documents());
    }
    return created;
  }

  private StateGossip createGossip(Settings settings, SplittableRandom random, Timestamp now) {
    if (!isDividedByDemand() && settings.retryBudget() == null) {
      return null;
    }
    return new StateGossip(
        membership.self().name(),
        membership.self().incarnation(),
        settings.gossipOptions(MessageCodec.MAX_MESSAGE_BYTES / 2, MAX_CLOCK_RATE_RATIO),
        random.split(),
        now);
  }

  /** Passes the optional modules to the coordinator and enables what they need at the bridge. */
  private void connect(FleetBridge bridge) {
    if (loadReports != null) {
      coordinator.setLoadReports(loadReports);
      bridge.collectReports();
    }
    if (capacityLeases != null) {
      coordinator.setCapacityLeases(capacityLeases);
    }
    if (retryBudget != null) {
      coordinator.setRetryBudget(retryBudget, bridge.attemptCounts());
      bridge.limitRetries();
    }
  }

  /** Whether the capacity share of each member follows its demand. */
  boolean isDividedByDemand() {
    return capacitySettings != null && capacitySettings.followsDemand();
  }
}

package cobaltseam.settings;

import cobaltseam.authentication.KeyRing;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.mastership.HealthScore;
import cobaltseam.mastership.RouterOptions;
import cobaltseam.vrrp.DecodeResult.ChecksumCoverage;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What our own settings file turns on. A part that is null is off.
 *
 * @param logsJson whether log lines are JSON
 * @param virtualAddresses the virtual addresses that this dispatcher shares by VRRP
 * @param membership the fleet that this dispatcher is a member of
 * @param agreement how the fleet agrees on a configuration
 * @param capacity how the fleet shares the capacity of the engines
 * @param retryBudget how the fleet shares a retry budget
 */
public record Settings(
    boolean logsJson,
    VirtualAddressSettings virtualAddresses,
    MembershipSettings membership,
    AgreementSettings agreement,
    CapacitySettings capacity,
    RetryBudgetSettings retryBudget) {
  /** Without a file: everything is off. */
  public static final Settings OFF = new Settings(false, null, null, null, null, null);

  private static final TimeSpan DEFAULT_GOSSIP_PERIOD = new TimeSpan(1_000_000);
  private static final int GOSSIP_PEERS_PER_ROUND = 3;
  private static final int GOSSIP_EXPIRY_ROUNDS = 10;

  /**
   * How members exchange their figures by gossip.
   *
   * @param maxBytes of one message
   * @param maxClockDrift by which part the rates of two clocks differ at most
   */
  public cobaltseam.sharing.GossipOptions gossipOptions(int maxBytes, double maxClockDrift) {
    TimeSpan round = capacity != null ? capacity.gossipPeriod() : DEFAULT_GOSSIP_PERIOD;
    return new cobaltseam.sharing.GossipOptions(
        round,
        GOSSIP_PEERS_PER_ROUND,
        capacity != null ? capacity.expiresAfter() : round.times(GOSSIP_EXPIRY_ROUNDS),
        maxBytes,
        maxClockDrift);
  }

  /**
   * The group of dispatchers that share virtual addresses by VRRP.
   *
   * @param listen where advertisements are sent from and received
   * @param peers where the other dispatchers of the group receive advertisements
   * @param coverage what the checksum of IPv4 advertisements covers when they are sent
   * @param acceptsOtherIntervals whether advertisements with another interval are accepted
   * @param dispatchersElsewhere dispatchers with traffic outside the group, or below zero if unset
   * @param answersAsBackup whether the dispatcher's own address answers while it is not active
   * @param authentication null where advertisements are not authenticated
   */
  public record VirtualAddressSettings(
      InetSocketAddress listen,
      List<InetSocketAddress> peers,
      ChecksumCoverage coverage,
      boolean acceptsOtherIntervals,
      int dispatchersElsewhere,
      boolean answersAsBackup,
      List<RouterSettings> routers,
      AuthenticationSettings authentication,
      HealthScore.HealthScoreOptions healthScore) {
    /** The IP addresses that advertisements are accepted from. */
    public Set<InetAddress> peerAddresses() {
      return peers.stream().map(InetSocketAddress::getAddress).collect(Collectors.toSet());
    }

    /** The options of all virtual routers. */
    public List<RouterOptions> routerOptions() {
      return routers.stream().map(RouterSettings::options).toList();
    }
  }

  /** One virtual router, and the address that accepts clients while it is active. */
  public record RouterSettings(RouterOptions options, InetSocketAddress serviceAddress) {}

  /**
   * The fleet that this dispatcher is a member of.
   *
   * @param fleet the name of the fleet
   * @param listen where messages are received
   * @param advertise the address that the other members use
   * @param seeds addresses that are asked for the other members
   * @param bootstrapMembers the names of the members that bootstrap the first view
   * @param period between two health checks of a member
   * @param suspicionPeriods periods for which a suspected member may refute the suspicion, besides
   *     one for each tenfold of members
   * @param indirectProbes how many members check indirectly one that does not respond
   * @param stateFolder where persistent state is stored, or null
   * @param rebootstrapView the view to bootstrap again because its majority is lost, or null
   * @param authentication null where messages are not authenticated
   */
  public record MembershipSettings(
      String fleet,
      InetSocketAddress listen,
      InetSocketAddress advertise,
      List<InetSocketAddress> seeds,
      List<String> bootstrapMembers,
      TimeSpan period,
      double suspicionPeriods,
      int indirectProbes,
      Path stateFolder,
      String rebootstrapView,
      AuthenticationSettings authentication) {
    /** The settings that are read at the start only, apart from the keys. */
    public MembershipSettings withStartupSettingsOnly() {
      return new MembershipSettings(
          fleet,
          listen,
          advertise,
          seeds,
          bootstrapMembers,
          period,
          suspicionPeriods,
          indirectProbes,
          stateFolder,
          null,
          null);
    }
  }

  /**
   * How the fleet agrees on a configuration.
   *
   * @param maxContradiction for how long two members may use contradicting configurations at most
   */
  public record AgreementSettings(TimeSpan maxContradiction) {}

  /**
   * How the fleet shares the capacity of the engines.
   *
   * @param followsDemand whether shares follow demand; else they are even over the view
   * @param aloneShare the share of the engines that all dispatchers together have without a
   *     majority
   * @param minShare the part of its even share that a member keeps without demand
   * @param leaseDuration for how long a share is valid after the last message of a majority
   * @param demandHalfLife the half-life of measured demand
   * @param gossipPeriod between two rounds of gossip
   * @param expiresAfter after which a figure of another member expires
   * @param loadReportPeriod between two requests for load reports of engines; zero for never
   * @param logsChanges whether each change of the own share is logged
   */
  public record CapacitySettings(
      boolean followsDemand,
      double aloneShare,
      double minShare,
      TimeSpan leaseDuration,
      TimeSpan demandHalfLife,
      TimeSpan gossipPeriod,
      TimeSpan expiresAfter,
      TimeSpan loadReportPeriod,
      boolean logsChanges) {
    private static final long TOTAL_UNITS = 1_000_000_000L;
    private static final int MAX_LEASES = 16;

    /** Periods after which a load report expires. */
    private static final int LOAD_REPORT_EXPIRY_PERIODS = 30;

    /** The number of units that the engines are divided into. */
    public long totalUnits() {
      return TOTAL_UNITS;
    }

    /**
     * The options of capacity leases.
     *
     * @param processes how many dispatchers run at once at most
     */
    public cobaltseam.capacity.CapacityOptions capacityOptions(int processes) {
      return new cobaltseam.capacity.CapacityOptions(
          TOTAL_UNITS, aloneShare, processes, minShare, leaseDuration.times(0.25), MAX_LEASES);
    }

    /**
     * The options of load reports.
     *
     * @param maxClockDrift by which part the rates of two clocks differ at most
     */
    public cobaltseam.capacity.LoadReports.LoadReportOptions loadReportOptions(
        double maxClockDrift) {
      return new cobaltseam.capacity.LoadReports.LoadReportOptions(
          loadReportPeriod, 1, loadReportPeriod.times(LOAD_REPORT_EXPIRY_PERIODS), maxClockDrift);
    }
  }

  /**
   * How the fleet shares a retry budget.
   *
   * @param ratio retries allowed for each first attempt
   * @param aloneRetries further retries in a window that each dispatcher has on its own
   * @param window for which the retries that first attempts earn may be used
   * @param requestPeriod between two checks whether to request budget from other members
   */
  public record RetryBudgetSettings(
      double ratio, double aloneRetries, TimeSpan window, TimeSpan requestPeriod) {
    /**
     * The options of the retry budget.
     *
     * @param maxClockDrift by which part the rates of two clocks differ at most
     */
    public cobaltseam.retrybudget.RetryBudgetOptions retryBudgetOptions(double maxClockDrift) {
      return new cobaltseam.retrybudget.RetryBudgetOptions(
          ratio, aloneRetries, window, requestPeriod, maxClockDrift);
    }
  }

  /**
   * How messages are authenticated.
   *
   * @param writeKey the id of the key to sign with
   * @param clockDifference by how much the clocks of two dispatchers may differ
   */
  public record AuthenticationSettings(KeyRing keys, int writeKey, TimeSpan clockDifference) {}
}

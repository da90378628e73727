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
 * The contents of the dispatcher's own settings file, as opposed to the platform's configuration. A
 * component that is null is off.
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
  /** The settings that apply without a file: everything is off. */
  public static final Settings OFF = new Settings(false, null, null, null, null, null);

  private static final TimeSpan DEFAULT_GOSSIP_PERIOD = new TimeSpan(1_000_000);
  private static final int GOSSIP_PEERS_PER_ROUND = 3;
  private static final int GOSSIP_EXPIRY_ROUNDS = 10;

  /**
   * Returns the options of the gossip by which members exchange their figures.
   *
   * @param maxBytes the maximum size of one message
   * @param maxClockDrift the maximum relative difference between the rates of two clocks
   */
  public cobaltseam.sharing.GossipOptions gossipOptions(int maxBytes, double maxClockDrift) {
    TimeSpan gossipPeriod = capacity != null ? capacity.gossipPeriod() : DEFAULT_GOSSIP_PERIOD;
    return new cobaltseam.sharing.GossipOptions(
        gossipPeriod,
        GOSSIP_PEERS_PER_ROUND,
        capacity != null ? capacity.expiresAfter() : gossipPeriod.times(GOSSIP_EXPIRY_ROUNDS),
        maxBytes,
        maxClockDrift);
  }

  /**
   * The group of dispatchers that share virtual addresses by VRRP.
   *
   * @param listen the address that sends and receives advertisements
   * @param peers the addresses at which the other dispatchers of the group receive advertisements
   * @param coverage what the checksum of sent IPv4 advertisements covers
   * @param acceptsOtherIntervals whether advertisements with another interval are accepted
   * @param dispatchersElsewhere the number of dispatchers outside the group that receive traffic,
   *     or a negative number if unset
   * @param answersAsBackup whether the dispatcher's own address stays open while it is a backup
   * @param authentication null if advertisements are not authenticated
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
    /** Returns the IP addresses from which advertisements are accepted. */
    public Set<InetAddress> peerAddresses() {
      return peers.stream().map(InetSocketAddress::getAddress).collect(Collectors.toSet());
    }

    /** Returns the options of all virtual routers. */
    public List<RouterOptions> routerOptions() {
      return routers.stream().map(RouterSettings::options).toList();
    }
  }

  /**
   * One virtual router.
   *
   * @param serviceAddress the address that accepts clients while this dispatcher is active
   */
  public record RouterSettings(RouterOptions options, InetSocketAddress serviceAddress) {}

  /**
   * The fleet that this dispatcher is a member of.
   *
   * @param fleet the name of the fleet
   * @param listen the address that receives messages
   * @param advertise the address to which the other members send messages
   * @param seeds the addresses from which this dispatcher requests the list of members
   * @param bootstrapMembers the names of the members that bootstrap the first view
   * @param period the time between two probes that this dispatcher sends
   * @param suspicionPeriods the number of periods within which a suspected member may refute the
   *     suspicion; one more is added for each factor of ten in the number of members
   * @param indirectProbes the number of other members that probe a member that does not respond
   * @param stateFolder the folder of persistent state, or null to store none
   * @param rebootstrapView the view to re-bootstrap because its majority is permanently lost, or
   *     null
   * @param authentication null if messages are not authenticated
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
    /**
     * Returns these settings without {@code rebootstrapView}, which a reload applies, and without
     * {@code authentication}. Two results differ if a reload changed a setting that only a restart
     * applies; changes of the authentication are not detected.
     */
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
   * @param maxContradiction the longest time for which two members may use contradicting
   *     configurations
   */
  public record AgreementSettings(TimeSpan maxContradiction) {}

  /**
   * How the fleet shares the capacity of the engines.
   *
   * @param followsDemand whether shares follow demand; otherwise all members of the view have equal
   *     shares
   * @param aloneShare the share of the engines that all dispatchers together have without a
   *     majority
   * @param minShare the fraction of its equal share that a member keeps without demand
   * @param leaseDuration how long a share is valid after the last confirmation by a majority
   * @param demandHalfLife the half-life of measured demand
   * @param gossipPeriod the time between two rounds of gossip
   * @param expiresAfter the age at which a figure of another member expires
   * @param loadReportPeriod the time between two requests to other members for their load reports
   *     of engines; zero for never
   * @param logsChanges whether each change of this dispatcher's share is logged
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

    /** The number of load report periods after which a load report expires. */
    private static final int LOAD_REPORT_EXPIRY_PERIODS = 30;

    /** Returns the number of units into which the capacity of the engines is divided. */
    public long totalUnits() {
      return TOTAL_UNITS;
    }

    /**
     * Returns the options of capacity leases.
     *
     * @param processes the maximum number of dispatchers that run at the same time
     */
    public cobaltseam.capacity.CapacityOptions capacityOptions(int processes) {
      return new cobaltseam.capacity.CapacityOptions(
          TOTAL_UNITS, aloneShare, processes, minShare, leaseDuration.times(0.25), MAX_LEASES);
    }

    /**
     * Returns the options of load reports.
     *
     * @param maxClockDrift the maximum relative difference between the rates of two clocks
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
   * @param ratio the number of retries allowed for each first attempt
   * @param aloneRetries the number of additional retries per window that each dispatcher may always
   *     use
   * @param window how long the retries that a first attempt earns may be used
   * @param requestPeriod the time between two checks whether to request budget from other members
   */
  public record RetryBudgetSettings(
      double ratio, double aloneRetries, TimeSpan window, TimeSpan requestPeriod) {
    /**
     * Returns the options of the retry budget.
     *
     * @param maxClockDrift the maximum relative difference between the rates of two clocks
     */
    public cobaltseam.retrybudget.RetryBudgetOptions retryBudgetOptions(double maxClockDrift) {
      return new cobaltseam.retrybudget.RetryBudgetOptions(
          ratio, aloneRetries, window, requestPeriod, maxClockDrift);
    }
  }

  /**
   * The keys and limits with which messages are authenticated.
   *
   * @param writeKey the id of the key that signs sent messages
   * @param clockDifference the maximum difference between the clocks of two dispatchers
   */
  public record AuthenticationSettings(KeyRing keys, int writeKey, TimeSpan clockDifference) {}
}

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

/** What our own file switches on; a part that is null is off. */
public record Settings(
    boolean jsonLog,
    VirtualAddressSettings hall,
    MembershipSettings fleet,
    AgreementSettings agreed,
    CapacitySettings spread,
    RetryBudgetSettings repeats) {
  /** Without a file: everything is off. */
  public static final Settings OFF = new Settings(false, null, null, null, null, null);

  private static final TimeSpan DEFAULT_GOSSIP_PERIOD = new TimeSpan(1_000_000);
  private static final int GOSSIP_PEERS_PER_ROUND = 3;
  private static final int GOSSIP_EXPIRY_ROUNDS = 10;

  /** How members tell each other their figures. */
  public cobaltseam.sharing.GossipOptions sharing(int maxBytes, double maxClockDrift) {
    TimeSpan round = spread != null ? spread.round() : DEFAULT_GOSSIP_PERIOD;
    return new cobaltseam.sharing.GossipOptions(
        round,
        GOSSIP_PEERS_PER_ROUND,
        spread != null ? spread.end() : round.times(GOSSIP_EXPIRY_ROUNDS),
        maxBytes,
        maxClockDrift);
  }

  /**
   * The group of dispatchers that share virtual addresses by VRRP; elsewhere is below zero where it
   * is not set.
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
    public Set<InetAddress> peerAddresses() {
      return peers.stream().map(InetSocketAddress::getAddress).collect(Collectors.toSet());
    }

    public List<RouterOptions> routerOptions() {
      return routers.stream().map(RouterSettings::options).toList();
    }
  }

  /** One virtual router, and where clients are taken in while it is active. */
  public record RouterSettings(RouterOptions options, InetSocketAddress serviceAddress) {}

  /**
   * The fleet that this dispatcher is a member of.
   *
   * @param folder where it keeps what it promised, or null
   * @param foundAnew the view whose majority an operator says is gone for good, or null
   * @param sealing null where messages have no seal
   */
  public record MembershipSettings(
      String fleet,
      InetSocketAddress listen,
      InetSocketAddress advertise,
      List<InetSocketAddress> seeds,
      List<String> founders,
      TimeSpan period,
      double patience,
      int helpers,
      Path folder,
      String foundAnew,
      AuthenticationSettings sealing) {
    /** What is read at the start alone, keys of seals aside. */
    public MembershipSettings fixed() {
      return new MembershipSettings(
          fleet, listen, advertise, seeds, founders, period, patience, helpers, folder, null, null);
    }
  }

  /**
   * That the fleet agrees on the settings of decisions: for how long two members may contradict
   * each other.
   */
  public record AgreementSettings(TimeSpan contradiction) {}

  /**
   * What the fleet knows together of engines and of what its members need.
   *
   * @param byDemand whether parts of the engines follow demand; else they are even over the view
   * @param alone the share of engines that dispatchers hold whatever they know, all together
   * @param floor the share of its even part that one keeps, though it needs nothing
   * @param lease for how long a part outlives the word of a majority
   * @param window after which half of what a dispatcher was asked for counts no more
   * @param round between two rounds of asking others
   * @param end after which a figure of another is unknown
   * @param news between two rounds of asking another what engines told it; zero for never
   * @param audit whether each change of the own part is written to the log
   */
  public record CapacitySettings(
      boolean byDemand,
      double alone,
      double floor,
      TimeSpan lease,
      TimeSpan window,
      TimeSpan round,
      TimeSpan end,
      TimeSpan news,
      boolean audit) {
    private static final long TOTAL_UNITS = 1_000_000_000L;
    private static final int MAX_LEASES = 16;

    /** Rounds after which what an engine told is nothing. */
    private static final int LOAD_REPORT_EXPIRY_PERIODS = 30;

    /** In how many parts the engines are divided. */
    public long whole() {
      return TOTAL_UNITS;
    }

    public cobaltseam.capacity.CapacityOptions terms(int processes) {
      return new cobaltseam.capacity.CapacityOptions(
          TOTAL_UNITS, alone, processes, floor, lease.times(0.25), MAX_LEASES);
    }

    public cobaltseam.capacity.LoadReports.LoadReportOptions reports(double maxClockDrift) {
      return new cobaltseam.capacity.LoadReports.LoadReportOptions(
          news, 1, news.times(LOAD_REPORT_EXPIRY_PERIODS), maxClockDrift);
    }
  }

  /**
   * That further sends are capped over the fleet.
   *
   * @param ratio further sends for each first one
   * @param alone further sends in a window that each dispatcher has beside, whatever it knows
   * @param window for which what first sends earn may be spent
   * @param round between two looks at whom to ask for more
   */
  public record RetryBudgetSettings(double ratio, double alone, TimeSpan window, TimeSpan round) {
    public cobaltseam.retrybudget.RetryBudgetOptions terms(double maxClockDrift) {
      return new cobaltseam.retrybudget.RetryBudgetOptions(
          ratio, alone, window, round, maxClockDrift);
    }
  }

  /** The keys of seals, the one to write with, and how much clocks may differ. */
  public record AuthenticationSettings(KeyRing keys, int writeKey, TimeSpan clockDifference) {}
}

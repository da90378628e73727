package cobaltseam.capacity;

import cobaltseam.capacity.LoadReportMessage.ReportsReply;
import cobaltseam.capacity.LoadReportMessage.ReportsRequest;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Member;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.View;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The latest load report of each engine to any dispatcher of the fleet. A dispatcher with little
 * traffic receives a report of an engine every few seconds; all dispatchers together receive many
 * per second. It does no I/O: time, randomness and messages come from the caller, who calls {@link
 * #runRound} no later than {@link #nextRoundAt}.
 *
 * <p>The latest report of each engine is kept. In each round a few other members are asked for
 * their reports. Reports are pulled and not pushed, since then the clock of this process bounds
 * their age, however long a message was delayed. Reports that have reached the maximum age are
 * dropped.
 *
 * <p>Replies without a pending request, replies of members outside the view, invalid figures, and
 * engines beyond the largest number that is kept are ignored.
 */
public final class LoadReports {
  /**
   * The options of the exchange of load reports.
   *
   * @param round the time between two rounds of requests
   * @param requestsPerRound the largest number of requests in one round
   * @param maxAge the age at which a report is dropped
   * @param maxClockRateRatio the largest difference between the rates of two clocks, as a ratio
   */
  public record LoadReportOptions(
      TimeSpan round, int requestsPerRound, TimeSpan maxAge, double maxClockRateRatio) {
    public LoadReportOptions {
      if (!round.isPositive() || requestsPerRound < 1 || maxAge.compareTo(round) <= 0) {
        throw new IllegalArgumentException(
            "the round must be above 0, the requests per round at least 1, and the maximum age"
                + " above the round");
      }
    }
  }

  /**
   * The load of an engine.
   *
   * @param inFlight the requests in flight that do not wait for memory
   * @param measuredAt the earliest time at which the engine can have measured this
   */
  public record LoadReport(EngineId engine, double inFlight, Timestamp measuredAt) {}

  /** A message to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, LoadReportMessage message) {}

  /**
   * The largest number of engines, here and in one reply. It bounds the memory that peers can make
   * this process use, and a reply fits into a datagram.
   */
  public static final int MAX_ENGINES = 512;

  private static final int MAX_PENDING_REQUESTS = 32;
  private static final long US_PER_MS = 1000;
  private static final int MAX_IN_FLIGHT = 1 << 20;

  private record PendingRequest(Member member, Timestamp requestedAt) {}

  private final LoadReportOptions options;
  private final RandomGenerator random;
  private final TreeMap<EngineId, LoadReport> latest = new TreeMap<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private List<LoadReport> received = new ArrayList<>();
  private Timestamp nextRoundAt;

  /**
   * @param now the current time; the first round begins within one round from it
   */
  public LoadReports(LoadReportOptions options, RandomGenerator random, Timestamp now) {
    this.options = options;
    this.random = random;
    nextRoundAt = now.plus(options.round().times(random.nextDouble()));
  }

  /** Adds a report that an engine made to this dispatcher. */
  public void addLocalReport(LoadReport report) {
    if (isNewer(report)) {
      latest.put(report.engine(), report);
    }
  }

  private boolean isNewer(LoadReport report) {
    LoadReport known = latest.get(report.engine());
    return known == null
        ? latest.size() < MAX_ENGINES
        : known.measuredAt().isBefore(report.measuredAt());
  }

  /** Reports of other dispatchers that are newer than those known here; each is returned once. */
  public List<LoadReport> takeReceivedReports() {
    List<LoadReport> taken = received;
    received = new ArrayList<>();
    return taken;
  }

  /** When {@link #runRound} is to be called next. */
  public Timestamp nextRoundAt() {
    return nextRoundAt;
  }

  /** Starts a round if one is due, and returns the requests to send. */
  public List<OutgoingMessage> runRound(View view, MessageHeader self, Timestamp now) {
    if (now.isBefore(nextRoundAt)) {
      return List.of();
    }
    // After a suspension of this process one round is run, and not each that was missed.
    nextRoundAt = now.plus(options.round());
    latest
        .values()
        .removeIf(report -> now.since(report.measuredAt()).compareTo(options.maxAge()) >= 0);
    pending
        .values()
        .removeIf(request -> now.since(request.requestedAt).compareTo(options.maxAge()) >= 0);
    List<OutgoingMessage> requests = new ArrayList<>();
    int otherMembers = view == null ? 0 : view.members().size() - 1;
    for (int i = 0;
        i < Math.min(options.requestsPerRound(), otherMembers)
            && pending.size() < MAX_PENDING_REQUESTS;
        i++) {
      Member member = view.members().get(random.nextInt(view.members().size()));
      if (!member.name().equals(self.member().name())) {
        long id = random.nextLong();
        pending.put(id, new PendingRequest(member, now));
        requests.add(new OutgoingMessage(member.peerAddress(), new ReportsRequest(self, id)));
      }
    }
    return requests;
  }

  /** Handles an authenticated message of a member, and returns the replies to send. */
  public List<OutgoingMessage> receive(
      LoadReportMessage message, View view, MessageHeader self, Timestamp now) {
    Member from = message.from().member();
    if (view == null || !view.contains(from.name(), from.incarnation())) {
      return List.of();
    }
    if (message instanceof ReportsRequest request) {
      return List.of(new OutgoingMessage(from.peerAddress(), createReply(self, request.id(), now)));
    }
    ReportsReply reply = (ReportsReply) message;
    PendingRequest request = pending.get(reply.id());
    if (request != null && request.member.equals(from)) {
      pending.remove(reply.id());
      for (int i = 0; i < reply.engines().length; i++) {
        addReceivedReport(reply, i, request);
      }
    }
    return List.of();
  }

  private ReportsReply createReply(MessageHeader self, long id, Timestamp now) {
    List<LoadReport> fresh =
        latest.values().stream()
            .filter(report -> now.since(report.measuredAt()).compareTo(options.maxAge()) < 0)
            .toList();
    long[] engines = new long[fresh.size()];
    int[] inFlight = new int[engines.length];
    int[] agesMs = new int[engines.length];
    for (int i = 0; i < engines.length; i++) {
      engines[i] = fresh.get(i).engine().value();
      inFlight[i] = (int) Math.min(MAX_IN_FLIGHT, Math.round(fresh.get(i).inFlight()));
      // Rounded up, so that an age is never understated.
      agesMs[i] = (int) (now.since(fresh.get(i).measuredAt()).us() / US_PER_MS + 1);
    }
    return new ReportsReply(self, id, engines, inFlight, agesMs);
  }

  private void addReceivedReport(ReportsReply reply, int index, PendingRequest request) {
    int ageMs = reply.agesMs()[index];
    int inFlight = reply.inFlight()[index];
    if (ageMs < 0 || inFlight < 0 || inFlight > MAX_IN_FLIGHT) {
      return;
    }
    Timestamp measuredAt =
        request.requestedAt.minus(
            new TimeSpan(Math.round(ageMs * US_PER_MS * (1 + 2 * options.maxClockRateRatio()))));
    LoadReport report = new LoadReport(new EngineId(reply.engines()[index]), inFlight, measuredAt);
    if (request.requestedAt.since(measuredAt).compareTo(options.maxAge()) < 0 && isNewer(report)) {
      latest.put(report.engine(), report);
      received.add(report);
    }
  }

  /** The number of reports that are kept; at most {@link #MAX_ENGINES}. */
  public int reportCount() {
    return latest.size();
  }
}

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
 * traffic gets a report of an engine every few seconds; all together get many a second. It does no
 * I/O: time, randomness and messages come from the caller, who asks {@link #runRound} no later than
 * {@link #nextRoundAt}.
 *
 * <p>The latest report of each engine is kept. In each round a few others are asked for theirs;
 * reports are pulled and not pushed, since then the own clock bounds their age, however long a
 * message was delayed. Reports beyond the maximum age are dropped.
 *
 * <p>Guards: replies without a pending request, replies of members outside the view, negative
 * figures and more engines than one reply may hold are ignored.
 */
public final class LoadReports {
  /**
   * The options of the exchange.
   *
   * @param round the time between two rounds of requests
   * @param requestsPerRound how many requests one round makes
   * @param maxAge the age at which a report is dropped
   * @param maxClockRateRatio the largest difference between the rates of two clocks, as a ratio
   */
  public record LoadReportOptions(
      TimeSpan round, int requestsPerRound, TimeSpan maxAge, double maxClockRateRatio) {
    public LoadReportOptions {
      if (!round.isPositive() || requestsPerRound < 1 || maxAge.compareTo(round) <= 0) {
        throw new IllegalArgumentException(
            "a round above 0, one or more asked, an end above the round");
      }
    }
  }

  /**
   * How many requests an engine had in flight that do not wait for memory, at this time or later.
   */
  public record LoadReport(EngineId engine, double inFlight, Timestamp measuredAt) {}

  /** A message to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, LoadReportMessage message) {}

  /**
   * Engines in one reply: bounds the memory that peers can make this process use, and fits a
   * datagram.
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
   * @param now the first round begins within one round from then
   */
  public LoadReports(LoadReportOptions options, RandomGenerator random, Timestamp now) {
    this.options = options;
    this.random = random;
    nextRoundAt = now.plus(options.round().times(random.nextDouble()));
  }

  /** Adds a report that an engine made to this dispatcher itself. */
  public void addLocalReport(LoadReport report) {
    if (isYounger(report)) {
      latest.put(report.engine(), report);
    }
  }

  private boolean isYounger(LoadReport report) {
    LoadReport known = latest.get(report.engine());
    return known == null
        ? latest.size() < MAX_ENGINES
        : known.measuredAt().isBefore(report.measuredAt());
  }

  /** Reports of other dispatchers that are later than those known here; each is returned once. */
  public List<LoadReport> takeReceivedReports() {
    List<LoadReport> all = received;
    received = new ArrayList<>();
    return all;
  }

  /** When to ask {@link #runRound} next. */
  public Timestamp nextRoundAt() {
    return nextRoundAt;
  }

  /** Starts a round if one is due, and returns the requests to send. */
  public List<OutgoingMessage> runRound(View view, MessageHeader self, Timestamp now) {
    if (now.isBefore(nextRoundAt)) {
      return List.of();
    }
    // After a pause there is one round, not all those that were missed.
    nextRoundAt = now.plus(options.round());
    latest.values().removeIf(r -> now.since(r.measuredAt()).compareTo(options.maxAge()) >= 0);
    pending.values().removeIf(o -> now.since(o.requestedAt).compareTo(options.maxAge()) >= 0);
    List<OutgoingMessage> tells = new ArrayList<>();
    int others = view == null ? 0 : view.members().size() - 1;
    for (int i = 0;
        i < Math.min(options.requestsPerRound(), others) && pending.size() < MAX_PENDING_REQUESTS;
        i++) {
      Member of = view.members().get(random.nextInt(view.members().size()));
      if (!of.name().equals(self.member().name())) {
        long id = random.nextLong();
        pending.put(id, new PendingRequest(of, now));
        tells.add(new OutgoingMessage(of.peerAddress(), new ReportsRequest(self, id)));
      }
    }
    return tells;
  }

  /** Handles an authenticated message of a member, and returns the replies to send. */
  public List<OutgoingMessage> receive(
      LoadReportMessage word, View view, MessageHeader self, Timestamp now) {
    Member from = word.from().member();
    if (view == null || !view.contains(from.name(), from.incarnation())) {
      return List.of();
    }
    if (word instanceof ReportsRequest ask) {
      return List.of(new OutgoingMessage(from.peerAddress(), reply(self, ask.id(), now)));
    }
    ReportsReply table = (ReportsReply) word;
    PendingRequest asked = pending.get(table.id());
    if (asked != null && asked.member.equals(from)) {
      pending.remove(table.id());
      for (int i = 0; i < table.engines().length; i++) {
        learn(table, i, asked);
      }
    }
    return List.of();
  }

  private ReportsReply reply(MessageHeader self, long id, Timestamp now) {
    List<LoadReport> fresh =
        latest.values().stream()
            .filter(r -> now.since(r.measuredAt()).compareTo(options.maxAge()) < 0)
            .toList();
    long[] engines = new long[fresh.size()];
    int[] inHand = new int[engines.length];
    int[] ages = new int[engines.length];
    for (int i = 0; i < engines.length; i++) {
      engines[i] = fresh.get(i).engine().value();
      inHand[i] = (int) Math.min(MAX_IN_FLIGHT, Math.round(fresh.get(i).inFlight()));
      // Rounded up, so that an age is never understated.
      ages[i] = (int) (now.since(fresh.get(i).measuredAt()).us() / US_PER_MS + 1);
    }
    return new ReportsReply(self, id, engines, inHand, ages);
  }

  private void learn(ReportsReply table, int index, PendingRequest asked) {
    int age = table.agesMs()[index];
    int inHand = table.inFlight()[index];
    if (age < 0 || inHand < 0 || inHand > MAX_IN_FLIGHT) {
      return;
    }
    Timestamp at =
        asked.requestedAt.minus(
            new TimeSpan(Math.round(age * US_PER_MS * (1 + 2 * options.maxClockRateRatio()))));
    LoadReport report = new LoadReport(new EngineId(table.engines()[index]), inHand, at);
    if (asked.requestedAt.since(at).compareTo(options.maxAge()) < 0 && isYounger(report)) {
      latest.put(report.engine(), report);
      received.add(report);
    }
  }

  /** The number of reports; bounded. */
  public int reportCount() {
    return latest.size();
  }
}

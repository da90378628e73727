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
 * What engines last told any dispatcher of the fleet of the commands that they hold. A dispatcher
 * with little traffic hears an engine every few seconds; all together hear it many times a second.
 * It does no I/O: moments, chance and messages come from the caller, who asks {@link #due} no later
 * than {@link #wake}.
 *
 * <p>Of each engine the youngest report is kept. They spread by asking few others each round, and
 * not by telling: then the own clock bounds how old one is at the most, however long a message
 * took. What is older than its end is nothing.
 *
 * <p>Guards: answers that nobody asked for, and those of members outside the view, teach nothing;
 * nor do engines that this dispatcher does not list, figures below zero, or more engines than one
 * answer may hold.
 */
public final class LoadReports {
  /**
   * How they are spread.
   *
   * @param round between two rounds of asking
   * @param requestsPerRound how many in one
   * @param maxAge after which a report is nothing
   * @param maxClockRateRatio by which part the rates of two clocks differ at most
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
   * An engine told at this moment, or later, that it holds so many commands that do not wait for
   * memory.
   */
  public record LoadReport(EngineId engine, double inFlight, Timestamp at) {}

  /** A datagram to an address; it may be lost. */
  public record OutgoingMessage(InetSocketAddress to, LoadReportMessage word) {}

  /**
   * Engines in one answer: what a peer makes this process hold is bounded, and it fits a datagram.
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

  public LoadReports(LoadReportOptions options, RandomGenerator random, Timestamp now) {
    this.options = options;
    this.random = random;
    nextRoundAt = now.plus(options.round().times(random.nextDouble()));
  }

  /** What an engine told this dispatcher itself. */
  public void told(LoadReport report) {
    if (isYounger(report)) {
      latest.put(report.engine(), report);
    }
  }

  private boolean isYounger(LoadReport r) {
    LoadReport held = latest.get(r.engine());
    return held == null ? latest.size() < MAX_ENGINES : held.at().isBefore(r.at());
  }

  /** What others were told that is younger than what was known here; each once. */
  public List<LoadReport> news() {
    List<LoadReport> all = received;
    received = new ArrayList<>();
    return all;
  }

  /** When to ask {@link #due} next. */
  public Timestamp wake() {
    return nextRoundAt;
  }

  /** What to send now. */
  public List<OutgoingMessage> due(View view, MessageHeader self, Timestamp now) {
    if (now.isBefore(nextRoundAt)) {
      return List.of();
    }
    // After a pause there is one round, not all those that were missed.
    nextRoundAt = now.plus(options.round());
    latest.values().removeIf(r -> now.since(r.at()).compareTo(options.maxAge()) >= 0);
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

  /** What to tell after a word that its carrier found whole, of one that counts. */
  public List<OutgoingMessage> heard(
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
            .filter(r -> now.since(r.at()).compareTo(options.maxAge()) < 0)
            .toList();
    long[] engines = new long[fresh.size()];
    int[] inHand = new int[engines.length];
    int[] ages = new int[engines.length];
    for (int i = 0; i < engines.length; i++) {
      engines[i] = fresh.get(i).engine().value();
      inHand[i] = (int) Math.min(MAX_IN_FLIGHT, Math.round(fresh.get(i).inFlight()));
      // Rounded up: never told younger than it is.
      ages[i] = (int) (now.since(fresh.get(i).at()).us() / US_PER_MS + 1);
    }
    return new ReportsReply(self, id, engines, inHand, ages);
  }

  private void learn(ReportsReply table, int i, PendingRequest asked) {
    int age = table.agesMs()[i];
    int inHand = table.inFlight()[i];
    if (age < 0 || inHand < 0 || inHand > MAX_IN_FLIGHT) {
      return;
    }
    Timestamp at =
        asked.requestedAt.minus(
            new TimeSpan(Math.round(age * US_PER_MS * (1 + 2 * options.maxClockRateRatio()))));
    LoadReport report = new LoadReport(new EngineId(table.engines()[i]), inHand, at);
    if (asked.requestedAt.since(at).compareTo(options.maxAge()) < 0 && isYounger(report)) {
      latest.put(report.engine(), report);
      received.add(report);
    }
  }

  /** Reports held: bounded. */
  public int size() {
    return latest.size();
  }
}

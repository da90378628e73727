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
   * @param asked how many in one
   * @param end after which a report is nothing
   * @param clockRates by which part the rates of two clocks differ at most
   */
  public record LoadReportOptions(TimeSpan round, int asked, TimeSpan end, double clockRates) {
    public LoadReportOptions {
      if (!round.isPositive() || asked < 1 || end.compareTo(round) <= 0) {
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
  public static final int MOST = 512;

  private static final int MOST_OPEN = 32;
  private static final long US_PER_MS = 1000;
  private static final int LARGEST = 1 << 20;

  private record PendingRequest(Member of, Timestamp at) {}

  private final LoadReportOptions terms;
  private final RandomGenerator chance;
  private final TreeMap<EngineId, LoadReport> youngest = new TreeMap<>();
  private final Map<Long, PendingRequest> open = new HashMap<>();
  private List<LoadReport> news = new ArrayList<>();
  private Timestamp next;

  public LoadReports(LoadReportOptions terms, RandomGenerator chance, Timestamp now) {
    this.terms = terms;
    this.chance = chance;
    next = now.plus(terms.round().times(chance.nextDouble()));
  }

  /** What an engine told this dispatcher itself. */
  public void told(LoadReport report) {
    if (isYounger(report)) {
      youngest.put(report.engine(), report);
    }
  }

  private boolean isYounger(LoadReport r) {
    LoadReport held = youngest.get(r.engine());
    return held == null ? youngest.size() < MOST : held.at().isBefore(r.at());
  }

  /** What others were told that is younger than what was known here; each once. */
  public List<LoadReport> news() {
    List<LoadReport> all = news;
    news = new ArrayList<>();
    return all;
  }

  /** When to ask {@link #due} next. */
  public Timestamp wake() {
    return next;
  }

  /** What to send now. */
  public List<OutgoingMessage> due(View view, MessageHeader self, Timestamp now) {
    if (now.isBefore(next)) {
      return List.of();
    }
    // After a pause there is one round, not all those that were missed.
    next = now.plus(terms.round());
    youngest.values().removeIf(r -> now.since(r.at()).compareTo(terms.end()) >= 0);
    open.values().removeIf(o -> now.since(o.at).compareTo(terms.end()) >= 0);
    List<OutgoingMessage> tells = new ArrayList<>();
    int others = view == null ? 0 : view.members().size() - 1;
    for (int i = 0; i < Math.min(terms.asked(), others) && open.size() < MOST_OPEN; i++) {
      Member of = view.members().get(chance.nextInt(view.members().size()));
      if (!of.name().equals(self.member().name())) {
        long id = chance.nextLong();
        open.put(id, new PendingRequest(of, now));
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
      return List.of(new OutgoingMessage(from.peerAddress(), table(self, ask.id(), now)));
    }
    ReportsReply table = (ReportsReply) word;
    PendingRequest asked = open.get(table.id());
    if (asked != null && asked.of.equals(from)) {
      open.remove(table.id());
      for (int i = 0; i < table.engines().length; i++) {
        learn(table, i, asked);
      }
    }
    return List.of();
  }

  private ReportsReply table(MessageHeader self, long id, Timestamp now) {
    List<LoadReport> fresh =
        youngest.values().stream()
            .filter(r -> now.since(r.at()).compareTo(terms.end()) < 0)
            .toList();
    long[] engines = new long[fresh.size()];
    int[] inHand = new int[engines.length];
    int[] ages = new int[engines.length];
    for (int i = 0; i < engines.length; i++) {
      engines[i] = fresh.get(i).engine().value();
      inHand[i] = (int) Math.min(LARGEST, Math.round(fresh.get(i).inFlight()));
      // Rounded up: never told younger than it is.
      ages[i] = (int) (now.since(fresh.get(i).at()).us() / US_PER_MS + 1);
    }
    return new ReportsReply(self, id, engines, inHand, ages);
  }

  private void learn(ReportsReply table, int i, PendingRequest asked) {
    int age = table.agesMs()[i];
    int inHand = table.inFlight()[i];
    if (age < 0 || inHand < 0 || inHand > LARGEST) {
      return;
    }
    Timestamp at =
        asked.at.minus(new TimeSpan(Math.round(age * US_PER_MS * (1 + 2 * terms.clockRates()))));
    LoadReport report = new LoadReport(new EngineId(table.engines()[i]), inHand, at);
    if (asked.at.since(at).compareTo(terms.end()) < 0 && isYounger(report)) {
      youngest.put(report.engine(), report);
      news.add(report);
    }
  }

  /** Reports held: bounded. */
  public int size() {
    return youngest.size();
  }
}

package cobaltseam.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The outcomes of requests as their clients saw them, one for each request. */
public final class RequestLedger {
  /**
   * The outcome of a request for its client: one of the three final answers, rejected before it was
   * admitted, cut off with its connection, without an answer in time, or never written since there
   * was no connection.
   */
  public enum Outcome {
    ANSWERED,
    SHED,
    FAILED,
    REJECTED,
    DISCONNECTED,
    TIMED_OUT,
    UNSENT
  }

  /** One request as its client saw it; times in nanoseconds of this process. */
  public record Entry(
      String call, String profile, int dispatcher, long asked, long ended, Outcome end) {}

  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  void add(Entry entry) {
    if (entries.put(entry.call, entry) != null) {
      throw new AssertionError("a second ending for " + entry.call);
    }
  }

  /** The outcomes by call id. */
  public Map<String, Entry> entries() {
    return entries;
  }

  /** The number of requests with each outcome. */
  public Map<Outcome, Integer> counts() {
    Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
    for (Outcome end : Outcome.values()) {
      counts.put(end, 0);
    }
    entries.values().forEach(e -> counts.merge(e.end, 1, Integer::sum));
    return counts;
  }
}

package cobaltseam.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Records the outcome of each request as its client observed it, once for each request. */
public final class RequestLedger {
  /**
   * The outcome of a request for its client. {@code ANSWERED}, {@code SHED} and {@code FAILED} are
   * the three final answers of a dispatcher that has admitted the request.
   */
  public enum Outcome {
    ANSWERED,
    SHED,
    FAILED,
    /** The dispatcher rejected the request before it admitted it (SQLSTATE 57P03). */
    REJECTED,
    /** The connection ended before an answer. */
    DISCONNECTED,
    /** No answer arrived within the client's timeout. */
    TIMED_OUT,
    /** The request was never written, since the client had no connection. */
    UNSENT
  }

  /**
   * One request as its client observed it. Times are in nanoseconds, of {@link System#nanoTime} in
   * this process.
   */
  public record Entry(
      String callId,
      String requestClass,
      int dispatcher,
      long sentAt,
      long endedAt,
      Outcome outcome) {}

  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  void add(Entry entry) {
    if (entries.put(entry.callId, entry) != null) {
      throw new AssertionError("a second outcome was recorded for request " + entry.callId);
    }
  }

  /** Returns the recorded requests, by call id. */
  public Map<String, Entry> entries() {
    return entries;
  }

  /** Returns the number of requests with each outcome, zeros included. */
  public Map<Outcome, Integer> counts() {
    Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
    for (Outcome outcome : Outcome.values()) {
      counts.put(outcome, 0);
    }
    entries.values().forEach(e -> counts.merge(e.outcome, 1, Integer::sum));
    return counts;
  }
}

package cobaltseam.soak;

import cobaltseam.standin.EmulatedEngine.AttemptRecord;
import cobaltseam.standin.RequestLedger.Entry;
import java.util.List;
import java.util.Map;

/**
 * The record of one run, for the checks.
 *
 * @param requests each request with its outcome for its client
 * @param departures the number of clients that closed their connection while a request was pending
 * @param startsAfterDepartureMs for each departure and engine, the time from the departure to the
 *     last start of the request on the engine, or 0
 * @param starts the number of times that engines started each request, by call id
 * @param completions the number of times that engines completed each request, by call id
 * @param counters the counters of each dispatcher process when it ended
 * @param lastAnswersMs for each shutdown, the time from SIGTERM to the outcome of the last request
 * @param readyMs for each restart, the time from the start until the dispatcher served
 * @param startsAfterDrainMs for each drain, the time from its publication to the last start of a
 *     request on the engine
 * @param quietRequests the requests that were sent and ended before the first fault, in a run whose
 *     conditions let every request succeed
 * @param quietConnectMs the times that clients took to connect before the first fault
 * @param overlappingAttempts attempts at engines that began while an earlier attempt of the same
 *     request was in flight
 * @param killed the number of dispatchers that were killed, whose counters are missing
 */
record SoakRecord(
    List<Entry> requests,
    int departures,
    List<Long> startsAfterDepartureMs,
    Map<String, Integer> starts,
    Map<String, Integer> completions,
    List<Map<String, Long>> counters,
    List<Long> lastAnswersMs,
    List<Long> readyMs,
    List<Long> startsAfterDrainMs,
    List<Entry> quietRequests,
    List<Long> quietConnectMs,
    List<AttemptRecord> overlappingAttempts,
    int killed) {
  /** Returns the sum of a counter over all dispatcher processes. */
  long sum(String counter) {
    return counters.stream().mapToLong(c -> c.get(counter)).sum();
  }
}

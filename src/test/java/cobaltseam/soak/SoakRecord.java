package cobaltseam.soak;

import cobaltseam.standin.RequestLedger.Entry;
import java.util.List;
import java.util.Map;

/**
 * What was recorded in one run, for the checks.
 *
 * @param requests each request as its client saw it
 * @param departures how many requests were left by their client before an answer
 * @param startsAfterDepartureMs how long after its client had left a request was started last
 * @param starts how often engines started each request, by call id
 * @param completions how often engines completed each request, by call id
 * @param counters what each dispatcher process counted until its end
 * @param lastAnswersMs for each shutdown, how long after SIGTERM the last request had its end
 * @param readyMs how long each restart took until it served
 * @param startsAfterDrainMs for each drain, the last start of a request at the engine, from the
 *     publication of the drain on
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
    List<Long> startsAfterDrainMs) {
  long sum(String counter) {
    return counters.stream().mapToLong(c -> c.get(counter)).sum();
  }
}

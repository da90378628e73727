package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;

/**
 * Limits how many status reports an engine may write for one attempt, by the interval at which the
 * settings let it report progress. An engine that writes without end would otherwise take the
 * processor time of all requests. Confined to the event-loop thread.
 */
final class StatusReportLimit {
  /** The reports of an attempt that are always allowed, whatever their rate. */
  static final int MAX_BURST = 256;

  /**
   * The further reports that are allowed in each interval: one of each kind, and room for engines
   * that report more often than the settings say.
   */
  private static final int MAX_PER_INTERVAL = 16;

  /** The interval where the settings name none or a longer one; in microseconds. */
  private static final TimeSpan MAX_INTERVAL_US = new TimeSpan(1_000_000);

  private TimeSpan interval = MAX_INTERVAL_US;

  /** Applies the interval of the settings. */
  void applyConfiguration(ServiceConfiguration configuration) {
    TimeSpan configured = configuration.deployment().capabilities().progressInterval();
    interval = configured.isPositive() ? configured.min(MAX_INTERVAL_US) : MAX_INTERVAL_US;
  }

  /** Counts a status report; returns whether the attempt has had too many by now. */
  boolean isExceededBy(Attempt attempt, Timestamp now) {
    attempt.statusReports++;
    long intervals = now.since(attempt.startedAt).us() / interval.us();
    return attempt.statusReports > MAX_BURST + MAX_PER_INTERVAL * intervals;
  }
}

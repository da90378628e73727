package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Logs warnings about peers, at most {@link #MAX_LINES_PER_WINDOW} a second, since a peer could
 * otherwise cause any number of log lines.
 */
final class RateLimitedLog {
  private static final TimeSpan WINDOW_US = new TimeSpan(1_000_000);
  private static final int MAX_LINES_PER_WINDOW = 5;

  private final Logger logger;
  private final Clock clock;
  private Timestamp windowStart;
  private int linesInWindow;
  private long suppressedLines;

  RateLimitedLog(Logger logger, Clock clock) {
    this.logger = logger;
    this.clock = clock;
  }

  /**
   * Logs a warning, or counts it as suppressed if the limit of the current second is reached. The
   * count of suppressed warnings is logged before the next warning.
   *
   * @return whether the warning was logged
   */
  boolean warn(String format, Object... fields) {
    Timestamp now = clock.now();
    if (windowStart == null || now.since(windowStart).compareTo(WINDOW_US) >= 0) {
      windowStart = now;
      linesInWindow = 0;
    }
    if (linesInWindow == MAX_LINES_PER_WINDOW) {
      suppressedLines++;
      return false;
    }
    if (suppressedLines > 0) {
      logger.log(Level.WARNING, "{0} warnings were suppressed by the rate limit", suppressedLines);
      suppressedLines = 0;
    }
    linesInWindow++;
    logger.log(Level.WARNING, format, fields);
    return true;
  }
}

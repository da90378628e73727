package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Logs warnings about peers, at most a few a second, since a peer could otherwise cause any number
 * of lines.
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
   * Logs a warning, or counts it as suppressed if there were too many in this second; the count is
   * logged before the next warning.
   *
   * @return whether it was logged
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
      logger.log(Level.WARNING, "{0} lines like the next one were suppressed", suppressedLines);
      suppressedLines = 0;
    }
    linesInWindow++;
    logger.log(Level.WARNING, format, fields);
    return true;
  }
}

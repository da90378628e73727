package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Logs lines that peers cause, at most {@link #MAX_LINES_PER_WINDOW} a second, since a peer could
 * otherwise cause any number of log lines.
 */
final class RateLimitedLog {
  private static final TimeSpan WINDOW_US = new TimeSpan(1_000_000);
  private static final int MAX_LINES_PER_WINDOW = 5;

  private final Logger logger;
  private final Level level;
  private final Clock clock;
  private Timestamp windowStart;
  private int linesInWindow;
  private long suppressedLines;

  /** Creates a log of warnings. */
  RateLimitedLog(Logger logger, Clock clock) {
    this(logger, Level.WARNING, clock);
  }

  RateLimitedLog(Logger logger, Level level, Clock clock) {
    this.logger = logger;
    this.level = level;
    this.clock = clock;
  }

  /**
   * Logs a warning; as {@link #log}, for a log of warnings.
   *
   * @return whether the warning was logged
   */
  boolean warn(String format, Object... fields) {
    return log(format, fields);
  }

  /**
   * Logs a line, or counts it as suppressed if the limit of the current second is reached. The
   * count of suppressed lines is logged before the next line.
   *
   * @return whether the line was logged
   */
  boolean log(String format, Object... fields) {
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
      String kind = level == Level.WARNING ? "warnings" : "messages";
      logger.log(level, "{0} {1} were suppressed by the rate limit", suppressedLines, kind);
      suppressedLines = 0;
    }
    linesInWindow++;
    logger.log(level, format, fields);
    return true;
  }
}

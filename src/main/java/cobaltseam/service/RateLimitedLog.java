package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Warnings about peers, a few a second: a peer could else have any number of lines written. */
final class RateLimitedLog {
  private static final TimeSpan SECOND = new TimeSpan(1_000_000);
  private static final int LINES = 5;

  private final Logger to;
  private final Clock clock;
  private Timestamp since;
  private int lines;
  private long leftOut;

  RateLimitedLog(Logger to, Clock clock) {
    this.to = to;
    this.clock = clock;
  }

  /**
   * Whether a line was written; else it is counted, and the number told with the next one that is.
   */
  boolean warn(String format, Object... what) {
    Timestamp now = clock.now();
    if (since == null || now.since(since).compareTo(SECOND) >= 0) {
      since = now;
      lines = 0;
    }
    if (lines == LINES) {
      leftOut++;
      return false;
    }
    if (leftOut > 0) {
      to.log(Level.WARNING, "{0} lines like the next one were left out", leftOut);
      leftOut = 0;
    }
    lines++;
    to.log(Level.WARNING, format, what);
    return true;
  }
}

package cobaltseam.capacity;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** The messages by which members exchange the load reports of engines. */
public sealed interface LoadReportMessage extends PeerMessage {
  /** Requests all known reports. */
  record ReportsRequest(MessageHeader from, long id) implements LoadReportMessage {
    public ReportsRequest {
      Objects.requireNonNull(from);
    }
  }

  /**
   * The reply to a request: how many requests each engine reported to have in flight, and the
   * largest age that this report can have, in milliseconds.
   */
  record ReportsReply(MessageHeader from, long id, long[] engines, int[] inFlight, int[] agesMs)
      implements LoadReportMessage {
    public ReportsReply {
      Objects.requireNonNull(from);
      if (engines.length > LoadReports.MAX_ENGINES
          || engines.length != inFlight.length
          || engines.length != agesMs.length) {
        throw new IllegalArgumentException(
            "a reply holds at most "
                + LoadReports.MAX_ENGINES
                + " engines, each with its requests in flight and an age");
      }
    }
  }
}

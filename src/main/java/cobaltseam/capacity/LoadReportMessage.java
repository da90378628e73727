package cobaltseam.capacity;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** What members tell each other of what engines told them. */
public sealed interface LoadReportMessage extends PeerMessage {
  /** Asks for all that is known. */
  record ReportsRequest(MessageHeader from, long id) implements LoadReportMessage {
    public ReportsRequest {
      Objects.requireNonNull(from);
    }
  }

  /**
   * The answer: of each engine how many commands it said that it holds, and how many milliseconds
   * ago at the most.
   */
  record ReportsReply(MessageHeader from, long id, long[] engines, int[] inFlight, int[] agesMs)
      implements LoadReportMessage {
    public ReportsReply {
      Objects.requireNonNull(from);
      if (engines.length > LoadReports.MAX_ENGINES
          || engines.length != inFlight.length
          || engines.length != agesMs.length) {
        throw new IllegalArgumentException(
            "at most " + LoadReports.MAX_ENGINES + " engines, each with its figure and age");
      }
    }
  }
}

package cobaltseam.spread;

import cobaltseam.membership.Message.Teller;
import cobaltseam.membership.Spoken;
import java.util.Objects;

/** What members tell each other of what engines told them. */
public sealed interface ReportWord extends Spoken {
  /** Asks for all that is known. */
  record AskReports(Teller from, long id) implements ReportWord {
    public AskReports {
      Objects.requireNonNull(from);
    }
  }

  /**
   * The answer: of each engine how many commands it said that it holds, and how many milliseconds
   * ago at the most.
   */
  record Table(Teller from, long id, long[] engines, int[] inHand, int[] agesMs)
      implements ReportWord {
    public Table {
      Objects.requireNonNull(from);
      if (engines.length > Reports.MOST
          || engines.length != inHand.length
          || engines.length != agesMs.length) {
        throw new IllegalArgumentException(
            "at most " + Reports.MOST + " engines, each with its figure and age");
      }
    }
  }
}

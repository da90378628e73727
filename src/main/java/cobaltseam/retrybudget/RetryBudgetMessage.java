package cobaltseam.retrybudget;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** What members tell each other to move what they may yet spend on further sends. */
public sealed interface RetryBudgetMessage extends PeerMessage {
  /** Asks for so many thousandths of a send. */
  record BudgetRequest(MessageHeader from, long id, long amount) implements RetryBudgetMessage {
    public BudgetRequest {
      Objects.requireNonNull(from);
    }
  }

  /**
   * The answer: amounts that are the teller's no more, and for how long after the ask each may be
   * spent.
   */
  record BudgetTransfer(MessageHeader from, long id, long[] amounts, long[] lifetimesUs)
      implements RetryBudgetMessage {
    public BudgetTransfer {
      Objects.requireNonNull(from);
      if (amounts.length > RetryBudget.MAX_GRANTS || amounts.length != lifetimesUs.length) {
        throw new IllegalArgumentException(
            "at most " + RetryBudget.MAX_GRANTS + " amounts, each with its time");
      }
    }
  }
}

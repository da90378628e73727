package cobaltseam.retrybudget;

import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.PeerMessage;
import java.util.Objects;

/** The messages by which members transfer parts of their retry budgets. */
public sealed interface RetryBudgetMessage extends PeerMessage {
  /** Requests an amount in thousandths of a retry. */
  record BudgetRequest(MessageHeader from, long id, long amount) implements RetryBudgetMessage {
    public BudgetRequest {
      Objects.requireNonNull(from);
    }
  }

  /**
   * The reply to a request: amounts that were taken from the sender's budget, and how long after
   * the request each may be spent.
   */
  record BudgetTransfer(MessageHeader from, long id, long[] amounts, long[] lifetimesUs)
      implements RetryBudgetMessage {
    public BudgetTransfer {
      Objects.requireNonNull(from);
      if (amounts.length > RetryBudget.MAX_GRANTS || amounts.length != lifetimesUs.length) {
        throw new IllegalArgumentException(
            "a transfer holds at most "
                + RetryBudget.MAX_GRANTS
                + " amounts, each with a lifetime");
      }
    }
  }
}

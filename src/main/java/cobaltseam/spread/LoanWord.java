package cobaltseam.spread;

import cobaltseam.membership.Message.Teller;
import cobaltseam.membership.Spoken;
import java.util.Objects;

/** What members tell each other of the parts that they lend. */
public sealed interface LoanWord extends Spoken {
  /**
   * Asks for so much of what the one asked holds, in place of all that it lent the teller before.
   */
  record Borrow(Teller from, long id, long amount) implements LoanWord {
    public Borrow {
      Objects.requireNonNull(from);
    }
  }

  /** The answer: so much, for so long after it was asked for by the clock of the one that asked. */
  record Lent(Teller from, long id, long amount, long lastsUs) implements LoanWord {
    public Lent {
      Objects.requireNonNull(from);
    }
  }
}

package cobaltseam.repeats;

import cobaltseam.membership.Message.Teller;
import cobaltseam.membership.Spoken;
import java.util.Objects;

/** What members tell each other to move what they may yet spend on further sends. */
public sealed interface PurseWord extends Spoken {
  /** Asks for so many thousandths of a send. */
  record Beg(Teller from, long id, long amount) implements PurseWord {
    public Beg {
      Objects.requireNonNull(from);
    }
  }

  /**
   * The answer: amounts that are the teller's no more, and for how long after the ask each may be
   * spent.
   */
  record Give(Teller from, long id, long[] amounts, long[] lastsUs) implements PurseWord {
    public Give {
      Objects.requireNonNull(from);
      if (amounts.length > Purse.MOST_CELLS || amounts.length != lastsUs.length) {
        throw new IllegalArgumentException(
            "at most " + Purse.MOST_CELLS + " amounts, each with its time");
      }
    }
  }
}

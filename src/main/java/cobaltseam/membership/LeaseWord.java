package cobaltseam.membership;

import cobaltseam.membership.Message.Teller;
import java.util.Objects;

/** What members tell each other to know that their view is the newest. */
public sealed interface LeaseWord extends Spoken {
  /** Is the teller's view still the newest? */
  record Renew(Teller from, long id) implements LeaseWord {
    public Renew {
      Objects.requireNonNull(from);
    }
  }

  /** Yes: the teller holds the same view, and nothing that would follow it is on its way there. */
  record Granted(Teller from, long id) implements LeaseWord {
    public Granted {
      Objects.requireNonNull(from);
    }
  }
}

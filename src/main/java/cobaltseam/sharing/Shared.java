package cobaltseam.sharing;

import cobaltseam.membership.Message.Teller;
import cobaltseam.membership.Spoken;
import java.util.Objects;

/** What members tell each other of what they know, with who speaks, as every message has it. */
public sealed interface Shared extends Spoken {
  Told told();

  static Shared of(Teller from, Told told) {
    return told instanceof Told.Ask ask
        ? new ShareAsk(from, ask)
        : new ShareNewer(from, (Told.Newer) told);
  }

  /** An ask. */
  record ShareAsk(Teller from, Told.Ask told) implements Shared {
    public ShareAsk {
      Objects.requireNonNull(from);
      Objects.requireNonNull(told);
    }
  }

  /** What answers one. */
  record ShareNewer(Teller from, Told.Newer told) implements Shared {
    public ShareNewer {
      Objects.requireNonNull(from);
      Objects.requireNonNull(told);
    }
  }
}

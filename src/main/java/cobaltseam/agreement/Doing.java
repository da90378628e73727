package cobaltseam.agreement;

import cobaltseam.membership.Act;
import java.net.InetSocketAddress;

/** What the agreement wants done. */
public sealed interface Doing {
  /** A datagram to an address; it may be lost. */
  record Tell(InetSocketAddress to, Word word) implements Doing {}

  /** What membership wants done because of it. */
  record Of(Act act) implements Doing {}

  /** From now on the process acts on this, for all keys at once. */
  record Acts(Acting on) implements Doing {}

  /** Something for the log. */
  record Noted(Event event, String detail) implements Doing {}

  /** What is noted. */
  enum Event {
    PROPOSED,
    REFUSED,
    CHOSEN,
    CAME_SECOND,
    NOT_CHOSEN,
    STEPPED_BACK;

    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }
}

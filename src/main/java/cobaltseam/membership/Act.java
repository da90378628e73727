package cobaltseam.membership;

import java.net.InetSocketAddress;

/** What membership wants done. */
public sealed interface Act {
    /** A datagram to an address; it may be lost. */
    record Tell(InetSocketAddress to, Message message) implements Act {
    }

    /** Another view holds from now on, or none any more. */
    record Installed(View view) implements Act {
    }

    /** Something for the log. */
    record Noted(Event event, MemberName who, String detail) implements Act {
    }

    /** What is noted. */
    enum Event {
        JOINED_SIGHT, SUSPECTED, REFUTED, SEEMS_DEAD, LEFT, RESTARTED, STOOD_STILL, NAME_TAKEN, TAKEN_OUT, LINE_LEFT;

        public String label() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }
}

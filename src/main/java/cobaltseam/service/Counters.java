package cobaltseam.service;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** Counts events of the service; from any thread. */
final class Counters {
  /** The counters; their names are printed in lower case. */
  enum Count {
    CLIENTS_OPENED,
    CLIENTS_CLOSED,
    CLIENTS_TURNED_AWAY,
    CLIENTS_GAVE_WAY,
    CLIENT_PROTOCOL_ERRORS,
    COMMANDS_TAKEN,
    STATEMENTS_UNUSABLE,
    STATEMENTS_UNHEARD,
    STATEMENTS_AFTER_SHUTDOWN,
    COMMANDS_ANSWERED,
    COMMANDS_SHED,
    COMMANDS_FAILED,
    COMMANDS_DEPARTED,
    SENDS,
    SENDS_ANSWERED,
    SENDS_ERROR,
    SENDS_NO_ROOM,
    SENDS_TIMED_OUT,
    SENDS_UNREACHABLE,
    SENDS_CUT,
    SENDS_CANCELLED,
    SENDS_NEVER_SENT,
    PAGES_ASKED,
    NOTES,
    LATE_ANSWERS,
    UNKNOWN_ANSWERS,
    SECOND_COPIES,
    ENGINE_CONNECTIONS,
    ENGINE_CONNECTIONS_FAILED,
    ENGINE_CONNECTIONS_CLOSED,
    ENGINE_PROTOCOL_ERRORS,
    BUS_EVENTS,
    BUS_CONNECTIONS,
    BUS_GAPS,
    CONFIGURATIONS_READ,
    CONFIGURATIONS_MOVED,
    CONFIGURATIONS_UNUSABLE,
    FAULTS,
    MASTERSHIP_TAKEN,
    MASTERSHIP_LEFT,
    MASTERSHIP_FENCED,
    MASTERSHIP_ADVERTS_SENT,
    MASTERSHIP_ADVERTS_UNSENT,
    MASTERSHIP_ADVERTS_TAKEN,
    MASTERSHIP_ADVERTS_REFUSED,
    MASTERSHIP_BINDS_FAILED,
    MASTERSHIP_TURNED_AWAY,
    MASTERSHIP_COMMANDS_WITHDRAWN,
    MEMBERSHIP_DATAGRAMS_SENT,
    MEMBERSHIP_BYTES_SENT,
    MEMBERSHIP_DATAGRAMS_UNSENT,
    MEMBERSHIP_DATAGRAMS_TAKEN,
    MEMBERSHIP_DATAGRAMS_REFUSED,
    MEMBERSHIP_DATAGRAMS_DROPPED,
    MEMBERSHIP_VIEWS,
    MEMBERSHIP_SUSPECTED,
    MEMBERSHIP_STOOD_STILL,
    MEMBERSHIP_NOTED,
    MEMBERSHIP_KEPT,
    AGREEMENT_MOVES,
    AGREEMENT_STEPPED_BACK,
    REPEATS_DENIED,
    CLIENTS_TIMED_OUT;

    String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final AtomicLongArray counts = new AtomicLongArray(Count.values().length);

  void add(Count count) {
    counts.getAndIncrement(count.ordinal());
  }

  void add(Count count, long times) {
    counts.getAndAdd(count.ordinal(), times);
  }

  long get(Count count) {
    return counts.get(count.ordinal());
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("counters");
    for (Count count : Count.values()) {
      text.append(' ').append(count.label()).append('=').append(get(count));
    }
    return text.toString();
  }
}

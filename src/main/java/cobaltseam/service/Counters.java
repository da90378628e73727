package cobaltseam.service;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** Counts events of the service. Thread-safe. */
final class Counters {
  /**
   * The counters. SHOW and the shutdown log line print their names in lower case. A command is a
   * request of a client; a send is an attempt at an engine; the bus is the source of endpoint
   * events.
   */
  enum Count {
    /** Client connections that were accepted. */
    CLIENTS_OPENED,
    /** Accepted client connections that have ended, whichever side closed them. */
    CLIENTS_CLOSED,
    /** Client connections that were rejected because too many were open. */
    CLIENTS_TURNED_AWAY,
    /** Idle client connections that were evicted because a new client connected at the limit. */
    CLIENTS_GAVE_WAY,
    /** Client connections that were closed because of a protocol violation. */
    CLIENT_PROTOCOL_ERRORS,
    /** Requests that were admitted. */
    COMMANDS_TAKEN,
    /** Statements that were rejected as invalid or unsupported, or beyond the request limit. */
    STATEMENTS_UNUSABLE,
    /** Messages that were received on a client connection after it was closed. */
    STATEMENTS_UNHEARD,
    /** Statements that were rejected because a shutdown was in progress. */
    STATEMENTS_AFTER_SHUTDOWN,
    /** Admitted requests that ended with a complete result. */
    COMMANDS_ANSWERED,
    /** Admitted requests that were shed; the client may retry. */
    COMMANDS_SHED,
    /** Admitted requests that ended with a failure other than shedding. */
    COMMANDS_FAILED,
    /** Admitted requests whose client cancelled them or disconnected. */
    COMMANDS_DEPARTED,
    /** Attempts, including those that were never sent. */
    SENDS,
    /** Attempts that ended with a complete result. */
    SENDS_ANSWERED,
    /** Attempts that ended with an error of the engine or an invalid result. */
    SENDS_ERROR,
    /** Attempts that an engine rejected for lack of capacity or for an exceeded deadline. */
    SENDS_NO_ROOM,
    /** Attempts that timed out. */
    SENDS_TIMED_OUT,
    /** Attempts whose engine could not be connected to. */
    SENDS_UNREACHABLE,
    /** Attempts whose connection was lost. */
    SENDS_CUT,
    /** Attempts that this dispatcher cancelled. */
    SENDS_CANCELLED,
    /** Attempts that were not sent because sending or another retry was not permitted. */
    SENDS_NEVER_SENT,
    /** Further result pages that were requested from engines. */
    PAGES_ASKED,
    /** Progress reports and other status messages of engines about running attempts. */
    NOTES,
    /** Answers to attempts that had already ended at this dispatcher. */
    LATE_ANSWERS,
    /** Answers with an id that belongs to no attempt, open or recently ended, on its connection. */
    UNKNOWN_ANSWERS,
    /** Result pages that were received more than once. */
    SECOND_COPIES,
    /** Connections to engines that were established. */
    ENGINE_CONNECTIONS,
    /** Connections to engines that could not be established. */
    ENGINE_CONNECTIONS_FAILED,
    /** Connections to engines that the engine or an error closed. */
    ENGINE_CONNECTIONS_CLOSED,
    /** Protocol violations and invalid results of engines. */
    ENGINE_PROTOCOL_ERRORS,
    /** Events that the endpoint watch applied. */
    BUS_EVENTS,
    /** Connections of the endpoint watch that were established. */
    BUS_CONNECTIONS,
    /** Gaps in the sequence of endpoint events; the missing events are requested again. */
    BUS_GAPS,
    /** Reloads of the configuration that were applied. */
    CONFIGURATIONS_READ,
    /** Changes of the dispatch settings. */
    CONFIGURATIONS_MOVED,
    /** Reloads that were rejected because a file was unreadable or invalid. */
    CONFIGURATIONS_UNUSABLE,
    /** Unexpected exceptions in the service. */
    FAULTS,
    /** Transitions of a virtual router to active. */
    MASTERSHIP_TAKEN,
    /** Transitions of a virtual router from active to another state. */
    MASTERSHIP_LEFT,
    /** Transitions from active because this process ran late and a peer may have become active. */
    MASTERSHIP_FENCED,
    /** VRRP advertisements that were sent, one for each peer. */
    MASTERSHIP_ADVERTS_SENT,
    /** VRRP advertisements that could not be sent. */
    MASTERSHIP_ADVERTS_UNSENT,
    /** Received VRRP advertisements that were accepted. */
    MASTERSHIP_ADVERTS_TAKEN,
    /** Received VRRP advertisements that were rejected or dropped. */
    MASTERSHIP_ADVERTS_REFUSED,
    /** Failed attempts to bind a service address. */
    MASTERSHIP_BINDS_FAILED,
    /** Statements that were rejected because this dispatcher was not active. */
    MASTERSHIP_TURNED_AWAY,
    /** Open requests that got no further attempt after mastership was lost. */
    MASTERSHIP_COMMANDS_WITHDRAWN,
    /** Datagrams that were sent to members. */
    MEMBERSHIP_DATAGRAMS_SENT,
    /** The bytes of the datagrams that were sent to members. */
    MEMBERSHIP_BYTES_SENT,
    /** Datagrams to members that could not be sent. */
    MEMBERSHIP_DATAGRAMS_UNSENT,
    /** Received datagrams that were decoded. */
    MEMBERSHIP_DATAGRAMS_TAKEN,
    /** Received datagrams that were rejected as invalid or not authentic. */
    MEMBERSHIP_DATAGRAMS_REFUSED,
    /** Received datagrams that were dropped because too many were unread. */
    MEMBERSHIP_DATAGRAMS_DROPPED,
    /** Installed views, including changes to no view. */
    MEMBERSHIP_VIEWS,
    /** Suspicions of a member by the failure detector. */
    MEMBERSHIP_SUSPECTED,
    /** Suspensions of this process that the failure detector noticed. */
    MEMBERSHIP_STOOD_STILL,
    /** Other events of membership that were logged. */
    MEMBERSHIP_NOTED,
    /** States that were handed over to be written to the state folder. */
    MEMBERSHIP_KEPT,
    /** Activations of agreed dispatch settings. */
    AGREEMENT_MOVES,
    /** Activations of conservative settings, since a version may have been missed. */
    AGREEMENT_STEPPED_BACK,
    /** Requests that ended without a result after an attempt while no retry was left. */
    REPEATS_DENIED,
    /** Client connections that were closed for lack of a first statement. */
    CLIENTS_TIMED_OUT,
    /** Client connections whose accept failed for a reason on this machine. */
    CLIENT_ACCEPTS_FAILED,
    /** Connects to engines that failed for a reason on this machine, and were repeated. */
    ENGINE_CONNECTS_REPEATED,
    /** Attempts that were not sent since no connection could be opened on this machine. */
    SENDS_LOCAL_FAILURE,
    /** The most bytes from engines and discovery that waited for the event loop at once. */
    UNPROCESSED_INPUT_PEAK_BYTES,
    /** The longest time that a task waited for the event loop, in milliseconds. */
    EVENT_LOOP_PEAK_DELAY_MS,
    /** The longest time that the I/O thread took for one round of reading, in milliseconds. */
    READ_ROUND_PEAK_MS,
    /**
     * How often no more was read from a connection until the event loop had processed its input.
     */
    READS_SUSPENDED,
    /** The longest time from a connect of the endpoint watch to its first line, in milliseconds. */
    BUS_FIRST_LINE_PEAK_MS,
    /** Endpoint events that arrived after they were skipped as lost, and were applied then. */
    BUS_EVENTS_LATE,
    /** Writes of a state to the state folder that failed; each is repeated. */
    MEMBERSHIP_WRITES_FAILED;

    /** The name as printed. */
    String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final AtomicLongArray counts = new AtomicLongArray(Count.values().length);

  /** Adds one to a counter. */
  void add(Count count) {
    counts.getAndIncrement(count.ordinal());
  }

  /** Adds an amount to a counter. */
  void add(Count count, long amount) {
    counts.getAndAdd(count.ordinal(), amount);
  }

  /** Raises a counter to a value, unless it is higher already. */
  void raiseTo(Count count, long value) {
    counts.accumulateAndGet(count.ordinal(), value, Math::max);
  }

  /** The value of a counter. */
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

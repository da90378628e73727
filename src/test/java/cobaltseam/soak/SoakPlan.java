package cobaltseam.soak;

import cobaltseam.standin.SystemCallFaults.Call;
import cobaltseam.standin.SystemCallFaults.Failure;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The parameters and the faults of one run of the soak. The same seed gives the same plan.
 *
 * @param engineMs the mean execution time of a request
 * @param deadlineMs the deadline of each request
 * @param hasDepartures whether some clients close their connection while a request is pending
 * @param faults the faults, in the order in which they are injected
 * @param conditions what holds during the whole run
 */
record SoakPlan(
    long seed,
    int dispatchers,
    int engines,
    int clients,
    int engineMs,
    int deadlineMs,
    boolean hasDepartures,
    List<Fault> faults,
    Conditions conditions) {
  /**
   * What holds during the whole run.
   *
   * @param callFault the system calls of dispatchers that fail, or null
   * @param hasAnswerFaults whether engines lose pages of results, and repeat answers
   * @param crowd the number of idle connections that are kept open to each dispatcher
   */
  record Conditions(CallFault callFault, boolean hasAnswerFaults, int crowd) {}

  /** A system call that fails about once in a number of calls. */
  record CallFault(Call call, Failure failure, int oneIn) {}

  /** A kind of fault of a dispatcher, an engine or discovery. */
  enum FaultKind {
    /** SIGTERM to one dispatcher, which is started again after it has ended. */
    RESTART,
    /** SIGTERM to all dispatchers at once, which are started again after all have ended. */
    RESTART_ALL,
    /** A restart with a new configuration, and with SIGHUP just before and just after SIGTERM. */
    RESTART_BETWEEN_RELOADS,
    /** A restart while discovery sends nothing. */
    RESTART_IN_SILENCE,
    /** A restart while one engine does not answer. */
    RESTART_BESIDE_HANGING_ENGINE,
    /**
     * A restart in a series of signals: SIGTERM, SIGHUP, SIGTERM again, and a suspension during the
     * shutdown.
     */
    RESTART_IN_SIGNAL_SERIES,
    /** SIGTERM, and SIGKILL at the earliest time at which the platform may send it. */
    RESTART_KILLED_AT_EARLIEST,
    /** A suspension of one dispatcher by SIGSTOP and SIGCONT. */
    SUSPENSION,
    /** Steps of the wall clock, forward and back, by seconds and by an hour. */
    CLOCK_STEPS,
    /** Several new configurations, each followed by SIGHUP. */
    RELOADS,
    /** An engine resets all its connections. */
    ENGINE_RESET,
    /** An engine drains, and returns to service. */
    ENGINE_DRAIN
  }

  /**
   * One fault. Faults are injected one after the other.
   *
   * @param pauseMs the time without a fault before this one
   * @param target the index of the dispatcher or engine, to be taken modulo their number
   */
  record Fault(FaultKind kind, int pauseMs, int target) {}

  private static final int MAX_DISPATCHERS = 4;
  private static final int MAX_ENGINES = 4;
  private static final int FAULT_COUNT = 4;

  /**
   * About one run in three has departures. In the other runs each answer has to reach its client.
   */
  private static final int RUNS_PER_RUN_WITH_DEPARTURES = 3;

  /** Faults that cost a call a few milliseconds, and no request its answer. */
  private static final List<CallFault> MILD_CALL_FAULTS =
      List.of(
          new CallFault(Call.ACCEPT, Failure.ENFILE, 6),
          new CallFault(Call.ACCEPT, Failure.ECONNABORTED, 3),
          new CallFault(Call.ACCEPT, Failure.ENOBUFS, 6),
          new CallFault(Call.SOCKET, Failure.ENFILE, 4),
          new CallFault(Call.CONNECT, Failure.EADDRNOTAVAIL, 4),
          new CallFault(Call.CONNECT_RESULT, Failure.ENETUNREACH, 4),
          new CallFault(Call.WAIT, Failure.EINTR, 3),
          new CallFault(Call.READ, Failure.ONE_BYTE, 3),
          new CallFault(Call.WRITE, Failure.ONE_BYTE, 3));

  /** About one run in this many has each of the conditions. */
  private static final int RUNS_PER_CONDITION = 3;

  /** More idle connections than a dispatcher of the soak lets clients have. */
  private static final int CROWD = 230;

  private static Conditions generateConditions(SplittableRandom random) {
    CallFault callFault = MILD_CALL_FAULTS.get(random.nextInt(MILD_CALL_FAULTS.size()));
    boolean hasCallFault = random.nextInt(RUNS_PER_CONDITION) > 0;
    boolean hasAnswerFaults = random.nextInt(RUNS_PER_CONDITION) == 0;
    boolean hasCrowd = random.nextInt(RUNS_PER_CONDITION) == 0;
    return new Conditions(hasCallFault ? callFault : null, hasAnswerFaults, hasCrowd ? CROWD : 0);
  }

  static SoakPlan generate(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FaultKind[] kinds = FaultKind.values();
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < FAULT_COUNT; i++) {
      FaultKind kind = kinds[random.nextInt(kinds.length)];
      faults.add(new Fault(kind, 100 + random.nextInt(500), random.nextInt(12)));
    }
    int dispatchers = 1 + random.nextInt(MAX_DISPATCHERS);
    return new SoakPlan(
        seed,
        dispatchers,
        2 + random.nextInt(MAX_ENGINES - 1),
        dispatchers * (2 + random.nextInt(4)),
        10 + random.nextInt(50),
        500 + random.nextInt(1500),
        random.nextInt(RUNS_PER_RUN_WITH_DEPARTURES) == 0,
        List.copyOf(faults),
        generateConditions(random));
  }
}

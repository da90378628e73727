package cobaltseam.emulator;

import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.NextStep;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.TimeSpan;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One dispatcher around a policy: carries out what it says, as the service does on sockets, and
 * decides nothing.
 */
final class EmulatedDispatcher {
  /** Who waits for the final answer. */
  interface ResponseListener {
    void onFinalAnswer(InvariantChecker.FinalAnswer what, TimeSpan comeBack);

    /** Whether its client has left before it was taken. */
    boolean hasClientLeft();
  }

  /** A command in hand. */
  private static final class InFlightRequest {
    Request request;
    ResponseListener listener;
    EngineLink.Order order;
    int attempts;
    Attempt current;
  }

  /** One send without outcome. */
  static final class Attempt {
    InFlightRequest request;
    int number;
    int seen;
    EngineModel engine;
    EngineModel.Job job;
    long sentUs;
    Timeline.Entry timeout;
    boolean isOver;
  }

  private static final TimeSpan NOT_TOLD = new TimeSpan(-1);
  private static final int MOST_ASKED = 1_000_000;

  final int number;
  private final Timeline time;
  private final EngineLink link;
  private final InvariantChecker invariants;
  private final OutcomeCounts counts;
  private final Map<RequestId, InFlightRequest> inFlight = new HashMap<>();
  private Policy policy;
  private Timeline.Entry wake;
  private Timeline.Entry soon;
  private boolean standsStill;

  /** What came while it stood still. */
  private final Deque<Runnable> waiting = new ArrayDeque<>();

  /** Counts its lives; what belongs to an earlier one is passed over. */
  private int incarnation;

  EmulatedDispatcher(
      int number, Timeline time, EngineLink link, InvariantChecker referee, OutcomeCounts tally) {
    this.number = number;
    this.time = time;
    this.link = link;
    this.invariants = referee;
    this.counts = tally;
  }

  /** Starts, or starts anew with nothing. */
  void start(Policy with) {
    incarnation++;
    policy = with;
  }

  boolean isUp() {
    return policy != null;
  }

  boolean standsStill() {
    return standsStill;
  }

  void kill() {
    policy = null;
    incarnation++;
    Timeline.cancel(wake);
    Timeline.cancel(soon);
    wake = null;
    soon = null;
    waiting.clear();
    standsStill = false;
    for (InFlightRequest c : inFlight.values()) {
      if (c.current != null) {
        c.current.isOver = true;
        Timeline.cancel(c.current.timeout);
        // Its connections are reset: engines give up what is open on them.
        link.giveUp(this, c.current);
      }
    }
    inFlight.clear();
    invariants.killed(number);
  }

  void standStill(boolean now) {
    standsStill = now;
    if (!now) {
      while (!standsStill && !waiting.isEmpty()) {
        waiting.poll().run();
      }
    }
  }

  /** Something comes to it, now or when it goes on. */
  private void receive(Runnable what) {
    if (policy == null) {
      return;
    }
    int mine = incarnation;
    if (standsStill) {
      waiting.add(
          () -> {
            if (mine == incarnation) {
              what.run();
            }
          });
    } else {
      what.run();
    }
  }

  void updateEndpoints(List<EndpointStatus> list, boolean whole) {
    receive(
        () -> {
          list.forEach(l -> invariants.listed(number, l.engine(), l.state()));
          policy.updateEndpoints(list, whole, time.now());
          follow();
        });
  }

  /** Takes a command in. */
  void admit(Request command, EngineLink.Order order, String key, ResponseListener asker) {
    receive(
        () -> {
          if (asker.hasClientLeft()) {
            return;
          }
          InFlightRequest c = new InFlightRequest();
          c.request = command;
          c.listener = asker;
          c.order = order;
          inFlight.put(command.id(), c);
          counts.admitted++;
          invariants.taken(number, command.id(), order.profile(), key, command.deadline().us());
          carryOut(c, policy.place(command, time.now()));
          follow();
        });
  }

  /** Its client waits no longer. */
  void clientLeft(RequestId id) {
    InFlightRequest c = inFlight.get(id);
    if (c == null || c.listener == null) {
      return;
    }
    invariants.departed(number, id, standsStill || policy == null);
    c.listener = null;
    receive(
        () -> {
          policy.clientLeft(id, time.now());
          if (c.current != null) {
            giveUp(c.current, AttemptResult.CANCELLED);
          } else {
            inFlight.remove(id);
          }
          follow();
        });
  }

  private void carryOut(InFlightRequest c, Placement p) {
    if (c.listener == null) {
      return;
    }
    switch (p.decision()) {
      case SEND -> send(c, p);
      case SHED -> end(c, InvariantChecker.FinalAnswer.SHED, p.retryAfter());
      case FAIL -> end(c, InvariantChecker.FinalAnswer.FAILED, TimeSpan.ZERO);
      default -> {}
    }
  }

  private void end(InFlightRequest c, InvariantChecker.FinalAnswer what, TimeSpan comeBack) {
    ResponseListener asker = c.listener;
    c.listener = null;
    invariants.answered(number, c.request.id(), what);
    if (c.current == null) {
      inFlight.remove(c.request.id());
    }
    asker.onFinalAnswer(what, comeBack);
  }

  private void send(InFlightRequest c, Placement p) {
    Attempt out = new Attempt();
    out.request = c;
    out.number = c.attempts++;
    out.engine = link.engine(p.engine());
    out.sentUs = time.nowUs();
    out.seen = invariants.sent(number, c.request.id(), out.engine);
    counts.attempts++;
    counts.retries += out.number > 0 ? 1 : 0;
    c.current = out;
    out.timeout =
        time.at(
            out.sentUs + Math.max(1, p.attemptTimeout().us()),
            () -> receive(() -> giveUp(out, AttemptResult.TIMED_OUT)));
    link.send(this, out, c.order);
  }

  RequestId command(Attempt out) {
    return out.request.request.id();
  }

  /** What an engine, or the network, says of a send. */
  void completeAttempt(Attempt out, AttemptResult ending, double reportedInHand) {
    receive(() -> outcome(out, ending, reportedInHand));
  }

  void updateProgress(Attempt out, double share) {
    receive(
        () -> {
          if (!out.isOver) {
            policy.updateProgress(out.request.request.id(), out.number, share, time.now());
            follow();
          }
        });
  }

  private void giveUp(Attempt out, AttemptResult ending) {
    if (!out.isOver) {
      link.giveUp(this, out);
      outcome(out, ending, -1);
    }
  }

  private void outcome(Attempt out, AttemptResult ending, double reportedInHand) {
    if (out.isOver) {
      return;
    }
    out.isOver = true;
    Timeline.cancel(out.timeout);
    InFlightRequest c = out.request;
    c.current = null;
    invariants.outcome(number, c.request.id(), out.seen, ending);
    ResponseListener answered = ending == AttemptResult.COMPLETED ? c.listener : null;
    boolean over = ending == AttemptResult.COMPLETED || c.listener == null;
    AttemptOutcome outcome =
        new AttemptOutcome(
            c.request.id(),
            out.number,
            out.engine.id,
            ending,
            new TimeSpan(time.nowUs() - out.sentUs),
            over,
            NOT_TOLD,
            -1,
            reportedInHand < 0 ? -1 : 0,
            reportedInHand);
    if (answered != null) {
      end(c, InvariantChecker.FinalAnswer.ANSWERED, TimeSpan.ZERO);
    }
    carryOut(c, policy.completeAttempt(outcome, time.now()));
    if (c.listener == null) {
      inFlight.remove(c.request.id());
    }
    follow();
  }

  /** Follows the policy once all that comes at this moment is heard. */
  private void follow() {
    if (soon == null) {
      int mine = incarnation;
      soon =
          time.at(
              time.nowUs(),
              () -> {
                soon = null;
                if (mine == incarnation) {
                  followed();
                }
              });
    }
  }

  private void followed() {
    if (standsStill) {
      waiting.add(this::followed);
      return;
    }
    Timeline.cancel(wake);
    wake = null;
    for (int asked = 0; asked < MOST_ASKED; asked++) {
      NextStep pause = policy.next(time.now());
      if (pause.delay() == null) {
        return;
      }
      if (pause.delay().isPositive()) {
        int mine = incarnation;
        wake =
            time.after(
                pause.delay(),
                () -> {
                  if (mine == incarnation) {
                    followed();
                  }
                });
        return;
      }
      InFlightRequest c = pause.request() == null ? null : inFlight.get(pause.request().id());
      if (pause.request() != null && c == null) {
        policy.clientLeft(pause.request().id(), time.now());
      } else if (pause.cancelAttempt() >= 0) {
        if (c.current != null && c.current.number == pause.cancelAttempt()) {
          giveUp(c.current, AttemptResult.CANCELLED);
        }
      } else if (c != null) {
        carryOut(c, policy.place(pause.request(), time.now()));
      }
    }
    throw new IllegalStateException("the policy names the same thing without end");
  }
}

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
    for (InFlightRequest inFlightRequest : inFlight.values()) {
      if (inFlightRequest.current != null) {
        inFlightRequest.current.isOver = true;
        Timeline.cancel(inFlightRequest.current.timeout);
        // Its connections are reset: engines give up what is open on them.
        link.giveUp(this, inFlightRequest.current);
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
          InFlightRequest inFlightRequest = new InFlightRequest();
          inFlightRequest.request = command;
          inFlightRequest.listener = asker;
          inFlightRequest.order = order;
          inFlight.put(command.id(), inFlightRequest);
          counts.admitted++;
          invariants.taken(number, command.id(), order.profile(), key, command.deadline().us());
          carryOut(inFlightRequest, policy.place(command, time.now()));
          follow();
        });
  }

  /** Its client waits no longer. */
  void clientLeft(RequestId id) {
    InFlightRequest inFlightRequest = inFlight.get(id);
    if (inFlightRequest == null || inFlightRequest.listener == null) {
      return;
    }
    invariants.departed(number, id, standsStill || policy == null);
    inFlightRequest.listener = null;
    receive(
        () -> {
          policy.clientLeft(id, time.now());
          if (inFlightRequest.current != null) {
            giveUp(inFlightRequest.current, AttemptResult.CANCELLED);
          } else {
            inFlight.remove(id);
          }
          follow();
        });
  }

  private void carryOut(InFlightRequest inFlightRequest, Placement placement) {
    if (inFlightRequest.listener == null) {
      return;
    }
    switch (placement.decision()) {
      case SEND -> send(inFlightRequest, placement);
      case SHED -> end(inFlightRequest, InvariantChecker.FinalAnswer.SHED, placement.retryAfter());
      case FAIL -> end(inFlightRequest, InvariantChecker.FinalAnswer.FAILED, TimeSpan.ZERO);
      default -> {}
    }
  }

  private void end(
      InFlightRequest inFlightRequest, InvariantChecker.FinalAnswer what, TimeSpan comeBack) {
    ResponseListener asker = inFlightRequest.listener;
    inFlightRequest.listener = null;
    invariants.answered(number, inFlightRequest.request.id(), what);
    if (inFlightRequest.current == null) {
      inFlight.remove(inFlightRequest.request.id());
    }
    asker.onFinalAnswer(what, comeBack);
  }

  private void send(InFlightRequest inFlightRequest, Placement placement) {
    Attempt out = new Attempt();
    out.request = inFlightRequest;
    out.number = inFlightRequest.attempts++;
    out.engine = link.engine(placement.engine());
    out.sentUs = time.nowUs();
    out.seen = invariants.sent(number, inFlightRequest.request.id(), out.engine);
    counts.attempts++;
    counts.retries += out.number > 0 ? 1 : 0;
    inFlightRequest.current = out;
    out.timeout =
        time.at(
            out.sentUs + Math.max(1, placement.attemptTimeout().us()),
            () -> receive(() -> giveUp(out, AttemptResult.TIMED_OUT)));
    link.send(this, out, inFlightRequest.order);
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
    InFlightRequest inFlightRequest = out.request;
    inFlightRequest.current = null;
    invariants.outcome(number, inFlightRequest.request.id(), out.seen, ending);
    ResponseListener answered = ending == AttemptResult.COMPLETED ? inFlightRequest.listener : null;
    boolean over = ending == AttemptResult.COMPLETED || inFlightRequest.listener == null;
    AttemptOutcome outcome =
        new AttemptOutcome(
            inFlightRequest.request.id(),
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
      end(inFlightRequest, InvariantChecker.FinalAnswer.ANSWERED, TimeSpan.ZERO);
    }
    carryOut(inFlightRequest, policy.completeAttempt(outcome, time.now()));
    if (inFlightRequest.listener == null) {
      inFlight.remove(inFlightRequest.request.id());
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
      InFlightRequest inFlightRequest =
          pause.request() == null ? null : inFlight.get(pause.request().id());
      if (pause.request() != null && inFlightRequest == null) {
        policy.clientLeft(pause.request().id(), time.now());
      } else if (pause.cancelAttempt() >= 0) {
        if (inFlightRequest.current != null
            && inFlightRequest.current.number == pause.cancelAttempt()) {
          giveUp(inFlightRequest.current, AttemptResult.CANCELLED);
        }
      } else if (inFlightRequest != null) {
        carryOut(inFlightRequest, policy.place(pause.request(), time.now()));
      }
    }
    throw new IllegalStateException("the policy names the same thing without end");
  }
}

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
  interface Asker {
    void told(InvariantChecker.Final what, TimeSpan comeBack);

    /** Whether its client has left before it was taken. */
    boolean gone();
  }

  /** A command in hand. */
  private static final class InHand {
    Request command;
    Asker asker;
    EngineLink.Order order;
    int sends;
    Out out;
  }

  /** One send without outcome. */
  static final class Out {
    InHand of;
    int number;
    int seen;
    EngineModel engine;
    EngineModel.Job job;
    long sentUs;
    Timeline.Entry timeout;
    boolean over;
  }

  private static final TimeSpan NOT_TOLD = new TimeSpan(-1);
  private static final int MOST_ASKED = 1_000_000;

  final int number;
  private final Timeline time;
  private final EngineLink link;
  private final InvariantChecker referee;
  private final OutcomeCounts tally;
  private final Map<RequestId, InHand> inHand = new HashMap<>();
  private Policy policy;
  private Timeline.Entry wake;
  private Timeline.Entry soon;
  private boolean standsStill;

  /** What came while it stood still. */
  private final Deque<Runnable> waiting = new ArrayDeque<>();

  /** Counts its lives; what belongs to an earlier one is passed over. */
  private int life;

  EmulatedDispatcher(
      int number, Timeline time, EngineLink link, InvariantChecker referee, OutcomeCounts tally) {
    this.number = number;
    this.time = time;
    this.link = link;
    this.referee = referee;
    this.tally = tally;
  }

  /** Starts, or starts anew with nothing. */
  void start(Policy with) {
    life++;
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
    life++;
    Timeline.cancel(wake);
    Timeline.cancel(soon);
    wake = null;
    soon = null;
    waiting.clear();
    standsStill = false;
    for (InHand c : inHand.values()) {
      if (c.out != null) {
        c.out.over = true;
        Timeline.cancel(c.out.timeout);
        // Its connections are reset: engines give up what is open on them.
        link.giveUp(this, c.out);
      }
    }
    inHand.clear();
    referee.killed(number);
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
  private void hear(Runnable what) {
    if (policy == null) {
      return;
    }
    int mine = life;
    if (standsStill) {
      waiting.add(
          () -> {
            if (mine == life) {
              what.run();
            }
          });
    } else {
      what.run();
    }
  }

  void listed(List<EndpointStatus> list, boolean whole) {
    hear(
        () -> {
          list.forEach(l -> referee.listed(number, l.engine(), l.state()));
          policy.listed(list, whole, time.now());
          follow();
        });
  }

  /** Takes a command in. */
  void take(Request command, EngineLink.Order order, String key, Asker asker) {
    hear(
        () -> {
          if (asker.gone()) {
            return;
          }
          InHand c = new InHand();
          c.command = command;
          c.asker = asker;
          c.order = order;
          inHand.put(command.id(), c);
          tally.taken++;
          referee.taken(number, command.id(), order.profile(), key, command.deadline().us());
          carryOut(c, policy.place(command, time.now()));
          follow();
        });
  }

  /** Its client waits no longer. */
  void departed(RequestId id) {
    InHand c = inHand.get(id);
    if (c == null || c.asker == null) {
      return;
    }
    referee.departed(number, id, standsStill || policy == null);
    c.asker = null;
    hear(
        () -> {
          policy.departed(id, time.now());
          if (c.out != null) {
            giveUp(c.out, AttemptResult.CANCELLED);
          } else {
            inHand.remove(id);
          }
          follow();
        });
  }

  private void carryOut(InHand c, Placement p) {
    if (c.asker == null) {
      return;
    }
    switch (p.decision()) {
      case SEND -> send(c, p);
      case SHED -> end(c, InvariantChecker.Final.SHED, p.retryAfter());
      case FAIL -> end(c, InvariantChecker.Final.FAILED, TimeSpan.ZERO);
      default -> {}
    }
  }

  private void end(InHand c, InvariantChecker.Final what, TimeSpan comeBack) {
    Asker asker = c.asker;
    c.asker = null;
    referee.answered(number, c.command.id(), what);
    if (c.out == null) {
      inHand.remove(c.command.id());
    }
    asker.told(what, comeBack);
  }

  private void send(InHand c, Placement p) {
    Out out = new Out();
    out.of = c;
    out.number = c.sends++;
    out.engine = link.engine(p.engine());
    out.sentUs = time.nowUs();
    out.seen = referee.sent(number, c.command.id(), out.engine);
    tally.sends++;
    tally.further += out.number > 0 ? 1 : 0;
    c.out = out;
    out.timeout =
        time.at(
            out.sentUs + Math.max(1, p.attemptTimeout().us()),
            () -> hear(() -> giveUp(out, AttemptResult.TIMED_OUT)));
    link.send(this, out, c.order);
  }

  RequestId command(Out out) {
    return out.of.command.id();
  }

  /** What an engine, or the network, says of a send. */
  void ended(Out out, AttemptResult ending, double reportedInHand) {
    hear(() -> outcome(out, ending, reportedInHand));
  }

  void progressed(Out out, double share) {
    hear(
        () -> {
          if (!out.over) {
            policy.progressed(out.of.command.id(), out.number, share, time.now());
            follow();
          }
        });
  }

  private void giveUp(Out out, AttemptResult ending) {
    if (!out.over) {
      link.giveUp(this, out);
      outcome(out, ending, -1);
    }
  }

  private void outcome(Out out, AttemptResult ending, double reportedInHand) {
    if (out.over) {
      return;
    }
    out.over = true;
    Timeline.cancel(out.timeout);
    InHand c = out.of;
    c.out = null;
    referee.outcome(number, c.command.id(), out.seen, ending);
    Asker answered = ending == AttemptResult.COMPLETED ? c.asker : null;
    boolean over = ending == AttemptResult.COMPLETED || c.asker == null;
    AttemptOutcome outcome =
        new AttemptOutcome(
            c.command.id(),
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
      end(c, InvariantChecker.Final.ANSWERED, TimeSpan.ZERO);
    }
    carryOut(c, policy.after(outcome, time.now()));
    if (c.asker == null) {
      inHand.remove(c.command.id());
    }
    follow();
  }

  /** Follows the policy once all that comes at this moment is heard. */
  private void follow() {
    if (soon == null) {
      int mine = life;
      soon =
          time.at(
              time.nowUs(),
              () -> {
                soon = null;
                if (mine == life) {
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
      NextStep pause = policy.pause(time.now());
      if (pause.delay() == null) {
        return;
      }
      if (pause.delay().isPositive()) {
        int mine = life;
        wake =
            time.after(
                pause.delay(),
                () -> {
                  if (mine == life) {
                    followed();
                  }
                });
        return;
      }
      InHand c = pause.request() == null ? null : inHand.get(pause.request().id());
      if (pause.request() != null && c == null) {
        policy.departed(pause.request().id(), time.now());
      } else if (pause.cancelAttempt() >= 0) {
        if (c.out != null && c.out.number == pause.cancelAttempt()) {
          giveUp(c.out, AttemptResult.CANCELLED);
        }
      } else if (c != null) {
        carryOut(c, policy.place(pause.request(), time.now()));
      }
    }
    throw new IllegalStateException("the policy names the same thing without end");
  }
}

package cobaltseam.dispatch;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.MachineType;
import cobaltseam.dispatch.Deployment.Quota;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Drives one dispatcher as an adapter would and keeps what it said; the helper of all tests. */
final class World {
  /** One send without outcome. */
  record Out(
      Request command,
      int number,
      EngineId engine,
      Timestamp at,
      TimeSpan timeout,
      Placement how) {}

  static final TimeSpan TICK = new TimeSpan(5_000);
  static final Rules RULES =
      new Rules(
          0.3,
          new TimeSpan(15_000_000),
          2,
          new TimeSpan(3_000_000),
          new TimeSpan(400_000),
          null,
          null,
          null);
  static final Capabilities MEANS =
      new Capabilities(TICK, 4, true, false, true, new TimeSpan(500_000), new TimeSpan(200_000));

  final Dispatcher dispatcher;
  Timestamp now = new Timestamp(1_000_000);
  final Map<RequestId, Out> out = new LinkedHashMap<>();
  final Map<RequestId, Placement> finals = new LinkedHashMap<>();
  final List<Out> sends = new ArrayList<>();
  final List<RequestId> callOffs = new ArrayList<>();
  TimeSpan wait;

  /** Told of each send and each final answer as it is said. */
  Consumer<Out> onSend = out -> {};

  Consumer<RequestId> onFinal = id -> {};
  private int ids;
  double memoryMb = 100;
  double inHand = -1;

  World(Deployment told, long seed) {
    dispatcher = new Dispatcher(told, seed);
  }

  static Deployment deployment(
      int number, int dispatchers, Rules rules, Capabilities means, RequestClass... profiles) {
    return new Deployment(
        number,
        dispatchers,
        List.of(profiles),
        List.of(
            new MachineType(new MachineTypeId("k8"), 8, 16_384),
            new MachineType(new MachineTypeId("k4"), 4, 0)),
        List.of(new Quota(new TenantId("a"), 60), new Quota(new TenantId("b"), 20)),
        0.05,
        rules,
        means);
  }

  /** A replayable profile on some threads with a latency target of a second. */
  static RequestClass profile(String name, int threads) {
    return profile(
        name, threads, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, false, null, null);
  }

  static RequestClass profile(
      String name,
      int threads,
      RetrySafety repeat,
      DeduplicationScope scope,
      boolean inOrder,
      List<LocationId> locations,
      List<MachineTypeId> kinds) {
    return new RequestClass(
        new RequestClassId(name),
        threads,
        1,
        0,
        new TimeSpan(1_000_000),
        2,
        new TimeSpan(5_000_000),
        repeat,
        scope,
        new TimeSpan(200_000),
        inOrder,
        locations,
        kinds);
  }

  static EndpointStatus up(long engine) {
    return listing(engine, EndpointState.UP, 0);
  }

  static EndpointStatus listing(long engine, EndpointState standing, long started) {
    return new EndpointStatus(
        new EngineId(engine),
        new LocationId("l" + engine % 3),
        new MachineTypeId(engine % 4 == 3 ? "k4" : "k8"),
        new GroupId(engine % 2),
        standing,
        new Timestamp(started));
  }

  void list(boolean whole, EndpointStatus... lines) {
    dispatcher.updateEndpoints(List.of(lines), whole, now);
    follow();
  }

  Request command(String profile, String key, long workUs) {
    return new Request(
        new RequestId("c" + ids++),
        new RequestClassId(profile),
        new TenantId(ids % 4 == 0 ? "b" : "a"),
        key == null ? null : new SequenceKey(key),
        now.plus(new TimeSpan(4_500_000)),
        new TimeSpan(workUs),
        null,
        memoryMb);
  }

  /** A new command of a profile, taken now. */
  Request take(String profile, long workUs) {
    Request command = command(profile, null, workUs);
    take(command);
    return command;
  }

  void take(Request command) {
    note(command, dispatcher.place(command, now));
    follow();
  }

  Placement end(Out send, AttemptResult ending, boolean over) {
    out.remove(send.command().id());
    Placement said =
        dispatcher.completeAttempt(
            new AttemptOutcome(
                send.command().id(),
                send.number(),
                send.engine(),
                ending,
                now.since(send.at()),
                over,
                new TimeSpan(-1),
                -1,
                -1,
                inHand),
            now);
    note(send.command(), said);
    follow();
    return said;
  }

  /** Lets time pass in ticks, asking the dispatcher whenever its pause is over. */
  void pass(TimeSpan span) {
    Timestamp end = now.plus(span);
    while (now.isBefore(end)) {
      TimeSpan step = end.since(now).min(wait == null ? end.since(now) : wait);
      now = now.plus(new TimeSpan((step.us() + TICK.us() - 1) / TICK.us() * TICK.us()));
      follow();
    }
  }

  void follow() {
    for (int asked = 0; ; asked++) {
      if (asked > 100_000) {
        throw new AssertionError("pause names the same thing without end");
      }
      NextStep pause = dispatcher.next(now);
      wait = pause.delay();
      if (wait == null || wait.isPositive()) {
        return;
      }
      if (pause.cancelAttempt() >= 0) {
        callOffs.add(pause.request().id());
      } else {
        note(pause.request(), dispatcher.place(pause.request(), now));
      }
    }
  }

  private void note(Request command, Placement said) {
    switch (said.decision()) {
      case SEND -> {
        int number =
            (int) sends.stream().filter(s -> s.command().id().equals(command.id())).count();
        Out send = new Out(command, number, said.engine(), now, said.attemptTimeout(), said);
        if (out.put(command.id(), send) != null) {
          throw new AssertionError("two sends at once for " + command.id());
        }
        sends.add(send);
        onSend.accept(send);
      }
      case SHED, FAIL -> {
        if (finals.put(command.id(), said) != null) {
          throw new AssertionError("two final answers for " + command.id());
        }
        onFinal.accept(command.id());
      }
      default -> {}
    }
  }
}

package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.Kind;
import cobaltseam.dispatch.Deployment.Means;
import cobaltseam.dispatch.Deployment.Profile;
import cobaltseam.dispatch.Deployment.Repeat;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.Deployment.Scope;
import cobaltseam.dispatch.Deployment.Share;
import cobaltseam.dispatch.Listing.Standing;
import cobaltseam.dispatch.Outcome.Ending;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Drives one dispatcher as an adapter would and keeps what it said; the helper of all tests. */
final class World {
  /** One send without outcome. */
  record Out(
      Command command, int number, EngineId engine, Moment at, Span timeout, Placement how) {}

  static final Span TICK = new Span(5_000);
  static final Rules RULES =
      new Rules(
          0.3, new Span(15_000_000), 2, new Span(3_000_000), new Span(400_000), null, null, null);
  static final Means MEANS =
      new Means(TICK, 4, true, false, true, new Span(500_000), new Span(200_000));

  final Dispatcher dispatcher;
  Moment now = new Moment(1_000_000);
  final Map<CommandId, Out> out = new LinkedHashMap<>();
  final Map<CommandId, Placement> finals = new LinkedHashMap<>();
  final List<Out> sends = new ArrayList<>();
  final List<CommandId> callOffs = new ArrayList<>();
  Span wait;

  /** Told of each send and each final answer as it is said. */
  Consumer<Out> onSend = out -> {};

  Consumer<CommandId> onFinal = id -> {};
  private int ids;
  double memoryMb = 100;
  double inHand = -1;

  World(Deployment told, long seed) {
    dispatcher = new Dispatcher(told, seed);
  }

  static Deployment deployment(
      int number, int dispatchers, Rules rules, Means means, Profile... profiles) {
    return new Deployment(
        number,
        dispatchers,
        List.of(profiles),
        List.of(new Kind(new KindId("k8"), 8, 16_384), new Kind(new KindId("k4"), 4, 0)),
        List.of(new Share(new ShareId("a"), 60), new Share(new ShareId("b"), 20)),
        0.05,
        rules,
        means);
  }

  /** A replayable profile on some threads with a latency target of a second. */
  static Profile profile(String name, int threads) {
    return profile(name, threads, Repeat.REPLAYABLE, Scope.ALL, false, null, null);
  }

  static Profile profile(
      String name,
      int threads,
      Repeat repeat,
      Scope scope,
      boolean inOrder,
      List<LocationId> locations,
      List<KindId> kinds) {
    return new Profile(
        new ProfileId(name),
        threads,
        1,
        0,
        new Span(1_000_000),
        2,
        new Span(5_000_000),
        repeat,
        scope,
        new Span(200_000),
        inOrder,
        locations,
        kinds);
  }

  static Listing up(long engine) {
    return listing(engine, Standing.UP, 0);
  }

  static Listing listing(long engine, Standing standing, long started) {
    return new Listing(
        new EngineId(engine),
        new LocationId("l" + engine % 3),
        new KindId(engine % 4 == 3 ? "k4" : "k8"),
        new GroupId(engine % 2),
        standing,
        new Moment(started));
  }

  void list(boolean whole, Listing... lines) {
    dispatcher.listed(List.of(lines), whole, now);
    follow();
  }

  Command command(String profile, String key, long workUs) {
    return new Command(
        new CommandId("c" + ids++),
        new ProfileId(profile),
        new ShareId(ids % 4 == 0 ? "b" : "a"),
        key == null ? null : new OrderKey(key),
        now.plus(new Span(4_500_000)),
        new Span(workUs),
        null,
        memoryMb);
  }

  /** A new command of a profile, taken now. */
  Command take(String profile, long workUs) {
    Command command = command(profile, null, workUs);
    take(command);
    return command;
  }

  void take(Command command) {
    note(command, dispatcher.place(command, now));
    follow();
  }

  Placement end(Out send, Ending ending, boolean over) {
    out.remove(send.command().id());
    Placement said =
        dispatcher.after(
            new Outcome(
                send.command().id(),
                send.number(),
                send.engine(),
                ending,
                now.since(send.at()),
                over,
                new Span(-1),
                -1,
                -1,
                inHand),
            now);
    note(send.command(), said);
    follow();
    return said;
  }

  /** Lets time pass in ticks, asking the dispatcher whenever its pause is over. */
  void pass(Span span) {
    Moment end = now.plus(span);
    while (now.before(end)) {
      Span step = end.since(now).min(wait == null ? end.since(now) : wait);
      now = now.plus(new Span((step.us() + TICK.us() - 1) / TICK.us() * TICK.us()));
      follow();
    }
  }

  void follow() {
    for (int asked = 0; ; asked++) {
      if (asked > 100_000) {
        throw new AssertionError("pause names the same thing without end");
      }
      Pause pause = dispatcher.pause(now);
      wait = pause.span();
      if (wait == null || wait.isPositive()) {
        return;
      }
      if (pause.callOff() >= 0) {
        callOffs.add(pause.command().id());
      } else {
        note(pause.command(), dispatcher.place(pause.command(), now));
      }
    }
  }

  private void note(Command command, Placement said) {
    switch (said.verdict()) {
      case SEND -> {
        int number =
            (int) sends.stream().filter(s -> s.command().id().equals(command.id())).count();
        Out send = new Out(command, number, said.engine(), now, said.sendTimeout(), said);
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

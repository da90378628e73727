package cobaltseam.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.RequestClass;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What deployments with loads that hold data sets, told spills and rough estimates need. */
class MoreTest {
  private static final long WORK = 100_000;
  private static final Capabilities NOTES =
      new Capabilities(
          World.TICK, 5, true, true, true, new TimeSpan(500_000), new TimeSpan(1_000_000), true);

  private static World world(Capabilities means, int dispatchers, long... engines) {
    RequestClass p = World.profile("p", 1);
    World w = new World(World.deployment(0, dispatchers, World.RULES, means, p), 7);
    w.list(
        true, java.util.Arrays.stream(engines).mapToObj(World::up).toArray(EndpointStatus[]::new));
    return w;
  }

  private static World.Out sendOne(World w) {
    w.take("p", WORK);
    return w.sends.get(w.sends.size() - 1);
  }

  /**
   * Commands whose need is twice the estimate: short of their grant they spill, and no answer tells
   * the need.
   */
  private static double grantAfter(World w, int commands) {
    double needMb = 2 * w.memoryMb;
    double grant = 0;
    for (int i = 0; i < commands; i++) {
      World.Out o = sendOne(w);
      grant = o.how().memoryGrantMb();
      double granted = grant > 0 ? grant : w.memoryMb;
      if (granted < needMb) {
        w.dispatcher.updateMemoryShortfall(o.command().id(), o.number(), needMb - granted);
      }
      w.pass(new TimeSpan(100_000));
      w.end(o, AttemptResult.COMPLETED, true);
    }
    return grant;
  }

  @Test
  void grantsFollowTheNotesOfSpillsWhereAnswersTellNoNeed() {
    World w = world(NOTES, 1, 1, 2);
    double grant = grantAfter(w, 60);
    assertTrue(grant >= 1.7 * w.memoryMb && grant <= 2.6 * w.memoryMb, "grant " + grant);
  }

  @Test
  void whereGrantsAreNotHeededNoneIsLearntFromSpills() {
    World w =
        world(
            new Capabilities(
                World.TICK,
                5,
                true,
                true,
                true,
                new TimeSpan(500_000),
                new TimeSpan(1_000_000),
                false),
            1,
            1,
            2);
    assertEquals(0, grantAfter(w, 60), "the engine alone sets grants");
  }

  @Test
  void aSendThatStandsBehindALoadIsCalledOffForAnotherEngine() {
    World w = world(NOTES, 1, 1, 2);
    World.Out o = sendOne(w);
    w.dispatcher.markBlocked(o.command().id(), o.number(), w.now);
    w.follow();
    assertEquals(List.of(o.command().id()), w.callOffs, "called off at once");
    w.end(o, AttemptResult.CANCELLED, false);
    World.Out next = w.sends.get(w.sends.size() - 1);
    assertEquals(o.command().id(), next.command().id());
    assertNotEquals(o.engine(), next.engine(), "not behind the same load again");
  }

  @Test
  void aCommandBehindLoadsEverywhereDoesNotSpendItsSendsInTurn() {
    // Two engines hold what it reads: going to and fro between them took five sends within
    // milliseconds.
    World w = world(NOTES, 1, 1, 2);
    World.Out o = sendOne(w);
    for (int i = 0; i < 4; i++) {
      World.Out out = w.out.get(o.command().id());
      w.dispatcher.markBlocked(out.command().id(), out.number(), w.now);
      w.follow();
      if (w.callOffs.remove(out.command().id())) {
        w.end(out, AttemptResult.CANCELLED, false);
      }
      w.pass(World.TICK);
    }
    assertEquals(2, w.sends.size(), "one send to each, and the second stays");
  }

  @Test
  void ofEnginesWithAsMuchLeftOneAtHomeGoesFirst() {
    Deployment told = World.deployment(1, 1, World.RULES, NOTES, World.profile("p", 1));
    Deployment at =
        new Deployment(
            told.dispatcherIndex(),
            told.dispatcherCount(),
            told.requestClasses(),
            told.machineTypes(),
            told.quotas(),
            told.overQuotaWeight(),
            told.rules(),
            told.capabilities(),
            new Deployment.Place(new LocationId("l1"), true));
    World w = new World(at, 7);
    w.list(true, World.up(1), World.up(2), World.up(4), World.up(5));
    for (int i = 0; i < 2; i++) {
      World.Out o = sendOne(w);
      assertEquals(1, o.engine().value() % 3, "engines 1 and 4 stand at l1: " + o.engine());
    }
  }

  @Test
  void whatMustNotRunTwiceStaysBehindALoad() {
    // It has no call-off that could be brought forward: asking for one ended the dispatcher.
    RequestClass once =
        World.profile(
            "p",
            1,
            Deployment.RetrySafety.NOT_IDEMPOTENT,
            Deployment.DeduplicationScope.ALL,
            false,
            null,
            null);
    World w = new World(World.deployment(0, 1, World.RULES, NOTES, once), 7);
    w.list(true, World.up(1), World.up(2));
    sendOne(w);
    World.Out second = sendOne(w);
    w.dispatcher.markBlocked(second.command().id(), second.number(), w.now);
    w.dispatcher.updateProgress(second.command().id(), second.number(), 0.5, w.now);
    w.follow();
    assertTrue(w.callOffs.isEmpty());
  }

  @Test
  void aSendBehindALoadStaysWhereThereIsNoOtherEngine() {
    World w = world(NOTES, 1, 1);
    World.Out o = sendOne(w);
    w.dispatcher.markBlocked(o.command().id(), o.number(), w.now);
    w.follow();
    assertTrue(w.callOffs.isEmpty(), "the only engine: the load ends sooner or later");
  }

  @Test
  void estimatesFarTooLowAreNoOverloadWhileReportsTellOfRoom() {
    assertEquals(
        0, shedWhereAllTakesFourTimesItsEstimate(0.2), "room on every engine: nothing is too dear");
    int shed = shedWhereAllTakesFourTimesItsEstimate(30);
    assertTrue(shed > 20, shed + " sheds: the same answers from full engines are overload");
  }

  /** Sheds among the later commands of a day on which engines report this many in hand. */
  private static int shedWhereAllTakesFourTimesItsEstimate(double inHand) {
    World w = world(NOTES, 1, 1, 2, 4);
    w.inHand = inHand;
    SplittableRandom r = new SplittableRandom(3);
    int before = 0;
    for (int i = 0; i < 200; i++) {
      before = i == 100 ? w.finals.size() : before;
      int sent = w.sends.size();
      w.take("p", WORK);
      if (w.sends.size() > sent) {
        World.Out o = w.sends.get(sent);
        w.pass(new TimeSpan(4 * WORK - r.nextLong(WORK / 4)));
        w.end(o, AttemptResult.COMPLETED, true);
      }
    }
    return w.finals.size() - before;
  }

  /**
   * Of a hundred commands that come while answers take three times the usual, how many are shed as
   * they come.
   */
  private static long shedAtOnce(boolean failing) {
    World w = world(NOTES, 1, 1, 2, 5, 6);
    w.inHand = 1;
    for (int i = 0; i < 60; i++) {
      World.Out o = sendOne(w);
      w.pass(new TimeSpan(WORK));
      w.end(o, AttemptResult.COMPLETED, true);
    }
    long before = 0;
    for (int i = 0; i < 100; i++) {
      int sent = w.sends.size();
      long shed = w.finals.size();
      Request c = w.take("p", WORK);
      before += w.finals.size() - shed;
      if (w.sends.size() == sent) {
        continue;
      }
      boolean fails = failing && i % 4 != 0;
      w.pass(new TimeSpan(fails ? WORK / 10 : 3 * WORK));
      if (w.out.containsKey(c.id())) {
        w.end(w.out.get(c.id()), fails ? AttemptResult.ERROR : AttemptResult.COMPLETED, true);
      }
    }
    return before;
  }

  @Test
  void whatFailsTellsOfNoRoomThoughTheFewAnswersDo() {
    // Reports come with answers alone. Before, a pool of which most did not answer looked empty by
    // the rest, and nothing was shed.
    long alone = shedAtOnce(false);
    long beside = shedAtOnce(true);
    assertEquals(0, alone, "slow, but all engines tell of room");
    assertTrue(beside > 0, "slow, and most of all fails");
  }
}

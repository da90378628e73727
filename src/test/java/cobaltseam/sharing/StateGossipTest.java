package cobaltseam.sharing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.MemberName;
import cobaltseam.sharing.StateGossip.OutgoingMessage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What members know of each other, in virtual time over a network that loses, delays, doubles and
 * reorders.
 */
class StateGossipTest {
  private static final TimeSpan SECOND = new TimeSpan(1_000_000);
  private static final GossipOptions TERMS =
      new GossipOptions(SECOND, 3, SECOND.times(15), 1200, 0.001);
  private static final String OUT = "out";

  private record Flight(long at, int order, MemberName to, SharingMessage message) {}

  /**
   * One process: its module, and its clock, which runs at a rate of its own from a moment of its
   * own.
   */
  private static final class Process {
    final MemberName name;
    final Incarnation birth;
    final long begun;
    final double rate;
    final StateGossip module;
    long said;
    final Map<MemberName, FiguresVersion> newest = new HashMap<>();

    Process(MemberName name, Incarnation birth, long at, double rate, SplittableRandom seeds) {
      this.name = name;
      this.birth = birth;
      begun = at;
      this.rate = rate;
      module =
          new StateGossip(name, birth, TERMS, new SplittableRandom(seeds.nextLong()), clock(at));
    }

    Timestamp clock(long at) {
      return new Timestamp(Math.round(7_000_000 + (at - begun) * rate));
    }
  }

  private final Map<MemberName, Process> running = new TreeMap<>();
  private final Set<MemberName> view = new TreeSet<>();
  private final Map<MemberName, Long> silentUntil = new HashMap<>();
  private final PriorityQueue<Flight> air =
      new PriorityQueue<>(Comparator.comparingLong(Flight::at).thenComparingInt(Flight::order));

  /**
   * Until when, in true time, each member last stood by each figure: at every true moment it runs,
   * by its newest.
   */
  private final Map<MemberName, TreeMap<Long, Long>> stoodBy = new HashMap<>();

  private SplittableRandom random = new SplittableRandom(1);
  private long now = 1_000_000;
  private int order;
  private double loss;
  private double doubled;
  private long longest = 2_000;

  private static MemberName name(int index) {
    return new MemberName("d" + index);
  }

  private Process start(int index, long birth, double rate) {
    Process process = new Process(name(index), new Incarnation(birth), now, rate, random);
    running.put(process.name, process);
    view.add(process.name);
    running.values().forEach(other -> other.module.setView(view));
    return process;
  }

  /** What is said is told apart by its value: no two statements of all say the same. */
  private void say(Process process) {
    long value = now * 1000 + running.size() + process.said++ % 7;
    process.module.setOwnFigures(new MemberFigures(Map.of(OUT, value)));
    stoodBy.computeIfAbsent(process.name, figures -> new TreeMap<>()).put(value, now);
    process.said = value;
  }

  private void carry(List<OutgoingMessage> sends) {
    for (OutgoingMessage s : sends) {
      for (int copies = random.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
        if (random.nextDouble() >= loss) {
          air.add(new Flight(now + 1 + random.nextLong(longest), order++, s.to(), s.message()));
        }
      }
    }
  }

  private void pass(long us) {
    for (long end = now + us; now < end; now += 20_000) {
      for (Process process : running.values()) {
        if (process.said > 0) {
          stoodBy.get(process.name).put(process.said, now);
        }
        if (silentUntil.getOrDefault(process.name, 0L) <= now) {
          carry(process.module.runRound(process.clock(now)));
        }
      }
      while (!air.isEmpty() && air.peek().at() <= now) {
        Flight flight = air.remove();
        Process process = running.get(flight.to());
        if (process != null && silentUntil.getOrDefault(process.name, 0L) <= now) {
          carry(process.module.receive(flight.message(), process.clock(now)));
        }
      }
    }
  }

  /**
   * Every figure known anywhere was said by its member, who stood by it no longer ago than its age
   * says.
   */
  private int check() {
    int known = 0;
    for (Process process : running.values()) {
      for (MemberName of : view) {
        KnownFigures figures =
            of.equals(process.name) ? null : process.module.figuresOf(of, process.clock(now));
        if (figures == null) {
          // Once forgotten, a process started anew under its birth may begin below its former
          // number.
          process.newest.remove(of);
        } else {
          known++;
          FiguresVersion before = process.newest.put(of, figures.version());
          assertTrue(
              before == null || before.compareTo(figures.version()) <= 0,
              "back to what was said before");
          Long stood = stoodBy.get(of).get(figures.figures().byName().get(OUT));
          assertNotNull(stood, "nobody said that");
          double most = figures.age().us() * 1.003 + 40_000;
          assertTrue(
              now - stood <= most,
              of
                  + " at "
                  + process.name
                  + " is "
                  + (now - stood)
                  + " us old and is held for "
                  + figures.age().us());
          assertTrue(figures.age().compareTo(TERMS.maxAge()) < 0, "past its end and still known");
        }
      }
    }
    return known;
  }

  @Test
  void hundredMembersKnowEachOtherWithinTenRounds() {
    for (int index = 0; index < 100; index++) {
      say(start(index, 5, 1));
    }
    pass(10_000_000);
    assertEquals(100 * 99, check());
  }

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void agesAreNeverUnderstatedUnderNetworkFaults(long seed) {
    random = new SplittableRandom(seed);
    loss = 0.3 * random.nextDouble();
    doubled = 0.2;
    longest = seed % 3 == 0 ? 12_000_000 : 400_000;
    int members = 3 + random.nextInt(8);
    for (int index = 0; index < members; index++) {
      say(start(index, 5, 1 + TERMS.maxClockRateRatio() * (2 * random.nextDouble() - 1)));
    }
    int known = 0;
    for (int step = 0; step < 150; step++) {
      pass(20_000L * (1 + random.nextInt(25)));
      int index = random.nextInt(members);
      Process process = running.get(name(index));
      switch (random.nextInt(8)) {
        case 0 -> running.remove(name(index));
        case 1 -> {
          if (process == null) {
            // Started anew, with or without what made it the same member.
            say(start(index, random.nextBoolean() ? 5 : 6 + step, 1));
          }
        }
        case 2 -> silentUntil.put(name(index), now + random.nextLong(6_000_000));
        default -> {
          if (process != null) {
            say(process);
          }
        }
      }
      known += check();
    }
    assertTrue(known > (seed % 3 == 0 ? 0 : 100), "a day on which something was known: " + known);
  }

  @Test
  void reaffirmedFiguresStayKnown() {
    for (int index = 0; index < 40; index++) {
      say(start(index, 5, 1));
    }
    pass(60_000_000);
    assertEquals(40 * 39, check());
  }

  @Test
  void figuresOfADeadMemberExpireDespiteDelayedMessages() {
    longest = 9_000_000;
    for (int index = 0; index < 12; index++) {
      say(start(index, 5, 1));
    }
    pass(12_000_000);
    running.remove(name(0));
    pass(TERMS.maxAge().us() + 100_000);
    for (Process process : running.values()) {
      assertNull(
          process.module.figuresOf(name(0), process.clock(now)),
          "told on from one to the next it must not stay young");
    }
  }

  @Test
  void sumReportsUnknownMembersSeparately() {
    Process process = start(0, 5, 1);
    start(1, 5, 1);
    Process third = start(2, 5, 1);
    process.module.setOwnFigures(new MemberFigures(Map.of(OUT, 4L)));
    third.module.setOwnFigures(new MemberFigures(Map.of("other", 1L)));
    pass(5_000_000);
    assertEquals(
        new StateGossip.FigureSum(4, 1, 2),
        process.module.sum(OUT, process.clock(now)),
        "one silent, one that does not say it");
  }

  @Test
  void unrequestedReplyIsIgnored() {
    Process process = start(0, 5, 1);
    start(1, 5, 1);
    FiguresUpdate statement =
        new FiguresUpdate(
            name(1),
            new FiguresVersion(new Incarnation(5), 9),
            new MemberFigures(Map.of(OUT, 1L)),
            TimeSpan.ZERO);
    process.module.receive(
        new SharingMessage.UpdateReply(name(1), 77, List.of(statement), List.of()),
        process.clock(now));
    assertNull(process.module.figuresOf(name(1), process.clock(now)));
  }

  @Test
  void figuresOfMembersOutsideTheViewAreDropped() {
    Process process = start(0, 5, 1);
    say(start(1, 5, 1));
    say(start(2, 5, 1));
    pass(5_000_000);
    assertEquals(2, process.module.knownMemberCount());
    process.module.setView(Set.of(name(0), name(1)));
    assertEquals(1, process.module.knownMemberCount());
    running.remove(name(2));
    pass(3_000_000);
    assertNull(
        process.module.figuresOf(name(2), process.clock(now)),
        "told again by one whose view is older, and not kept");
  }

  @Test
  void restartUnderTheSameIncarnationIsBelievedAgain() {
    Process process = start(0, 5, 1);
    Process other = start(1, 5, 1);
    for (int index = 0; index < 20; index++) {
      say(other);
    }
    pass(4_000_000);
    running.remove(name(1));
    Process again = start(1, 5, 1);
    again.module.setOwnFigures(new MemberFigures(Map.of(OUT, -1L)));
    stoodBy.get(name(1)).put(-1L, now);
    pass(6_000_000);
    again.module.setOwnFigures(new MemberFigures(Map.of(OUT, -2L)));
    pass(3_000_000);
    assertEquals(
        -2L, process.module.figuresOf(name(1), process.clock(now)).figures().byName().get(OUT));
  }

  @Test
  void replyIsSplitToFitAndMembersAreAskedInTurn() {
    for (int index = 0; index < 60; index++) {
      say(start(index, 5, 1));
    }
    pass(10_000_000);
    Process process = running.get(name(0));
    List<OutgoingMessage> parts =
        process.module.receive(
            new SharingMessage.UpdateRequest(name(1), 1, Map.of()), process.clock(now));
    assertTrue(parts.size() > 2, parts.size() + " parts");
    Set<MemberName> told = new HashSet<>();
    for (OutgoingMessage s : parts) {
      assertTrue(
          ((SharingMessage.UpdateReply) s.message()).updates().size() <= 16,
          "a part within its bound");
      ((SharingMessage.UpdateReply) s.message())
          .updates()
          .forEach(st -> assertTrue(told.add(st.member()), "told twice"));
    }
    assertEquals(60, told.size());
    StateGossip fresh =
        new StateGossip(
            name(0), new Incarnation(6), TERMS, new SplittableRandom(4), process.clock(now));
    fresh.setView(view);
    List<MemberName> asked = new ArrayList<>();
    for (int round = 0; round < 20; round++) {
      fresh.runRound(process.clock(now += SECOND.us())).forEach(s -> asked.add(s.to()));
    }
    assertEquals(60, asked.size());
    assertEquals(59, new HashSet<>(asked).size(), "each once before any is asked again");
  }

  @Test
  void contradictingOptionsAreRejected() {
    assertThrows(
        IllegalArgumentException.class, () -> new GossipOptions(SECOND, 3, SECOND, 1200, 0.001));
    assertThrows(
        IllegalArgumentException.class,
        () -> new GossipOptions(SECOND, 0, SECOND.times(9), 1200, 0.001));
  }
}

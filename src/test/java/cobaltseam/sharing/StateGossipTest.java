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
 * Tests the gossip of figures between members, in virtual time over a network that loses, delays,
 * duplicates and reorders messages.
 */
class StateGossipTest {
  private static final TimeSpan SECOND = new TimeSpan(1_000_000);
  private static final GossipOptions OPTIONS =
      new GossipOptions(SECOND, 3, SECOND.times(15), 1200, 0.001);
  private static final String FIGURE = "out";

  private record Delivery(long atUs, int order, MemberName to, SharingMessage message) {}

  /** A process with its gossip and its own clock, whose rate and origin differ from true time. */
  private static final class Process {
    final MemberName name;
    final Incarnation incarnation;
    final long startedAtUs;
    final double clockRate;
    final StateGossip gossip;
    long lastValue;
    final Map<MemberName, FiguresVersion> newestVersions = new HashMap<>();

    Process(
        MemberName name,
        Incarnation incarnation,
        long startedAtUs,
        double clockRate,
        SplittableRandom random) {
      this.name = name;
      this.incarnation = incarnation;
      this.startedAtUs = startedAtUs;
      this.clockRate = clockRate;
      gossip =
          new StateGossip(
              name,
              incarnation,
              OPTIONS,
              new SplittableRandom(random.nextLong()),
              clock(startedAtUs));
    }

    /** The time of this process's clock at a true time in microseconds. */
    Timestamp clock(long trueUs) {
      return new Timestamp(Math.round(7_000_000 + (trueUs - startedAtUs) * clockRate));
    }
  }

  private final Map<MemberName, Process> running = new TreeMap<>();
  private final Set<MemberName> view = new TreeSet<>();
  private final Map<MemberName, Long> suspendedUntil = new HashMap<>();
  private final PriorityQueue<Delivery> inTransit =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atUs).thenComparingInt(Delivery::order));

  /**
   * The last true time at which each value was current, by member. While a member runs, its newest
   * value is current.
   */
  private final Map<MemberName, TreeMap<Long, Long>> currentUntil = new HashMap<>();

  private SplittableRandom random = new SplittableRandom(1);
  private long now = 1_000_000;
  private int order;
  private double lossRatio;
  private double duplicationRatio;
  private long maxDelayUs = 2_000;

  private static MemberName name(int index) {
    return new MemberName("d" + index);
  }

  private Process start(int index, long incarnation, double clockRate) {
    Process process =
        new Process(name(index), new Incarnation(incarnation), now, clockRate, random);
    running.put(process.name, process);
    view.add(process.name);
    running.values().forEach(other -> other.gossip.setView(view));
    return process;
  }

  /** Publishes a new figure. Its value is unique, so that the test can tell which one is known. */
  private void publish(Process process) {
    long value = now * 1000 + running.size() + process.lastValue++ % 7;
    process.gossip.setOwnFigures(new MemberFigures(Map.of(FIGURE, value)));
    currentUntil.computeIfAbsent(process.name, member -> new TreeMap<>()).put(value, now);
    process.lastValue = value;
  }

  private void send(List<OutgoingMessage> messages) {
    for (OutgoingMessage message : messages) {
      for (int copies = random.nextDouble() < duplicationRatio ? 2 : 1; copies > 0; copies--) {
        if (random.nextDouble() >= lossRatio) {
          inTransit.add(
              new Delivery(
                  now + 1 + random.nextLong(maxDelayUs), order++, message.to(), message.message()));
        }
      }
    }
  }

  private void advance(long us) {
    for (long end = now + us; now < end; now += 20_000) {
      for (Process process : running.values()) {
        if (process.lastValue > 0) {
          currentUntil.get(process.name).put(process.lastValue, now);
        }
        if (suspendedUntil.getOrDefault(process.name, 0L) <= now) {
          send(process.gossip.runRound(process.clock(now)));
        }
      }
      while (!inTransit.isEmpty() && inTransit.peek().atUs() <= now) {
        Delivery delivery = inTransit.remove();
        Process process = running.get(delivery.to());
        if (process != null && suspendedUntil.getOrDefault(process.name, 0L) <= now) {
          send(process.gossip.receive(delivery.message(), process.clock(now)));
        }
      }
    }
  }

  /**
   * Checks every known figure: its member published it, and its value was current no longer ago
   * than the recorded age.
   *
   * @return the number of known figures
   */
  private int checkKnownFigures() {
    int knownCount = 0;
    for (Process process : running.values()) {
      for (MemberName member : view) {
        KnownFigures figures =
            member.equals(process.name)
                ? null
                : process.gossip.figuresOf(member, process.clock(now));
        if (figures == null) {
          // Once the figures are dropped, a process restarted under the same incarnation may begin
          // below the version number of the earlier process.
          process.newestVersions.remove(member);
        } else {
          knownCount++;
          FiguresVersion previous = process.newestVersions.put(member, figures.version());
          assertTrue(
              previous == null || previous.compareTo(figures.version()) <= 0,
              "an older version replaced a newer one");
          Long lastCurrent = currentUntil.get(member).get(figures.figures().byName().get(FIGURE));
          assertNotNull(lastCurrent, "no member published this value");
          double maxAgeUs = figures.age().us() * 1.003 + 40_000;
          assertTrue(
              now - lastCurrent <= maxAgeUs,
              member
                  + " at "
                  + process.name
                  + " is "
                  + (now - lastCurrent)
                  + " us old, but its recorded age is "
                  + figures.age().us());
          assertTrue(
              figures.age().compareTo(OPTIONS.maxAge()) < 0,
              "a figure is known beyond its maximum age");
        }
      }
    }
    return knownCount;
  }

  @Test
  void hundredMembersKnowEachOtherWithinTenRounds() {
    for (int index = 0; index < 100; index++) {
      publish(start(index, 5, 1));
    }
    advance(10_000_000);
    assertEquals(100 * 99, checkKnownFigures());
  }

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void agesAreNeverUnderstatedUnderNetworkFaults(long seed) {
    random = new SplittableRandom(seed);
    lossRatio = 0.3 * random.nextDouble();
    duplicationRatio = 0.2;
    maxDelayUs = seed % 3 == 0 ? 12_000_000 : 400_000;
    int members = 3 + random.nextInt(8);
    for (int index = 0; index < members; index++) {
      publish(start(index, 5, 1 + OPTIONS.maxClockRateRatio() * (2 * random.nextDouble() - 1)));
    }
    int knownCount = 0;
    for (int step = 0; step < 150; step++) {
      advance(20_000L * (1 + random.nextInt(25)));
      int index = random.nextInt(members);
      Process process = running.get(name(index));
      switch (random.nextInt(8)) {
        case 0 -> running.remove(name(index));
        case 1 -> {
          if (process == null) {
            // The process restarts, either under the same incarnation or under a new one.
            publish(start(index, random.nextBoolean() ? 5 : 6 + step, 1));
          }
        }
        case 2 -> suspendedUntil.put(name(index), now + random.nextLong(6_000_000));
        default -> {
          if (process != null) {
            publish(process);
          }
        }
      }
      knownCount += checkKnownFigures();
    }
    assertTrue(knownCount > (seed % 3 == 0 ? 0 : 100), "too few figures were known: " + knownCount);
  }

  @Test
  void reaffirmedFiguresStayKnown() {
    for (int index = 0; index < 40; index++) {
      publish(start(index, 5, 1));
    }
    advance(60_000_000);
    assertEquals(40 * 39, checkKnownFigures());
  }

  @Test
  void figuresOfADeadMemberExpireDespiteDelayedMessages() {
    maxDelayUs = 9_000_000;
    for (int index = 0; index < 12; index++) {
      publish(start(index, 5, 1));
    }
    advance(12_000_000);
    running.remove(name(0));
    advance(OPTIONS.maxAge().us() + 100_000);
    for (Process process : running.values()) {
      assertNull(
          process.gossip.figuresOf(name(0), process.clock(now)),
          "passing figures on from member to member must not reduce their age");
    }
  }

  @Test
  void sumReportsUnknownMembersSeparately() {
    Process process = start(0, 5, 1);
    start(1, 5, 1);
    Process third = start(2, 5, 1);
    process.gossip.setOwnFigures(new MemberFigures(Map.of(FIGURE, 4L)));
    third.gossip.setOwnFigures(new MemberFigures(Map.of("other", 1L)));
    advance(5_000_000);
    assertEquals(
        new StateGossip.FigureSum(4, 1, 2),
        process.gossip.sum(FIGURE, process.clock(now)),
        "one member published nothing, and one not this figure");
  }

  @Test
  void unrequestedReplyIsIgnored() {
    Process process = start(0, 5, 1);
    start(1, 5, 1);
    FiguresUpdate update =
        new FiguresUpdate(
            name(1),
            new FiguresVersion(new Incarnation(5), 9),
            new MemberFigures(Map.of(FIGURE, 1L)),
            TimeSpan.ZERO);
    process.gossip.receive(
        new SharingMessage.UpdateReply(name(1), 77, List.of(update), List.of()),
        process.clock(now));
    assertNull(process.gossip.figuresOf(name(1), process.clock(now)));
  }

  @Test
  void figuresOfMembersOutsideTheViewAreDropped() {
    Process process = start(0, 5, 1);
    publish(start(1, 5, 1));
    publish(start(2, 5, 1));
    advance(5_000_000);
    assertEquals(2, process.gossip.knownMemberCount());
    process.gossip.setView(Set.of(name(0), name(1)));
    assertEquals(1, process.gossip.knownMemberCount());
    running.remove(name(2));
    advance(3_000_000);
    assertNull(
        process.gossip.figuresOf(name(2), process.clock(now)),
        "a member with an older view passed the figures on, but they are not kept");
  }

  @Test
  void figuresAreAcceptedAfterARestartUnderTheSameIncarnation() {
    Process process = start(0, 5, 1);
    Process other = start(1, 5, 1);
    for (int index = 0; index < 20; index++) {
      publish(other);
    }
    advance(4_000_000);
    running.remove(name(1));
    Process restarted = start(1, 5, 1);
    restarted.gossip.setOwnFigures(new MemberFigures(Map.of(FIGURE, -1L)));
    currentUntil.get(name(1)).put(-1L, now);
    advance(6_000_000);
    restarted.gossip.setOwnFigures(new MemberFigures(Map.of(FIGURE, -2L)));
    advance(3_000_000);
    assertEquals(
        -2L, process.gossip.figuresOf(name(1), process.clock(now)).figures().byName().get(FIGURE));
  }

  @Test
  void replyIsSplitToFitAndMembersAreAskedInTurn() {
    for (int index = 0; index < 60; index++) {
      publish(start(index, 5, 1));
    }
    advance(10_000_000);
    Process process = running.get(name(0));
    List<OutgoingMessage> parts =
        process.gossip.receive(
            new SharingMessage.UpdateRequest(name(1), 1, Map.of()), process.clock(now));
    assertTrue(parts.size() > 2, parts.size() + " parts");
    Set<MemberName> receivedMembers = new HashSet<>();
    for (OutgoingMessage part : parts) {
      assertTrue(
          ((SharingMessage.UpdateReply) part.message()).updates().size() <= 16,
          "the part exceeds the message size");
      ((SharingMessage.UpdateReply) part.message())
          .updates()
          .forEach(
              update ->
                  assertTrue(
                      receivedMembers.add(update.member()),
                      "the figures of a member were sent twice"));
    }
    assertEquals(60, receivedMembers.size());
    StateGossip newGossip =
        new StateGossip(
            name(0), new Incarnation(6), OPTIONS, new SplittableRandom(4), process.clock(now));
    newGossip.setView(view);
    List<MemberName> askedMembers = new ArrayList<>();
    for (int round = 0; round < 20; round++) {
      newGossip
          .runRound(process.clock(now += SECOND.us()))
          .forEach(request -> askedMembers.add(request.to()));
    }
    assertEquals(60, askedMembers.size());
    assertEquals(
        59,
        new HashSet<>(askedMembers).size(),
        "each member is asked once before any is asked again");
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

package cobaltseam.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * One thing that goes wrong in a fleet from a moment on for a while, in the form of the emulator's
 * faults: processes by number, those of the other side of a link in {@code others} (empty: all the
 * rest), and a size by kind. The same in virtual time and between real processes.
 */
public record Fault(
    @JsonProperty("kind") Kind kind,
    @JsonProperty("atS") double atS,
    @JsonProperty("lengthS") double lengthS,
    @JsonProperty("who") List<Integer> processes,
    @JsonProperty("others") List<Integer> otherSide,
    @JsonProperty("size") double size) {
  private static final double SHORTEST_S = 0.1;

  /**
   * What is drawn; kinds that came later are put in their place by {@link #withFolders}, so that
   * seeds keep their scripts.
   */
  private static final List<Kind> DRAWN =
      List.of(
          Kind.LOSS,
          Kind.LOSS_IN,
          Kind.DELAY,
          Kind.DOUBLE,
          Kind.CUT,
          Kind.ONE_WAY,
          Kind.RING,
          Kind.PAUSE,
          Kind.SLOW,
          Kind.KILL,
          Kind.TERM,
          Kind.GONE);

  /** What goes wrong. */
  public enum Kind {
    /** This share of all datagrams between any two is lost. */
    LOSS,
    /** This share of what enters these is lost. */
    LOSS_IN,
    /** Datagrams come up to this many seconds late, each its own, and so in another order. */
    DELAY,
    /** This share of datagrams comes twice. */
    DOUBLE,
    /** Nothing passes between these and the others, either way. */
    CUT,
    /** Nothing passes from these to the others; the other way it does. */
    ONE_WAY,
    /** Each of these hears nothing of the next of them, in a ring. */
    RING,
    /** These stand still. */
    PAUSE,
    /** These run for this share of the time, in turns of 100 ms. */
    SLOW,
    /** These are killed, and start anew at the end without memory. */
    KILL,
    /** These are told to end, and start anew at the end without memory. */
    TERM,
    /** These are killed and stay dead. */
    GONE,
    /** These are killed, and start anew at the end; where they have folders, with an empty one. */
    LOSE,
    /**
     * These are killed, and start anew at the end; where they have folders, with what was in them
     * half a run before.
     */
    STALE;

    /** Whether processes end by it. */
    boolean endsProcess() {
      return this == KILL || this == TERM || this == GONE || this == LOSE || this == STALE;
    }

    /** The kind as scripts write it. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  public Fault {
    processes = List.copyOf(processes);
    otherSide = List.copyOf(otherSide);
  }

  double endS() {
    return atS + lengthS;
  }

  /** Whether it acts on a datagram from one to another at this moment. */
  boolean affects(int from, int to, double second) {
    if (second < atS || second >= endS()) {
      return false;
    }
    return switch (kind) {
      case LOSS, DELAY, DOUBLE -> true;
      case LOSS_IN -> processes.contains(to);
      case CUT ->
          processes.contains(from) && isOnOtherSide(to)
              || processes.contains(to) && isOnOtherSide(from);
      case ONE_WAY -> processes.contains(from) && isOnOtherSide(to);
      case RING ->
          processes.contains(from)
              && processes.get((processes.indexOf(from) + 1) % processes.size()) == to;
      default -> false;
    };
  }

  /** What becomes of one datagram: how often it comes, and how much later each time, in seconds. */
  record DatagramFate(int copies, double delayS) {}

  /** The fate of a datagram from one to another at this moment, under all that goes wrong then. */
  static DatagramFate fate(
      List<Fault> faults, int from, int to, double second, SplittableRandom chance) {
    int times = 1;
    double delay = 0;
    for (Fault t : faults) {
      if (!t.affects(from, to, second)) {
        continue;
      }
      switch (t.kind) {
        case LOSS, LOSS_IN -> times = chance.nextDouble() < t.size ? 0 : times;
        case CUT, ONE_WAY, RING -> times = 0;
        case DELAY -> delay += t.size * chance.nextDouble();
        case DOUBLE -> times = times > 0 && chance.nextDouble() < t.size ? 2 : times;
        default -> {}
      }
    }
    return new DatagramFate(times, delay);
  }

  private boolean isOnOtherSide(int process) {
    return !processes.contains(process) && (otherSide.isEmpty() || otherSide.contains(process));
  }

  /** The next simpler forms: one process fewer, or half as long. */
  List<Fault> simpler() {
    List<Fault> forms = new ArrayList<>();
    for (int p = 0; p < processes.size() && processes.size() > 1; p++) {
      List<Integer> fewer = new ArrayList<>(processes);
      fewer.remove(p);
      forms.add(new Fault(kind, atS, lengthS, fewer, otherSide, size));
    }
    if (lengthS / 2 >= SHORTEST_S) {
      forms.add(new Fault(kind, atS, lengthS / 2, processes, otherSide, size));
    }
    return forms;
  }

  /**
   * The same where processes have folders: a part of the kills lose the folder, or the first of
   * them that hits one process alone finds an old one. Against that there is no promise, only that
   * it is seen where a peer can know.
   */
  public static List<Fault> withFolders(List<Fault> faults, boolean copiedBack, long seed) {
    SplittableRandom chance = new SplittableRandom(~seed);
    List<Fault> with = new ArrayList<>();
    boolean old = false;
    for (Fault t : faults) {
      boolean loses = chance.nextInt(4) == 0 && !copiedBack;
      boolean stale = copiedBack && !old && t.processes.size() == 1 && t.kind == Kind.KILL;
      old |= stale;
      Kind kind = t.kind == Kind.KILL && (loses || stale) ? stale ? Kind.STALE : Kind.LOSE : t.kind;
      with.add(new Fault(kind, t.atS, t.lengthS, t.processes, t.otherSide, t.size));
    }
    return with;
  }

  /**
   * Troubles by chance, overlapping, some of them of a whole rack; the same ones from the same
   * seed.
   */
  public static List<Fault> drawn(int processes, double seconds, int number, long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < number; i++) {
      Kind kind = DRAWN.get(chance.nextInt(DRAWN.size()));
      double at = chance.nextDouble(0.2, 0.7) * seconds;
      double length = chance.nextDouble(0.02, 0.3) * seconds;
      int most =
          switch (chance.nextInt(4)) {
            case 0 -> processes - 1;
            case 1 -> Math.max(1, processes / 3);
            default -> 1;
          };
      List<Integer> who = new ArrayList<>();
      int rack = 1 + chance.nextInt(most);
      int first = chance.nextInt(processes);
      for (int p = 0; p < rack; p++) {
        who.add((first + p) % processes);
      }
      if (kind == Kind.RING) {
        who.clear();
        for (int p = 0; p < processes; p++) {
          who.add((first + p) % processes);
        }
      }
      List<Integer> others = new ArrayList<>();
      if ((kind == Kind.ONE_WAY || kind == Kind.CUT) && chance.nextInt(3) == 0) {
        others.add((first + rack + chance.nextInt(processes)) % processes);
      }
      double size =
          switch (kind) {
            case LOSS -> chance.nextDouble(0.1, 0.6);
            case LOSS_IN -> chance.nextDouble(0.3, 0.9);
            case DELAY -> chance.nextDouble(0.05, 2);
            case DOUBLE -> chance.nextDouble(0.1, 0.5);
            case SLOW -> chance.nextDouble(0.1, 0.5);
            default -> 1;
          };
      // A majority that is gone for good has no successor without an operator.
      boolean forGood = kind == Kind.GONE && who.size() > (processes - 1) / 2;
      faults.add(new Fault(forGood ? Kind.PAUSE : kind, at, length, who, others, size));
    }
    return faults;
  }
}

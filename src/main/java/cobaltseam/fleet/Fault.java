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
  private static final double MIN_LENGTH_S = 0.1;

  /**
   * What is drawn; kinds that came later are put in their place by {@link #withFolders}, so that
   * seeds keep their scripts.
   */
  private static final List<Kind> GENERATED_KINDS =
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
  record Delivery(int copies, double delayS) {}

  /** The fate of a datagram from one to another at this moment, under all that goes wrong then. */
  static Delivery delivery(
      List<Fault> faults, int from, int to, double second, SplittableRandom random) {
    int copies = 1;
    double delay = 0;
    for (Fault fault : faults) {
      if (!fault.affects(from, to, second)) {
        continue;
      }
      switch (fault.kind) {
        case LOSS, LOSS_IN -> copies = random.nextDouble() < fault.size ? 0 : copies;
        case CUT, ONE_WAY, RING -> copies = 0;
        case DELAY -> delay += fault.size * random.nextDouble();
        case DOUBLE -> copies = copies > 0 && random.nextDouble() < fault.size ? 2 : copies;
        default -> {}
      }
    }
    return new Delivery(copies, delay);
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
    if (lengthS / 2 >= MIN_LENGTH_S) {
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
    SplittableRandom random = new SplittableRandom(~seed);
    List<Fault> persistentFaults = new ArrayList<>();
    boolean hasStale = false;
    for (Fault fault : faults) {
      boolean loses = random.nextInt(4) == 0 && !copiedBack;
      boolean stale =
          copiedBack && !hasStale && fault.processes.size() == 1 && fault.kind == Kind.KILL;
      hasStale |= stale;
      Kind kind =
          fault.kind == Kind.KILL && (loses || stale) ? stale ? Kind.STALE : Kind.LOSE : fault.kind;
      persistentFaults.add(
          new Fault(kind, fault.atS, fault.lengthS, fault.processes, fault.otherSide, fault.size));
    }
    return persistentFaults;
  }

  /**
   * Troubles by chance, overlapping, some of them of a whole rack; the same ones from the same
   * seed.
   */
  public static List<Fault> generate(int processes, double seconds, int faultCount, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < faultCount; i++) {
      Kind kind = GENERATED_KINDS.get(random.nextInt(GENERATED_KINDS.size()));
      double startS = random.nextDouble(0.2, 0.7) * seconds;
      double durationS = random.nextDouble(0.02, 0.3) * seconds;
      int maxProcesses =
          switch (random.nextInt(4)) {
            case 0 -> processes - 1;
            case 1 -> Math.max(1, processes / 3);
            default -> 1;
          };
      List<Integer> affected = new ArrayList<>();
      int count = 1 + random.nextInt(maxProcesses);
      int first = random.nextInt(processes);
      for (int p = 0; p < count; p++) {
        affected.add((first + p) % processes);
      }
      if (kind == Kind.RING) {
        affected.clear();
        for (int p = 0; p < processes; p++) {
          affected.add((first + p) % processes);
        }
      }
      List<Integer> otherProcesses = new ArrayList<>();
      if ((kind == Kind.ONE_WAY || kind == Kind.CUT) && random.nextInt(3) == 0) {
        otherProcesses.add((first + count + random.nextInt(processes)) % processes);
      }
      double size =
          switch (kind) {
            case LOSS -> random.nextDouble(0.1, 0.6);
            case LOSS_IN -> random.nextDouble(0.3, 0.9);
            case DELAY -> random.nextDouble(0.05, 2);
            case DOUBLE -> random.nextDouble(0.1, 0.5);
            case SLOW -> random.nextDouble(0.1, 0.5);
            default -> 1;
          };
      // A majority that is gone for good has no successor without an operator.
      boolean losesMajority = kind == Kind.GONE && affected.size() > (processes - 1) / 2;
      faults.add(
          new Fault(
              losesMajority ? Kind.PAUSE : kind,
              startS,
              durationS,
              affected,
              otherProcesses,
              size));
    }
    return faults;
  }
}

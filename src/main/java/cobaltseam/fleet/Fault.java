package cobaltseam.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * One fault of a fleet with its start and length in seconds, in the form of the emulator's faults.
 * It has the same meaning in virtual time and between real processes.
 *
 * @param processes the affected processes, by number
 * @param otherSide the processes at the other end of the affected links ({@code others} in
 *     scripts); empty for all others
 * @param size the extent of the fault; its meaning depends on the kind
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
   * The kinds that are randomly generated. Kinds added later are substituted by {@link
   * #withFolders}, so that a seed keeps generating the same script.
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

  /** The kinds of faults. */
  public enum Kind {
    /** This ratio of all datagrams is lost. */
    LOSS,
    /** This ratio of the datagrams to these processes is lost. */
    LOSS_IN,
    /**
     * Each datagram is delayed by a random time of up to this many seconds, which also reorders
     * datagrams.
     */
    DELAY,
    /** This ratio of datagrams is duplicated. */
    DOUBLE,
    /** No datagram passes between these processes and the others, in either direction. */
    CUT,
    /** No datagram passes from these processes to the others; the opposite direction works. */
    ONE_WAY,
    /** No datagram passes from each of these processes to the next one in the list, cyclically. */
    RING,
    /** These processes are suspended. */
    PAUSE,
    /** These processes run for this ratio of every 100 ms and are suspended for the rest. */
    SLOW,
    /**
     * These processes are killed and restarted at the end, without their state unless they have
     * folders.
     */
    KILL,
    /**
     * These processes are terminated and restarted at the end, without their state unless they have
     * folders.
     */
    TERM,
    /** These processes are killed and never restarted. */
    GONE,
    /**
     * These processes are killed and restarted at the end; their persistent state, if any, is lost.
     */
    LOSE,
    /**
     * These processes are killed and restarted at the end; their persistent state, if any, is
     * replaced by a copy taken at half the start time of this fault.
     */
    STALE,
    /** The state of these processes can't be written; in virtual time only. */
    FULL_FOLDER;

    /** Whether processes end by this fault. */
    boolean endsProcess() {
      return this == KILL || this == TERM || this == GONE || this == LOSE || this == STALE;
    }

    /** The name of the kind in scripts. */
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

  /** Whether this fault affects a datagram between two processes at this time. */
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

  /**
   * How one datagram is delivered: the number of copies, zero if it is lost, and the delay of each
   * in seconds.
   */
  record Delivery(int copies, double delayS) {}

  /** Returns how a datagram between two processes is delivered under all faults of this time. */
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

  /** Returns the next simpler forms of this fault: with one process fewer, or half as long. */
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
   * Adapts a script to processes with persistent state. Some kills lose the state; or, with {@code
   * copiedBack}, the first kill of a single process brings back an old copy of it. Old copies are
   * not prevented by the protocol, only detected where a peer can know.
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
   * Adds a random time in which the folders of all processes, or of some, are full, to a script of
   * this many seconds.
   */
  public static List<Fault> withFullFolders(
      List<Fault> faults, int processes, double seconds, long seed) {
    SplittableRandom random = new SplittableRandom(-seed);
    int count = random.nextBoolean() ? processes : 1 + random.nextInt(processes);
    int first = random.nextInt(processes);
    List<Integer> affected = new ArrayList<>();
    for (int p = 0; p < count; p++) {
      affected.add((first + p) % processes);
    }
    double startS = random.nextDouble(0.2, 0.7) * seconds;
    double durationS = random.nextDouble(0.02, 1) * seconds;
    List<Fault> extended = new ArrayList<>(faults);
    extended.add(new Fault(Kind.FULL_FOLDER, startS, durationS, affected, List.of(), 1));
    return extended;
  }

  /**
   * Generates random faults, which may overlap and some of which affect several neighbouring
   * processes like the failure of a rack. The same seed generates the same faults.
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
      // Without an operator, no view can follow one whose majority is permanently lost.
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

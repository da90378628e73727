package cobaltseam.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * A fault that lasts for a time span of a run.
 *
 * @param kind the kind of fault
 * @param atS the start of the fault, in seconds from the start of the run
 * @param lengthS the duration in seconds
 * @param engines the indices of the affected engines
 * @param size a factor or a share, as the kind defines it
 * @param target the index of the affected tenant or dispatcher, as the kind defines it
 */
public record Fault(
    @JsonProperty("kind") Kind kind,
    @JsonProperty("atS") double atS,
    @JsonProperty("lengthS") double lengthS,
    @JsonProperty("engines") List<Integer> engines,
    @JsonProperty("size") double size,
    @JsonProperty("who") int target) {
  /** Faults are not shortened below this duration. */
  private static final double MIN_LENGTH_S = 0.1;

  /** The kind of a fault. */
  public enum Kind {
    /** The speed of engines is divided by the size. */
    SLOW,
    /** Engines accept attempts and do no work. */
    HANG,
    /** The share {@code size} of attempts fails at once. */
    FAIL,
    /** The share {@code size} of answers is lost. */
    LOSE,
    /** Engines stop without closing connections; discovery removes them after a delay. */
    VANISH,
    /** Engines die, and restart at the end, in slow start. */
    DIE,
    /** Engines drain, stop at the end, and restart as long after that, in slow start. */
    DRAIN,
    /** The target dispatcher and the engines cannot reach each other. */
    PARTITION,
    /** The process of the target dispatcher is suspended. */
    PAUSE,
    /** The target dispatcher is killed, and restarts at the end. */
    KILL,
    /** Discovery stops: changes of endpoints reach no dispatcher until the end. */
    ROSTER_STOPS,
    /** The load of the target tenant is multiplied by the size. */
    FLOOD,
    /** The share {@code size} of attempts gets a bad plan. */
    BAD_PLANS;

    /** The name of the kind in fault scripts. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  public Fault {
    engines = List.copyOf(engines);
  }

  /** Simpler variants of this fault: one engine fewer, or half as long. */
  List<Fault> simplerVariants() {
    List<Fault> variants = new ArrayList<>();
    for (int e = 0; e < engines.size() && engines.size() > 1; e++) {
      List<Integer> remaining = new ArrayList<>(engines);
      remaining.remove(e);
      variants.add(new Fault(kind, atS, lengthS, remaining, size, target));
    }
    if (lengthS / 2 >= MIN_LENGTH_S) {
      variants.add(new Fault(kind, atS, lengthS / 2, engines, size, target));
    }
    return variants;
  }

  /**
   * Generates random faults, which can overlap; some affect whole locations. The same arguments
   * give the same faults.
   */
  public static List<Fault> random(EmulatedSite site, double seconds, int count, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      double at = random.nextDouble(0.1, 0.8) * seconds;
      double length = random.nextDouble(0.05, 0.25) * seconds;
      List<Integer> engines = new ArrayList<>();
      boolean wholeLocation = random.nextInt(4) == 0;
      int location = random.nextInt(site.engines().locations());
      double share = random.nextDouble(0.03, 0.3);
      for (int e = 0; e < site.engines().count(); e++) {
        if (wholeLocation
            ? e % site.engines().locations() == location
            : random.nextDouble() < share) {
          engines.add(e);
        }
      }
      if (engines.isEmpty()) {
        engines.add(random.nextInt(site.engines().count()));
      }
      double size =
          switch (kind) {
            case SLOW -> random.nextDouble(1.5, 8);
            case FAIL, LOSE -> random.nextDouble(0.1, 1);
            case FLOOD -> random.nextDouble(2, 6);
            case BAD_PLANS -> random.nextDouble(0.02, 0.2);
            default -> 1;
          };
      int target =
          kind == Kind.FLOOD
              ? random.nextInt(Math.max(1, site.tenants().size()))
              : random.nextInt(site.dispatchers());
      faults.add(new Fault(kind, at, length, engines, size, target));
    }
    return faults;
  }
}

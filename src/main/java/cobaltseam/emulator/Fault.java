package cobaltseam.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * One thing that goes wrong from a moment on for a while. Engines are named by number, by location,
 * or as a part of all drawn by the script's seed; {@code size} is a factor or a share, by kind;
 * {@code who} is a holder or a dispatcher's number.
 */
public record Fault(
    @JsonProperty("kind") Kind kind,
    @JsonProperty("atS") double atS,
    @JsonProperty("lengthS") double lengthS,
    @JsonProperty("engines") List<Integer> engines,
    @JsonProperty("size") double size,
    @JsonProperty("who") int target) {
  private static final double SHORTEST_S = 0.1;

  /** What goes wrong. */
  public enum Kind {
    /** Engines work this many times slower. */
    SLOW,
    /** Engines take commands in and do nothing. */
    HANG,
    /** This share of sends fails at once. */
    FAIL,
    /** This share of answers never comes. */
    LOSE,
    /** Engines fall silent, and are listed as gone after a while. */
    VANISH,
    /** Engines die, and return cold at the end. */
    DIE,
    /** Engines are listed as draining, end at the end, and return cold as long again later. */
    DRAIN,
    /** One dispatcher and these engines do not reach each other. */
    PARTITION,
    /** One dispatcher stands still. */
    PAUSE,
    /** One dispatcher is killed, and starts anew at the end. */
    KILL,
    /** Changes of the list reach nobody until the end. */
    ROSTER_STOPS,
    /** One holder sends this many times as much. */
    FLOOD,
    /** This share of sends gets a bad plan. */
    BAD_PLANS;

    /** The kind as scripts write it. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  public Fault {
    engines = List.copyOf(engines);
  }

  /** The next simpler forms: one engine fewer, or half as long. */
  List<Fault> simpler() {
    List<Fault> forms = new ArrayList<>();
    for (int e = 0; e < engines.size() && engines.size() > 1; e++) {
      List<Integer> fewer = new ArrayList<>(engines);
      fewer.remove(e);
      forms.add(new Fault(kind, atS, lengthS, fewer, size, target));
    }
    if (lengthS / 2 >= SHORTEST_S) {
      forms.add(new Fault(kind, atS, lengthS / 2, engines, size, target));
    }
    return forms;
  }

  /**
   * Faults by chance, overlapping, some on whole locations at once; the same ones from the same
   * seed.
   */
  public static List<Fault> random(EmulatedSite world, double seconds, int number, long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < number; i++) {
      Kind kind = Kind.values()[chance.nextInt(Kind.values().length)];
      double at = chance.nextDouble(0.1, 0.8) * seconds;
      double length = chance.nextDouble(0.05, 0.25) * seconds;
      List<Integer> engines = new ArrayList<>();
      boolean group = chance.nextInt(4) == 0;
      int location = chance.nextInt(world.engines().locations());
      double part = chance.nextDouble(0.03, 0.3);
      for (int e = 0; e < world.engines().count(); e++) {
        if (group ? e % world.engines().locations() == location : chance.nextDouble() < part) {
          engines.add(e);
        }
      }
      if (engines.isEmpty()) {
        engines.add(chance.nextInt(world.engines().count()));
      }
      double size =
          switch (kind) {
            case SLOW -> chance.nextDouble(1.5, 8);
            case FAIL, LOSE -> chance.nextDouble(0.1, 1);
            case FLOOD -> chance.nextDouble(2, 6);
            case BAD_PLANS -> chance.nextDouble(0.02, 0.2);
            default -> 1;
          };
      int who =
          kind == Kind.FLOOD
              ? chance.nextInt(Math.max(1, world.tenants().size()))
              : chance.nextInt(world.dispatchers());
      faults.add(new Fault(kind, at, length, engines, size, who));
    }
    return faults;
  }
}

package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * How many steps of priority this dispatcher gives up for being less able to serve. Each sign
 * counts once it has been bad for a while without a break, and until it has been well for longer; a
 * sign that comes back soon has to stay well twice as long each time, so that one that flaps does
 * not flap the address. No sign gets better by shedding commands.
 */
public final class HealthScore {
  /** What is watched; the unit of each value is told with its bounds. */
  public enum HealthSignal {
    BUS_SILENT,
    NO_ENGINE,
    ENGINES_FAILING,
    DESCRIPTORS,
    MEMORY,
    LATE;

    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * A sign is bad from one value on, well below another, and costs this many steps while it counts.
   */
  public record SignalBounds(double badFrom, double wellBelow, int steps) {}

  /**
   * The bounds of each sign watched, how long it must be bad, how long well, and how often that may
   * double.
   */
  public record HealthScoreOptions(
      Map<HealthSignal, SignalBounds> bounds, TimeSpan sustained, TimeSpan calm, int mostDoubled) {
    public HealthScoreOptions {
      bounds = Map.copyOf(bounds);
    }
  }

  private static final class SignalState {
    boolean counts;
    Timestamp badSince, wellSince, cleared;
    int doubled;
  }

  private final Map<HealthSignal, SignalState> seen = new EnumMap<>(HealthSignal.class);
  private HealthScoreOptions watched;

  public HealthScore(HealthScoreOptions watched) {
    this.watched = watched;
  }

  /** Other bounds from now on; what counts goes on counting until it is well by them. */
  public void renewed(HealthScoreOptions anew) {
    watched = anew;
    seen.keySet().retainAll(anew.bounds().keySet());
  }

  /**
   * The steps to give up by what is seen at this moment; a sign not told is neither bad nor well.
   */
  public int told(Map<HealthSignal, Double> values, Timestamp now) {
    int steps = 0;
    for (Map.Entry<HealthSignal, SignalBounds> entry : watched.bounds().entrySet()) {
      SignalState s = seen.computeIfAbsent(entry.getKey(), k -> new SignalState());
      Double value = values.get(entry.getKey());
      if (value != null) {
        look(s, entry.getValue(), value, now);
      }
      steps += s.counts ? entry.getValue().steps() : 0;
    }
    return steps;
  }

  private void look(SignalState s, SignalBounds bounds, double value, Timestamp now) {
    boolean bad = value >= bounds.badFrom();
    boolean well = value < bounds.wellBelow();
    s.badSince = !bad ? null : s.badSince == null ? now : s.badSince;
    s.wellSince = !well ? null : s.wellSince == null ? now : s.wellSince;
    TimeSpan calm = watched.calm().times(1 << s.doubled);
    if (!s.counts && bad && now.since(s.badSince).compareTo(watched.sustained()) >= 0) {
      s.counts = true;
      boolean soon = s.cleared != null && now.since(s.cleared).compareTo(calm.times(2)) < 0;
      s.doubled = soon ? Math.min(s.doubled + 1, watched.mostDoubled()) : 0;
    } else if (s.counts && well && now.since(s.wellSince).compareTo(calm) >= 0) {
      s.counts = false;
      s.cleared = now;
    }
  }

  /** The signs that count now. */
  public List<HealthSignal> counting() {
    List<HealthSignal> counting = new ArrayList<>();
    seen.forEach(
        (sign, s) -> {
          if (s.counts) {
            counting.add(sign);
          }
        });
    return counting;
  }
}

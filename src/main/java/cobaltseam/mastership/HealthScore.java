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
  public record SignalBounds(double unhealthyFrom, double healthyBelow, int prioritySteps) {}

  /**
   * The bounds of each sign watched, how long it must be bad, how long well, and how often that may
   * double.
   */
  public record HealthScoreOptions(
      Map<HealthSignal, SignalBounds> bounds,
      TimeSpan sustainedFor,
      TimeSpan recoveryHoldDown,
      int maxHoldDownDoublings) {
    public HealthScoreOptions {
      bounds = Map.copyOf(bounds);
    }
  }

  private static final class SignalState {
    boolean counted;
    Timestamp unhealthySince, healthySince, clearedAt;
    int holdDownDoublings;
  }

  private final Map<HealthSignal, SignalState> states = new EnumMap<>(HealthSignal.class);
  private HealthScoreOptions options;

  public HealthScore(HealthScoreOptions options) {
    this.options = options;
  }

  /** Other bounds from now on; what counts goes on counting until it is well by them. */
  public void reconfigure(HealthScoreOptions newOptions) {
    options = newOptions;
    states.keySet().retainAll(newOptions.bounds().keySet());
  }

  /**
   * The steps to give up by what is seen at this moment; a sign not told is neither bad nor well.
   */
  public int update(Map<HealthSignal, Double> values, Timestamp now) {
    int steps = 0;
    for (Map.Entry<HealthSignal, SignalBounds> entry : options.bounds().entrySet()) {
      SignalState state = states.computeIfAbsent(entry.getKey(), k -> new SignalState());
      Double value = values.get(entry.getKey());
      if (value != null) {
        updateSignal(state, entry.getValue(), value, now);
      }
      steps += state.counted ? entry.getValue().prioritySteps() : 0;
    }
    return steps;
  }

  private void updateSignal(SignalState state, SignalBounds bounds, double value, Timestamp now) {
    boolean unhealthy = value >= bounds.unhealthyFrom();
    boolean healthy = value < bounds.healthyBelow();
    state.unhealthySince =
        !unhealthy ? null : state.unhealthySince == null ? now : state.unhealthySince;
    state.healthySince = !healthy ? null : state.healthySince == null ? now : state.healthySince;
    TimeSpan holdDown = options.recoveryHoldDown().times(1 << state.holdDownDoublings);
    if (!state.counted
        && unhealthy
        && now.since(state.unhealthySince).compareTo(options.sustainedFor()) >= 0) {
      state.counted = true;
      boolean relapsed =
          state.clearedAt != null && now.since(state.clearedAt).compareTo(holdDown.times(2)) < 0;
      state.holdDownDoublings =
          relapsed ? Math.min(state.holdDownDoublings + 1, options.maxHoldDownDoublings()) : 0;
    } else if (state.counted && healthy && now.since(state.healthySince).compareTo(holdDown) >= 0) {
      state.counted = false;
      state.clearedAt = now;
    }
  }

  /** The signs that count now. */
  public List<HealthSignal> countedSignals() {
    List<HealthSignal> counting = new ArrayList<>();
    states.forEach(
        (signal, state) -> {
          if (state.counted) {
            counting.add(signal);
          }
        });
    return counting;
  }
}

package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * By how many steps this dispatcher lowers its VRRP priority because it is less able to serve. A
 * signal is counted once it has been unhealthy for a sustained time, and until it has been healthy
 * for the recovery hold-down. A signal that relapses soon doubles its hold-down each time, so that
 * a flapping signal does not move the virtual address back and forth. No signal improves by
 * shedding requests. Not thread-safe.
 */
public final class HealthScore {
  /** What is measured; a higher value is worse. */
  public enum HealthSignal {
    /** Seconds since the endpoint watch last received anything. */
    BUS_SILENT,
    /** 1 if no engine is in service, else 0. */
    NO_ENGINE,
    /** The part of the engines that fail, 0 to 1. */
    ENGINES_FAILING,
    /** The part of the file descriptors in use, 0 to 1. */
    DESCRIPTORS,
    /** The part of the heap in use after a collection, 0 to 1. */
    MEMORY,
    /** Seconds by which the event loop runs its timers late. */
    LATE;

    /** The name in log events, SHOW rows and the settings file. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * The bounds of a signal: it is unhealthy from one value on and healthy below another one, and
   * lowers the priority by this many steps while it is counted.
   */
  public record SignalBounds(double unhealthyFrom, double healthyBelow, int priorityDecrement) {}

  /**
   * How signals are judged.
   *
   * @param bounds the signals that are watched, with their bounds
   * @param sustainedFor for how long a signal must be unhealthy until it is counted
   * @param recoveryHoldDown for how long it must be healthy until it is not
   * @param maxHoldDownDoublings how often the hold-down doubles at most
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

    /** Null while the signal is not unhealthy. */
    Timestamp unhealthySince;

    /** Null while the signal is not healthy. */
    Timestamp healthySince;

    /** When it last stopped being counted, or null. */
    Timestamp clearedAt;

    int holdDownDoublings;
  }

  private final Map<HealthSignal, SignalState> states = new EnumMap<>(HealthSignal.class);
  private HealthScoreOptions options;

  /** A score of which no signal is counted yet. */
  public HealthScore(HealthScoreOptions options) {
    this.options = options;
  }

  /** Replaces the options; a counted signal stays counted until it is healthy by the new bounds. */
  public void reconfigure(HealthScoreOptions newOptions) {
    options = newOptions;
    states.keySet().retainAll(newOptions.bounds().keySet());
  }

  /**
   * Records the values measured now, and returns by how many steps to lower the priority. A signal
   * without a value stays as it is.
   */
  public int update(Map<HealthSignal, Double> values, Timestamp now) {
    int steps = 0;
    for (Map.Entry<HealthSignal, SignalBounds> entry : options.bounds().entrySet()) {
      SignalState state = states.computeIfAbsent(entry.getKey(), k -> new SignalState());
      Double value = values.get(entry.getKey());
      if (value != null) {
        updateSignal(state, entry.getValue(), value, now);
      }
      steps += state.counted ? entry.getValue().priorityDecrement() : 0;
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

  /** The signals that are counted now. */
  public List<HealthSignal> degradedSignals() {
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

package cobaltseam.mastership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Computes by how much this dispatcher lowers its VRRP priority while its ability to serve is
 * impaired. A signal becomes degraded once it has been unhealthy for a sustained time, and recovers
 * once it has been healthy for the recovery hold-down. Each relapse within twice the hold-down
 * doubles the hold-down, so that a flapping signal doesn't move the virtual address back and forth;
 * a later relapse resets the hold-down. All signals are chosen such that shedding requests does not
 * improve them. Not thread-safe.
 */
public final class HealthScore {
  /** A measured quantity; a higher value is worse. */
  public enum HealthSignal {
    /** Seconds since the endpoint watch last received a message. */
    BUS_SILENT,
    /** 1 if no engine is in service, else 0. */
    NO_ENGINE,
    /** The fraction of engines that fail, 0 to 1. */
    ENGINES_FAILING,
    /** The fraction of file descriptors in use, 0 to 1. */
    DESCRIPTORS,
    /** The fraction of the heap in use after a garbage collection, 0 to 1. */
    MEMORY,
    /** The delay of timers in the event loop, in seconds. */
    LATE;

    /** The name in log events, in SHOW rows and in the settings file. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * The thresholds of a signal. Between them the signal is neither healthy nor unhealthy.
   *
   * @param unhealthyFrom the lowest unhealthy value
   * @param healthyBelow values below this one are healthy
   * @param priorityDecrement by how much the priority is lowered while the signal is degraded
   */
  public record SignalBounds(double unhealthyFrom, double healthyBelow, int priorityDecrement) {}

  /**
   * The thresholds and times of the health score.
   *
   * @param bounds the monitored signals with their thresholds
   * @param sustainedFor how long a signal must be unhealthy before it becomes degraded
   * @param recoveryHoldDown how long a degraded signal must be healthy before it recovers
   * @param maxHoldDownDoublings the maximum number of times the hold-down is doubled
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
    boolean degraded;

    /** Null while the signal is not unhealthy. */
    Timestamp unhealthySince;

    /** Null while the signal is not healthy. */
    Timestamp healthySince;

    /** When the signal last recovered, or null. */
    Timestamp recoveredAt;

    int holdDownDoublings;
  }

  private final Map<HealthSignal, SignalState> states = new EnumMap<>(HealthSignal.class);
  private HealthScoreOptions options;

  /** Creates a score without degraded signals. */
  public HealthScore(HealthScoreOptions options) {
    this.options = options;
  }

  /** Replaces the options; a degraded signal remains so until it recovers by the new ones. */
  public void reconfigure(HealthScoreOptions newOptions) {
    options = newOptions;
    states.keySet().retainAll(newOptions.bounds().keySet());
  }

  /**
   * Updates the signals with newly measured values. A signal without a value keeps its state.
   *
   * @return the sum of the priority decrements of all degraded signals
   */
  public int update(Map<HealthSignal, Double> values, Timestamp now) {
    int reduction = 0;
    for (Map.Entry<HealthSignal, SignalBounds> entry : options.bounds().entrySet()) {
      SignalState state = states.computeIfAbsent(entry.getKey(), k -> new SignalState());
      Double value = values.get(entry.getKey());
      if (value != null) {
        updateSignal(state, entry.getValue(), value, now);
      }
      reduction += state.degraded ? entry.getValue().priorityDecrement() : 0;
    }
    return reduction;
  }

  private void updateSignal(SignalState state, SignalBounds bounds, double value, Timestamp now) {
    boolean unhealthy = value >= bounds.unhealthyFrom();
    boolean healthy = value < bounds.healthyBelow();
    state.unhealthySince =
        !unhealthy ? null : state.unhealthySince == null ? now : state.unhealthySince;
    state.healthySince = !healthy ? null : state.healthySince == null ? now : state.healthySince;
    TimeSpan holdDown = options.recoveryHoldDown().times(1 << state.holdDownDoublings);
    if (!state.degraded
        && unhealthy
        && now.since(state.unhealthySince).compareTo(options.sustainedFor()) >= 0) {
      state.degraded = true;
      boolean relapsed =
          state.recoveredAt != null
              && now.since(state.recoveredAt).compareTo(holdDown.times(2)) < 0;
      state.holdDownDoublings =
          relapsed ? Math.min(state.holdDownDoublings + 1, options.maxHoldDownDoublings()) : 0;
    } else if (state.degraded
        && healthy
        && now.since(state.healthySince).compareTo(holdDown) >= 0) {
      state.degraded = false;
      state.recoveredAt = now;
    }
  }

  /** The signals that are degraded now. */
  public List<HealthSignal> degradedSignals() {
    List<HealthSignal> degraded = new ArrayList<>();
    states.forEach(
        (signal, state) -> {
          if (state.degraded) {
            degraded.add(signal);
          }
        });
    return degraded;
  }
}

package cobaltseam.service;

import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Translates the start times of engines, which the endpoint list gives by the wall clock, to the
 * monotonic clock of this process. The wall clock of this machine, of the engine's or of both may
 * have been stepped since this process started, so a start has two possible ages: by the wall clock
 * now, and by the wall clock when this process started. The lower one counts, since an engine that
 * is taken for younger than it is gets less load than it can bear, and never more. No start lies in
 * the future. Each start is translated once, however often the list repeats it. Confined to the
 * event-loop thread.
 */
final class EngineStartTimes {
  /** A difference of the two clocks up to this is not a step, but the resolution of the clocks. */
  private static final TimeSpan MAX_CLOCK_DRIFT_US = new TimeSpan(100_000);

  /** A start as the endpoint list gives it, and its translation. */
  private record EngineStart(Timestamp listed, Timestamp translated) {}

  private final Map<EngineId, EngineStart> starts = new HashMap<>();

  /**
   * Translates the start times of an event.
   *
   * @param now the monotonic clock, as microseconds since the epoch
   * @param wallNow the wall clock
   */
  WatchEvent translate(WatchEvent event, Timestamp now, Timestamp wallNow) {
    List<EndpointStatus> endpoints =
        event.endpoints().stream().map(status -> translate(status, now, wallNow)).toList();
    return new WatchEvent(event.offset(), event.isComplete(), endpoints, event.addresses());
  }

  private EndpointStatus translate(EndpointStatus status, Timestamp now, Timestamp wallNow) {
    if (status.startedAt().us() == 0) {
      return status;
    }
    EngineStart start = starts.get(status.engine());
    if (start == null || !start.listed.equals(status.startedAt())) {
      start = new EngineStart(status.startedAt(), translate(status.startedAt(), now, wallNow));
      starts.put(status.engine(), start);
    }
    if (status.state() == EndpointState.REMOVED) {
      starts.remove(status.engine());
    }
    return new EndpointStatus(
        status.engine(),
        status.location(),
        status.machineType(),
        status.group(),
        status.state(),
        start.translated);
  }

  private static Timestamp translate(Timestamp listed, Timestamp now, Timestamp wallNow) {
    TimeSpan age = now.since(listed);
    TimeSpan wallAge = wallNow.since(listed);
    boolean isStepped =
        age.minus(wallAge).max(wallAge.minus(age)).compareTo(MAX_CLOCK_DRIFT_US) > 0;
    boolean isInFuture = age.plus(MAX_CLOCK_DRIFT_US).compareTo(TimeSpan.ZERO) < 0;
    if (!isStepped && !isInFuture) {
      return listed;
    }
    return now.minus(age.max(TimeSpan.ZERO).min(wallAge.max(TimeSpan.ZERO)));
  }
}

package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.MachineType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** All engines that are listed, have attempts in flight or are warming up, by id. */
final class EngineTable {
  private final RandomGenerator random;
  private final Map<MachineTypeId, MachineType> machineTypes = new HashMap<>();
  private final TreeMap<EngineId, EngineState> engines = new TreeMap<>();
  private List<EngineState> sortedById = List.of();
  private SlowStart slowStart;

  EngineTable(RandomGenerator random) {
    this.random = random;
  }

  /** Sets the machine types and the slow start for the engines of later endpoint lists. */
  void configureNewEngines(List<MachineType> types, SlowStart newSlowStart) {
    machineTypes.clear();
    types.forEach(t -> machineTypes.put(t.id(), t));
    slowStart = newSlowStart;
  }

  /** Applies changed settings to the present engines. */
  void applySettings(int requestClasses, Timestamp now) {
    for (EngineState engine : engines.values()) {
      MachineType type = machineTypes.get(engine.machineType());
      engine.applySettings(type, slowStart, requestClasses, now);
    }
  }

  /**
   * Applies an endpoint list; if it names an engine more than once, a state other than up takes
   * precedence over up.
   */
  void update(List<EndpointStatus> list, boolean complete, int requestClasses, Timestamp now) {
    if (complete) {
      engines.values().forEach(EngineState::markRemoved);
    }
    for (EndpointStatus status :
        list.stream().sorted(Comparator.comparing(EndpointStatus::state)).toList()) {
      EngineState engine =
          engines.computeIfAbsent(
              status.engine(), id -> new EngineState(id, requestClasses, random.nextDouble(), now));
      engine.update(status, machineTypes.get(status.machineType()), slowStart, now);
    }
    engines.values().removeIf(e -> e.canBeDeleted(now));
    sortedById = new ArrayList<>(engines.values());
  }

  /** Returns the engine with this id, or null if it is unknown. */
  EngineState get(EngineId id) {
    return engines.get(id);
  }

  /** Returns the engines sorted by id, as of the last endpoint list. */
  List<EngineState> sortedById() {
    return sortedById;
  }

  void resample(EngineState engine, Timestamp now) {
    engine.warmup().resample(random.nextDouble(), engine.cores(), now);
  }
}

package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.MachineType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** The engines of the endpoint list and those that still have attempts, by id. */
final class EngineTable {
  private final RandomGenerator random;
  private final Map<MachineTypeId, MachineType> machineTypes = new HashMap<>();
  private final TreeMap<EngineId, EngineState> engines = new TreeMap<>();
  private List<EngineState> sorted = List.of();
  private SlowStart slowStart;

  EngineTable(RandomGenerator random) {
    this.random = random;
  }

  /** Sets what engines of later updates of the list go by. */
  void setSettings(List<MachineType> types, SlowStart newSlowStart) {
    machineTypes.clear();
    types.forEach(t -> machineTypes.put(t.id(), t));
    slowStart = newSlowStart;
  }

  /** Lets the present engines go on under the settings. */
  void applySettings(int requestClasses, Timestamp now) {
    for (EngineState engine : engines.values()) {
      MachineType type = machineTypes.get(engine.machineType());
      engine.applySettings(type, slowStart, requestClasses, now);
    }
  }

  /** Within one list, not being up overrules being up. */
  void update(List<EndpointStatus> list, boolean complete, int requestClasses, Timestamp now) {
    if (complete) {
      engines.values().forEach(EngineState::markGone);
    }
    for (EndpointStatus status :
        list.stream().sorted(Comparator.comparing(EndpointStatus::state)).toList()) {
      EngineState engine =
          engines.computeIfAbsent(
              status.engine(), id -> new EngineState(id, requestClasses, random.nextDouble(), now));
      engine.update(status, machineTypes.get(status.machineType()), slowStart, now);
    }
    engines.values().removeIf(e -> e.canBeForgotten(now));
    sorted = new ArrayList<>(engines.values());
  }

  /** Null for an unknown engine. */
  EngineState get(EngineId id) {
    return engines.get(id);
  }

  /** By id, as of the last update of the list. */
  List<EngineState> sorted() {
    return sorted;
  }

  void redraw(EngineState engine, Timestamp now) {
    engine.warmup().redraw(random.nextDouble(), engine.cores(), now);
  }
}

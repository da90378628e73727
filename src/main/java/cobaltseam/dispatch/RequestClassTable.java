package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.RequestClass;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Holds all request classes, including those of earlier settings that still have open requests. */
final class RequestClassTable {
  private static final int HIGH_ENGINE_PRIORITY = 3;
  private static final int LOW_ENGINE_PRIORITY = 1;

  private final Map<RequestClassId, RequestClassStats> classes = new HashMap<>();

  /** Replaces all classes; a class with an unchanged thread count keeps its estimates. */
  void applySettings(
      Deployment deployment, TimeSpan shortestObjective, Set<RequestClassStats> open) {
    Map<RequestClassId, RequestClassStats> before = new HashMap<>(classes);
    classes.clear();
    for (RequestClass definition : deployment.requestClasses()) {
      classes.put(definition.id(), newClass(definition, deployment, shortestObjective));
    }
    before.forEach(
        (id, earlier) -> {
          RequestClassStats current = classes.get(id);
          if (current == null && open.contains(earlier)) {
            earlier.retire(classes.size());
            classes.put(id, earlier);
          } else if (current != null && current.threads() == earlier.threads()) {
            current.continueFrom(earlier);
          }
        });
  }

  private RequestClassStats newClass(
      RequestClass definition, Deployment deployment, TimeSpan shortestObjective) {
    // A load of a data set that other requests wait for has priority: the sooner it ends, the fewer
    // requests wait.
    boolean blocksOthers =
        definition.loadsDataSet()
            && deployment.requestClasses().stream().anyMatch(RequestClass::waitsForLoads);
    boolean hasHighPriority =
        blocksOthers || definition.latencyObjective().compareTo(shortestObjective) <= 0;
    return new RequestClassStats(
        definition,
        RequestRules.of(definition, deployment),
        hasHighPriority ? HIGH_ENGINE_PRIORITY : LOW_ENGINE_PRIORITY,
        classes.size());
  }

  /** Returns the class with this id, or null if it is unknown. */
  RequestClassStats get(RequestClassId id) {
    return classes.get(id);
  }

  Collection<RequestClassStats> all() {
    return classes.values();
  }

  int size() {
    return classes.size();
  }
}

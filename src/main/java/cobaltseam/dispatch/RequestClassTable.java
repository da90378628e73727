package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.RequestClass;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** All classes of requests, with those of earlier settings that still have open requests. */
final class RequestClassTable {
  private static final int HIGH_ENGINE_PRIORITY = 3;
  private static final int LOW_ENGINE_PRIORITY = 1;

  private final Map<RequestClassId, RequestClassStats> classes = new HashMap<>();

  /** Replaces all classes; those of the same width continue from what was learnt before. */
  void applySettings(
      Deployment deployment, TimeSpan shortestObjective, Set<RequestClassStats> open) {
    Map<RequestClassId, RequestClassStats> before = new HashMap<>(classes);
    classes.clear();
    for (RequestClass definition : deployment.requestClasses()) {
      classes.put(definition.id(), newClass(definition, deployment, shortestObjective));
    }
    before.forEach(
        (id, earlier) -> {
          RequestClassStats present = classes.get(id);
          if (present == null && open.contains(earlier)) {
            earlier.retire(classes.size());
            classes.put(id, earlier);
          } else if (present != null && present.threads() == earlier.threads()) {
            present.continueFrom(earlier);
          }
        });
  }

  private RequestClassStats newClass(
      RequestClass definition, Deployment deployment, TimeSpan shortestObjective) {
    // A load of a data set that others wait for goes first: the sooner it ends, the fewer wait.
    boolean blocksOthers =
        definition.loadsDataSet()
            && deployment.requestClasses().stream().anyMatch(RequestClass::waitsForLoads);
    boolean first = blocksOthers || definition.latencyObjective().compareTo(shortestObjective) <= 0;
    return new RequestClassStats(
        definition,
        RequestRules.of(definition, deployment),
        first ? HIGH_ENGINE_PRIORITY : LOW_ENGINE_PRIORITY,
        classes.size());
  }

  /** Null for an unknown class. */
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

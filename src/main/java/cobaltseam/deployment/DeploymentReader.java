package cobaltseam.deployment;

import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.LocationId;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import java.util.ArrayList;
import java.util.List;

/** Turns the wire's start-up parameters into what a dispatcher is told of its deployment. */
public final class DeploymentReader {
  /**
   * The names in load reports of what an engine holds waiting for memory, and of all that it holds.
   */
  public static final String QUEUE_REPORT = "pending";

  public static final String IN_HAND_REPORT = "busy_reqs";

  private DeploymentReader() {}

  public static Deployment read(JsonObjectReader told) {
    JsonObjectReader family = told.object("family_info");
    List<Double> threads = family.numbers("width_by_class");
    List<Boolean> loads = family.flags("writes_tables");
    List<Boolean> waits = family.flags("waits_for_loads");
    List<Deployment.RequestClass> profiles = new ArrayList<>();
    for (JsonObjectReader f : told.objects("classes")) {
      int index = profiles.size();
      profiles.add(
          profile(
              f,
              index < threads.size() ? threads.get(index).intValue() : 1,
              index < loads.size() && loads.get(index),
              index < waits.size() && waits.get(index)));
    }
    List<Double> cores = family.numbers("cores_by_kind");
    List<Double> memory = family.numbers("ram_of_kind_mb");
    List<Deployment.MachineType> kinds = new ArrayList<>();
    for (String kind : told.texts("machine_types")) {
      int index = kinds.size();
      kinds.add(
          new Deployment.MachineType(
              new MachineTypeId(kind),
              index < cores.size() ? cores.get(index) : 1,
              index < memory.size() ? memory.get(index) : 0));
    }
    List<Deployment.Quota> shares = new ArrayList<>();
    if (told.has("projects")) {
      for (JsonObjectReader f : told.objects("projects")) {
        shares.add(new Deployment.Quota(new TenantId(f.text("name")), f.number("quota_rps", 0)));
      }
    }
    for (Deployment.RequestClass p : profiles) {
      if (p.machineTypes() != null
          && !kinds.stream()
              .map(Deployment.MachineType::id)
              .toList()
              .containsAll(p.machineTypes())) {
        throw new InvalidInputException(
            "classes: 'runs_on' of " + p.id().value() + " names a kind not in 'machine_types'");
      }
    }
    return new Deployment(
        (int) told.whole("position"),
        (int) told.whole("balancers"),
        profiles,
        kinds,
        shares,
        told.number("over_share_worth", 1),
        rules(told.object("rules")),
        means(told, told.object("limits"), family),
        place(told));
  }

  private static Deployment.Place place(JsonObjectReader told) {
    String zone = told.text("zone", null);
    boolean costs = told.has("prices") && told.object("prices").number("cross_zone", 0) > 0;
    return zone == null
        ? Deployment.Place.UNKNOWN
        : new Deployment.Place(new LocationId(zone), costs);
  }

  private static Deployment.RequestClass profile(
      JsonObjectReader f, int threads, boolean load, boolean waits) {
    String repeat = f.text("repeat");
    String scope = f.text("key_scope", "all");
    return new Deployment.RequestClass(
        new RequestClassId(f.text("name")),
        threads,
        f.number("importance", 1),
        f.number("late_value", 0),
        span(f, "aim_us"),
        f.number("aim_stretch", 0),
        span(f, "hard_limit_us"),
        switch (repeat) {
          case "read_like" -> Deployment.RetrySafety.IDEMPOTENT;
          case "idempotency_key" -> Deployment.RetrySafety.IDEMPOTENT_WITH_KEY;
          case "non_idempotent" -> Deployment.RetrySafety.NOT_IDEMPOTENT;
          default -> throw new InvalidInputException("classes: unknown 'repeat' " + repeat);
        },
        switch (scope) {
          case "all" -> Deployment.DeduplicationScope.ALL;
          case "zone" -> Deployment.DeduplicationScope.LOCATION;
          case "cell" -> Deployment.DeduplicationScope.GROUP;
          default -> throw new InvalidInputException("classes: unknown 'key_scope' " + scope);
        },
        new TimeSpan(f.whole("window_us", 0)),
        f.flag("in_order"),
        f.has("confined_to") ? f.texts("confined_to").stream().map(LocationId::new).toList() : null,
        f.has("runs_on") ? f.texts("runs_on").stream().map(MachineTypeId::new).toList() : null,
        load,
        waits);
  }

  private static Deployment.Rules rules(JsonObjectReader f) {
    // The budget of further sends binds where it is given: a figure that can't be kept is refused.
    if (f.has("counted_over_us")
        && (f.whole("counted_over_us") <= 0
            || f.number("spare_attempts", 0) < 0
            || f.number("repeat_ratio", 0) < 0)) {
      throw new InvalidInputException(
          "rules: 'counted_over_us' above 0, 'spare_attempts' and 'repeat_ratio' not below 0");
    }
    return new Deployment.Rules(
        f.number("cold_from", 1),
        new TimeSpan(f.whole("warm_within_us", 0)),
        f.number("fall_multiple", 1),
        new TimeSpan(f.whole("overload_for_us", 0)),
        new TimeSpan(f.whole("key_rest_us", 0)),
        f.has("counted_over_us") ? f.number("spare_attempts", 0) : null,
        f.has("counted_over_us") ? f.number("repeat_ratio", 0) : null,
        f.has("counted_over_us") ? span(f, "counted_over_us") : null);
  }

  private static Deployment.Capabilities means(
      JsonObjectReader told, JsonObjectReader limits, JsonObjectReader family) {
    String whenShort = family.text("out_of_memory", "shrink");
    if (!List.of("wait", "shrink", "page").contains(whenShort)) {
      throw new InvalidInputException("family_info: unknown 'out_of_memory' " + whenShort);
    }
    if (limits.whole("most_tries", 1) < 1 || limits.whole("max_retry_after_us", 0) < 0) {
      throw new InvalidInputException(
          "limits: 'most_tries' at least 1, 'max_retry_after_us' not below 0");
    }
    return new Deployment.Capabilities(
        span(told, "tick_us"),
        (int) limits.whole("most_tries", 1),
        limits.flag("cancel"),
        family.flag("ranks_heeded"),
        limits.flag("retry_after"),
        new TimeSpan(limits.whole("max_retry_after_us", 0)),
        new TimeSpan(family.whole("tells_every_us", 0)),
        family.flag("takes_grants"));
  }

  private static TimeSpan span(JsonObjectReader f, String name) {
    return new TimeSpan(f.whole(name));
  }
}

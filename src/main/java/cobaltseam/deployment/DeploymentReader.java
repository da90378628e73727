package cobaltseam.deployment;

import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.LocationId;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import java.util.ArrayList;
import java.util.List;

/** Converts the platform's start-up parameters to a {@link Deployment}. */
public final class DeploymentReader {
  /**
   * The field of an engine's load report that holds the number of requests that wait for memory.
   */
  public static final String QUEUED_REPORT_FIELD = "pending";

  /**
   * The field of an engine's load report that holds the number of requests in flight, including
   * those that wait for memory.
   */
  public static final String IN_FLIGHT_REPORT_FIELD = "busy_reqs";

  private DeploymentReader() {}

  /**
   * Reads a deployment from the platform's parameters.
   *
   * @throws InvalidInputException if a field is missing or invalid
   */
  public static Deployment read(JsonObjectReader parameters) {
    JsonObjectReader family = parameters.object("family_info");
    List<Deployment.RequestClass> requestClasses = requestClasses(parameters, family);
    List<Deployment.MachineType> machineTypes = machineTypes(parameters, family);
    List<Deployment.Quota> quotas = quotas(parameters);
    requireKnownMachineTypes(requestClasses, machineTypes);
    return new Deployment(
        (int) parameters.integer("position"),
        (int) parameters.integer("balancers"),
        requestClasses,
        machineTypes,
        quotas,
        parameters.number("over_share_worth", 1),
        rules(parameters.object("rules")),
        capabilities(parameters, parameters.object("limits"), family),
        dispatcherSite(parameters));
  }

  private static List<Deployment.RequestClass> requestClasses(
      JsonObjectReader parameters, JsonObjectReader family) {
    List<Double> threads = family.numbers("width_by_class");
    List<Boolean> isLoad = family.flags("writes_tables");
    List<Boolean> waitsForLoads = family.flags("waits_for_loads");
    List<Deployment.RequestClass> requestClasses = new ArrayList<>();
    for (JsonObjectReader fields : parameters.objects("classes")) {
      int index = requestClasses.size();
      requestClasses.add(
          requestClass(
              fields,
              index < threads.size() ? threads.get(index).intValue() : 1,
              index < isLoad.size() && isLoad.get(index),
              index < waitsForLoads.size() && waitsForLoads.get(index)));
    }
    return requestClasses;
  }

  private static Deployment.RequestClass requestClass(
      JsonObjectReader fields, int threads, boolean isLoad, boolean waitsForLoads) {
    return new Deployment.RequestClass(
        new RequestClassId(fields.text("name")),
        threads,
        fields.number("importance", 1),
        fields.number("late_value", 0),
        timeSpan(fields, "aim_us"),
        fields.number("aim_stretch", 0),
        timeSpan(fields, "hard_limit_us"),
        retrySafety(fields.text("repeat")),
        deduplicationScope(fields.text("key_scope", "all")),
        new TimeSpan(fields.integer("window_us", 0)),
        fields.flag("in_order"),
        fields.has("confined_to")
            ? fields.texts("confined_to").stream().map(LocationId::new).toList()
            : null,
        fields.has("runs_on")
            ? fields.texts("runs_on").stream().map(MachineTypeId::new).toList()
            : null,
        isLoad,
        waitsForLoads);
  }

  private static Deployment.RetrySafety retrySafety(String repeat) {
    return switch (repeat) {
      case "read_like" -> Deployment.RetrySafety.IDEMPOTENT;
      case "idempotency_key" -> Deployment.RetrySafety.IDEMPOTENT_WITH_KEY;
      case "non_idempotent" -> Deployment.RetrySafety.NOT_IDEMPOTENT;
      default -> throw new InvalidInputException("classes: unknown 'repeat' " + repeat);
    };
  }

  private static Deployment.DeduplicationScope deduplicationScope(String scope) {
    return switch (scope) {
      case "all" -> Deployment.DeduplicationScope.ALL;
      case "zone" -> Deployment.DeduplicationScope.LOCATION;
      case "cell" -> Deployment.DeduplicationScope.GROUP;
      default -> throw new InvalidInputException("classes: unknown 'key_scope' " + scope);
    };
  }

  private static List<Deployment.MachineType> machineTypes(
      JsonObjectReader parameters, JsonObjectReader family) {
    List<Double> cores = family.numbers("cores_by_kind");
    List<Double> memoryMb = family.numbers("ram_of_kind_mb");
    List<Deployment.MachineType> machineTypes = new ArrayList<>();
    for (String name : parameters.texts("machine_types")) {
      int index = machineTypes.size();
      machineTypes.add(
          new Deployment.MachineType(
              new MachineTypeId(name),
              index < cores.size() ? cores.get(index) : 1,
              index < memoryMb.size() ? memoryMb.get(index) : 0));
    }
    return machineTypes;
  }

  private static List<Deployment.Quota> quotas(JsonObjectReader parameters) {
    List<Deployment.Quota> quotas = new ArrayList<>();
    if (parameters.has("projects")) {
      for (JsonObjectReader fields : parameters.objects("projects")) {
        quotas.add(
            new Deployment.Quota(new TenantId(fields.text("name")), fields.number("quota_rps", 0)));
      }
    }
    return quotas;
  }

  private static void requireKnownMachineTypes(
      List<Deployment.RequestClass> requestClasses, List<Deployment.MachineType> machineTypes) {
    List<MachineTypeId> known = machineTypes.stream().map(Deployment.MachineType::id).toList();
    for (Deployment.RequestClass requestClass : requestClasses) {
      if (requestClass.machineTypes() != null && !known.containsAll(requestClass.machineTypes())) {
        throw new InvalidInputException(
            "classes: 'runs_on' of "
                + requestClass.id().value()
                + " names a machine type that is not in 'machine_types'");
      }
    }
  }

  private static Deployment.Rules rules(JsonObjectReader fields) {
    boolean hasRetryBudget = fields.has("counted_over_us");
    // A configured retry budget is enforced, so values that can't be enforced are an error.
    if (hasRetryBudget
        && (fields.integer("counted_over_us") <= 0
            || fields.number("spare_attempts", 0) < 0
            || fields.number("repeat_ratio", 0) < 0)) {
      throw new InvalidInputException(
          "rules: 'counted_over_us' must be above 0, "
              + "'spare_attempts' and 'repeat_ratio' not below 0");
    }
    return new Deployment.Rules(
        fields.number("cold_from", 1),
        new TimeSpan(fields.integer("warm_within_us", 0)),
        fields.number("fall_multiple", 1),
        new TimeSpan(fields.integer("overload_for_us", 0)),
        new TimeSpan(fields.integer("key_rest_us", 0)),
        hasRetryBudget ? fields.number("spare_attempts", 0) : null,
        hasRetryBudget ? fields.number("repeat_ratio", 0) : null,
        hasRetryBudget ? timeSpan(fields, "counted_over_us") : null);
  }

  private static Deployment.Capabilities capabilities(
      JsonObjectReader parameters, JsonObjectReader limits, JsonObjectReader family) {
    String outOfMemory = family.text("out_of_memory", "shrink");
    if (!List.of("wait", "shrink", "page").contains(outOfMemory)) {
      throw new InvalidInputException("family_info: unknown 'out_of_memory' " + outOfMemory);
    }
    if (limits.integer("most_tries", 1) < 1 || limits.integer("max_retry_after_us", 0) < 0) {
      throw new InvalidInputException(
          "limits: 'most_tries' must be at least 1, 'max_retry_after_us' not below 0");
    }
    return new Deployment.Capabilities(
        timeSpan(parameters, "tick_us"),
        (int) limits.integer("most_tries", 1),
        limits.flag("cancel"),
        family.flag("ranks_heeded"),
        limits.flag("retry_after"),
        new TimeSpan(limits.integer("max_retry_after_us", 0)),
        new TimeSpan(family.integer("tells_every_us", 0)),
        family.flag("takes_grants"));
  }

  private static Deployment.DispatcherSite dispatcherSite(JsonObjectReader parameters) {
    String zone = parameters.text("zone", null);
    boolean isCrossZonePriced =
        parameters.has("prices") && parameters.object("prices").number("cross_zone", 0) > 0;
    return zone == null
        ? Deployment.DispatcherSite.UNKNOWN
        : new Deployment.DispatcherSite(new LocationId(zone), isCrossZonePriced);
  }

  private static TimeSpan timeSpan(JsonObjectReader fields, String name) {
    return new TimeSpan(fields.integer(name));
  }
}

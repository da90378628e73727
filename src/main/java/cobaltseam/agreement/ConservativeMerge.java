package cobaltseam.agreement;

import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.MachineType;
import cobaltseam.dispatch.Deployment.Quota;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.TimeSpan;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.Function;

/**
 * Merges two deployments conservatively: a dispatcher that acts on the result violates neither of
 * them. Values can contradict each other where dispatchers give a guarantee together, or where the
 * capacity of an engine is concerned. Any other value concerns only the dispatcher that uses it; it
 * is taken from the later deployment.
 */
public final class ConservativeMerge {
  /**
   * For each record component of a deployment, how two values are merged; "never" means that two
   * values never contradict each other. A test compares the keys with the record components.
   */
  static final Map<String, String> TABLE = table();

  private ConservativeMerge() {}

  private static Map<String, String> table() {
    Map<String, String> table = new LinkedHashMap<>();
    table.put("Deployment.dispatcherIndex", "never: each dispatcher has its own");
    table.put(
        "Deployment.dispatcherCount",
        "the larger: each dispatcher uses a smaller share of an engine");
    table.put("Deployment.requestClasses", "the union, merged by id");
    table.put("Deployment.machineTypes", "the union, merged by id");
    table.put("Deployment.quotas", "the union, merged by tenant");
    table.put("Deployment.overQuotaWeight", "the smaller");
    table.put("Deployment.rules", "each component separately");
    table.put("Deployment.capabilities", "each component separately");
    table.put("Deployment.site", "never: each dispatcher has its own");
    table.put("RequestClass.id", "never");
    table.put("RequestClass.threads", "the larger: fewer requests run on an engine at once");
    table.put("RequestClass.priorityWeight", "never");
    table.put("RequestClass.latePriorityWeight", "never");
    table.put("RequestClass.latencyObjective", "never");
    table.put("RequestClass.objectivePerWork", "never");
    table.put(
        "RequestClass.deadline",
        "the smaller: no request runs on after another dispatcher considers it ended");
    table.put("RequestClass.retrySafety", "the stricter");
    table.put("RequestClass.deduplicationScope", "the narrower");
    table.put("RequestClass.deduplicationWindow", "the shorter");
    table.put("RequestClass.isOrdered", "true if either is true");
    table.put("RequestClass.locations", "the intersection");
    table.put("RequestClass.machineTypes", "the intersection");
    table.put("RequestClass.loadsDataSet", "never: only affects the choice of an engine");
    table.put("RequestClass.waitsForLoads", "never: only affects the choice of an engine");
    table.put("MachineType.id", "never");
    table.put("MachineType.cores", "the smaller");
    table.put("MachineType.memoryMb", "the smaller");
    table.put("Quota.tenant", "never");
    table.put("Quota.perSecond", "the smaller");
    table.put("Rules.slowStartFraction", "the smaller");
    table.put("Rules.slowStartDuration", "the longer");
    table.put("Rules.slowStartLimitFactor", "the smaller");
    table.put("Rules.slowStartWindow", "the longer");
    table.put("Rules.sequenceKeyRest", "the longer");
    table.put("Rules.freeRetries", "the smaller; null means unlimited");
    table.put("Rules.retryRatio", "the smaller; null means unlimited");
    table.put("Rules.retryWindow", "the longer");
    table.put("Capabilities.clockTick", "never");
    table.put("Capabilities.maxAttempts", "the smaller");
    table.put("Capabilities.canCancel", "only if both say so");
    table.put("Capabilities.hasEnginePriorities", "only if both say so");
    table.put("Capabilities.allowsRetryAfter", "only if both say so");
    table.put("Capabilities.maxRetryAfter", "the smaller");
    table.put("Capabilities.progressInterval", "never");
    table.put("Capabilities.hasMemoryGrants", "only if both say so");
    return Map.copyOf(table);
  }

  /**
   * Whether a dispatcher that acts on one deployment can break a guarantee that a dispatcher that
   * acts on the other relies on.
   */
  public static boolean contradict(Deployment one, Deployment other) {
    return !merge(one, other).equals(other) || !merge(other, one).equals(one);
  }

  /**
   * The conservative merge of two deployments. Values that do not contradict each other are taken
   * from the later one.
   */
  public static Deployment merge(Deployment earlier, Deployment later) {
    return new Deployment(
        later.dispatcherIndex(),
        Math.max(earlier.dispatcherCount(), later.dispatcherCount()),
        mergeLists(
            earlier.requestClasses(),
            later.requestClasses(),
            RequestClass::id,
            ConservativeMerge::mergeRequestClass),
        mergeLists(
            earlier.machineTypes(),
            later.machineTypes(),
            MachineType::id,
            ConservativeMerge::mergeMachineType),
        mergeLists(
            earlier.quotas(),
            later.quotas(),
            Quota::tenant,
            (one, other) ->
                new Quota(other.tenant(), Math.min(one.perSecond(), other.perSecond()))),
        Math.min(earlier.overQuotaWeight(), later.overQuotaWeight()),
        mergeRules(earlier.rules(), later.rules()),
        mergeCapabilities(earlier.capabilities(), later.capabilities()),
        later.site());
  }

  private static MachineType mergeMachineType(MachineType earlier, MachineType later) {
    return new MachineType(
        later.id(),
        Math.min(earlier.cores(), later.cores()),
        Math.min(earlier.memoryMb(), later.memoryMb()));
  }

  /**
   * The settings of a dispatcher that may have missed a later version: one attempt per request, no
   * retries and no cancellation. Quotas, placement and the number of dispatchers stay unchanged,
   * since none of their values is compatible with every value that a later version may have.
   */
  public static Deployment withoutRetries(Deployment deployment) {
    List<RequestClass> requestClasses =
        deployment.requestClasses().stream()
            .map(
                requestClass ->
                    new RequestClass(
                        requestClass.id(),
                        requestClass.threads(),
                        requestClass.priorityWeight(),
                        requestClass.latePriorityWeight(),
                        requestClass.latencyObjective(),
                        requestClass.objectivePerWork(),
                        requestClass.deadline(),
                        RetrySafety.NOT_IDEMPOTENT,
                        requestClass.deduplicationScope(),
                        requestClass.deduplicationWindow(),
                        requestClass.isOrdered(),
                        requestClass.locations(),
                        requestClass.machineTypes(),
                        requestClass.loadsDataSet(),
                        requestClass.waitsForLoads()))
            .toList();
    Capabilities capabilities = deployment.capabilities();
    return new Deployment(
        deployment.dispatcherIndex(),
        deployment.dispatcherCount(),
        requestClasses,
        deployment.machineTypes(),
        deployment.quotas(),
        deployment.overQuotaWeight(),
        deployment.rules(),
        new Capabilities(
            capabilities.clockTick(),
            1,
            false,
            capabilities.hasEnginePriorities(),
            capabilities.allowsRetryAfter(),
            capabilities.maxRetryAfter(),
            capabilities.progressInterval(),
            capabilities.hasMemoryGrants()),
        deployment.site());
  }

  /**
   * The later items in their order, each merged with the earlier item of the same id if there is
   * one, followed by the items that only the earlier list has.
   */
  private static <T, K> List<T> mergeLists(
      List<T> earlier, List<T> later, Function<T, K> id, BinaryOperator<T> merge) {
    List<T> merged = new ArrayList<>();
    for (T item : later) {
      T previous =
          earlier.stream()
              .filter(other -> id.apply(other).equals(id.apply(item)))
              .findFirst()
              .orElse(item);
      merged.add(merge.apply(previous, item));
    }
    earlier.stream()
        .filter(item -> later.stream().noneMatch(other -> id.apply(item).equals(id.apply(other))))
        .forEach(merged::add);
    return List.copyOf(merged);
  }

  private static RequestClass mergeRequestClass(RequestClass earlier, RequestClass later) {
    return new RequestClass(
        later.id(),
        Math.max(earlier.threads(), later.threads()),
        later.priorityWeight(),
        later.latePriorityWeight(),
        later.latencyObjective(),
        later.objectivePerWork(),
        shorter(earlier.deadline(), later.deadline()),
        stricter(earlier.retrySafety(), later.retrySafety()),
        stricter(earlier.deduplicationScope(), later.deduplicationScope()),
        shorter(earlier.deduplicationWindow(), later.deduplicationWindow()),
        earlier.isOrdered() || later.isOrdered(),
        intersection(earlier.locations(), later.locations()),
        intersection(earlier.machineTypes(), later.machineTypes()),
        later.loadsDataSet(),
        later.waitsForLoads());
  }

  private static Rules mergeRules(Rules earlier, Rules later) {
    return new Rules(
        Math.min(earlier.slowStartFraction(), later.slowStartFraction()),
        longer(earlier.slowStartDuration(), later.slowStartDuration()),
        Math.min(earlier.slowStartLimitFactor(), later.slowStartLimitFactor()),
        longer(earlier.slowStartWindow(), later.slowStartWindow()),
        longer(earlier.sequenceKeyRest(), later.sequenceKeyRest()),
        smallerLimit(earlier.freeRetries(), later.freeRetries()),
        smallerLimit(earlier.retryRatio(), later.retryRatio()),
        earlier.retryWindow() == null
            ? later.retryWindow()
            : later.retryWindow() == null
                ? earlier.retryWindow()
                : longer(earlier.retryWindow(), later.retryWindow()));
  }

  private static Capabilities mergeCapabilities(Capabilities earlier, Capabilities later) {
    return new Capabilities(
        later.clockTick(),
        Math.min(earlier.maxAttempts(), later.maxAttempts()),
        earlier.canCancel() && later.canCancel(),
        earlier.hasEnginePriorities() && later.hasEnginePriorities(),
        earlier.allowsRetryAfter() && later.allowsRetryAfter(),
        shorter(earlier.maxRetryAfter(), later.maxRetryAfter()),
        later.progressInterval(),
        earlier.hasMemoryGrants() && later.hasMemoryGrants());
  }

  /** The smaller of two limits; null means unlimited. */
  private static Double smallerLimit(Double earlier, Double later) {
    return earlier == null
        ? later
        : later == null ? earlier : Double.valueOf(Math.min(earlier, later));
  }

  /** The stricter of two constants; these enums list their constants from the loosest on. */
  private static <E extends Enum<E>> E stricter(E earlier, E later) {
    return earlier.compareTo(later) > 0 ? earlier : later;
  }

  private static TimeSpan shorter(TimeSpan earlier, TimeSpan later) {
    return earlier.compareTo(later) < 0 ? earlier : later;
  }

  private static TimeSpan longer(TimeSpan earlier, TimeSpan later) {
    return earlier.compareTo(later) > 0 ? earlier : later;
  }

  /** The elements that both lists contain; null means that all are allowed. */
  private static <T> List<T> intersection(List<T> earlier, List<T> later) {
    return earlier == null
        ? later
        : later == null ? earlier : later.stream().filter(earlier::contains).toList();
  }
}

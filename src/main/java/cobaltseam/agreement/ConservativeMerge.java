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
 * The conservative merge of two deployments: a dispatcher that acts on it breaks neither. Values
 * contradict where dispatchers promise something together or an engine's capacity is concerned; a
 * value that a dispatcher uses for itself alone does not, and is taken from the later deployment.
 */
public final class ConservativeMerge {
  /**
   * For each record component of a deployment, how two values are merged; "never" means that they
   * do not contradict. A test compares the names with the records.
   */
  static final Map<String, String> TABLE = table();

  private ConservativeMerge() {}

  private static Map<String, String> table() {
    Map<String, String> table = new LinkedHashMap<>();
    table.put("Deployment.dispatcherIndex", "never: each has its own");
    table.put("Deployment.dispatcherCount", "the larger: each takes a smaller part of an engine");
    table.put("Deployment.requestClasses", "those of both");
    table.put("Deployment.machineTypes", "those of both");
    table.put("Deployment.quotas", "those of both");
    table.put("Deployment.overQuotaWeight", "the smaller");
    table.put("Deployment.rules", "part by part");
    table.put("Deployment.capabilities", "part by part");
    table.put("Deployment.site", "never: each stands somewhere");
    table.put("RequestClass.id", "never");
    table.put("RequestClass.threads", "the larger: an engine is filled less");
    table.put("RequestClass.priorityWeight", "never");
    table.put("RequestClass.latePriorityWeight", "never");
    table.put("RequestClass.latencyObjective", "never");
    table.put("RequestClass.objectivePerWork", "never");
    table.put(
        "RequestClass.deadline", "the smaller: nothing runs on where the other takes it for ended");
    table.put("RequestClass.retrySafety", "the stricter");
    table.put("RequestClass.deduplicationScope", "the narrower");
    table.put("RequestClass.deduplicationWindow", "the shorter");
    table.put("RequestClass.isOrdered", "in order if either says so");
    table.put("RequestClass.locations", "those that both allow");
    table.put("RequestClass.machineTypes", "those that both allow");
    table.put("RequestClass.loadsDataSet", "never: it guides the choice of an engine alone");
    table.put("RequestClass.waitsForLoads", "never: it guides the choice of an engine alone");
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
    table.put("Rules.freeRetries", "the smaller; none is without bound");
    table.put("Rules.retryRatio", "the smaller; none is without bound");
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

  /** Whether a dispatcher that acts on one breaks what another that acts on the other relies on. */
  public static boolean contradict(Deployment one, Deployment other) {
    return !merge(one, other).equals(other) || !merge(other, one).equals(one);
  }

  /** Settings that break neither; what does not contradict is as in the later ones. */
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
   * The settings of a dispatcher that may have missed a later version: one attempt a request, no
   * retry and no cancellation. Quotas, placement and the number of dispatchers stay as they are,
   * since no value of them is safe beside every other one.
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
   * The later items in their order, each merged with the earlier one of its id if there is one,
   * then the items that only the earlier list has.
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
        smaller(earlier.deadline(), later.deadline()),
        stricter(earlier.retrySafety(), later.retrySafety()),
        stricter(earlier.deduplicationScope(), later.deduplicationScope()),
        smaller(earlier.deduplicationWindow(), later.deduplicationWindow()),
        earlier.isOrdered() || later.isOrdered(),
        allowed(earlier.locations(), later.locations()),
        allowed(earlier.machineTypes(), later.machineTypes()),
        later.loadsDataSet(),
        later.waitsForLoads());
  }

  private static Rules mergeRules(Rules earlier, Rules later) {
    return new Rules(
        Math.min(earlier.slowStartFraction(), later.slowStartFraction()),
        larger(earlier.slowStartDuration(), later.slowStartDuration()),
        Math.min(earlier.slowStartLimitFactor(), later.slowStartLimitFactor()),
        larger(earlier.slowStartWindow(), later.slowStartWindow()),
        larger(earlier.sequenceKeyRest(), later.sequenceKeyRest()),
        smallerBound(earlier.freeRetries(), later.freeRetries()),
        smallerBound(earlier.retryRatio(), later.retryRatio()),
        earlier.retryWindow() == null
            ? later.retryWindow()
            : later.retryWindow() == null
                ? earlier.retryWindow()
                : larger(earlier.retryWindow(), later.retryWindow()));
  }

  private static Capabilities mergeCapabilities(Capabilities earlier, Capabilities later) {
    return new Capabilities(
        later.clockTick(),
        Math.min(earlier.maxAttempts(), later.maxAttempts()),
        earlier.canCancel() && later.canCancel(),
        earlier.hasEnginePriorities() && later.hasEnginePriorities(),
        earlier.allowsRetryAfter() && later.allowsRetryAfter(),
        smaller(earlier.maxRetryAfter(), later.maxRetryAfter()),
        later.progressInterval(),
        earlier.hasMemoryGrants() && later.hasMemoryGrants());
  }

  private static Double smallerBound(Double earlier, Double later) {
    return earlier == null
        ? later
        : later == null ? earlier : Double.valueOf(Math.min(earlier, later));
  }

  /** The constants of these enums are listed from the loosest on. */
  private static <E extends Enum<E>> E stricter(E earlier, E later) {
    return earlier.compareTo(later) > 0 ? earlier : later;
  }

  private static TimeSpan smaller(TimeSpan earlier, TimeSpan later) {
    return earlier.compareTo(later) < 0 ? earlier : later;
  }

  private static TimeSpan larger(TimeSpan earlier, TimeSpan later) {
    return earlier.compareTo(later) > 0 ? earlier : later;
  }

  /** Null allows all. */
  private static <T> List<T> allowed(List<T> earlier, List<T> later) {
    return earlier == null
        ? later
        : later == null ? earlier : later.stream().filter(earlier::contains).toList();
  }
}

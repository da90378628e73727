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
 * The cautious reading between two deployments: whoever acts on it breaks neither. What two
 * dispatchers promise together, or an engine bears, contradicts; what one decides for itself alone
 * does not, and is read as in the later one.
 */
public final class ConservativeMerge {
  /**
   * Of each part of what a dispatcher is told, what is read between two values; "never" does not
   * contradict.
   */
  static final Map<String, String> TABLE = table();

  private ConservativeMerge() {}

  private static Map<String, String> table() {
    Map<String, String> t = new LinkedHashMap<>();
    t.put("Deployment.dispatcherIndex", "never: each has its own");
    t.put("Deployment.dispatcherCount", "the larger: each takes a smaller part of an engine");
    t.put("Deployment.requestClasses", "those of both");
    t.put("Deployment.machineTypes", "those of both");
    t.put("Deployment.quotas", "those of both");
    t.put("Deployment.overQuotaWeight", "the smaller");
    t.put("Deployment.rules", "part by part");
    t.put("Deployment.capabilities", "part by part");
    t.put("Deployment.place", "never: each stands somewhere");
    t.put("RequestClass.id", "never");
    t.put("RequestClass.threads", "the larger: an engine is filled less");
    t.put("RequestClass.priorityWeight", "never");
    t.put("RequestClass.latePriorityWeight", "never");
    t.put("RequestClass.latencyObjective", "never");
    t.put("RequestClass.objectivePerWork", "never");
    t.put(
        "RequestClass.deadline", "the smaller: nothing runs on where the other takes it for ended");
    t.put("RequestClass.retrySafety", "the stricter");
    t.put("RequestClass.deduplicationScope", "the narrower");
    t.put("RequestClass.deduplicationWindow", "the shorter");
    t.put("RequestClass.inOrder", "in order if either says so");
    t.put("RequestClass.locations", "those that both allow");
    t.put("RequestClass.machineTypes", "those that both allow");
    t.put("RequestClass.loadsDataSet", "never: it guides the choice of an engine alone");
    t.put("RequestClass.waitsForLoads", "never: it guides the choice of an engine alone");
    t.put("MachineType.id", "never");
    t.put("MachineType.cores", "the smaller");
    t.put("MachineType.memoryMb", "the smaller");
    t.put("Quota.tenant", "never");
    t.put("Quota.perSecond", "the smaller");
    t.put("Rules.slowStartFraction", "the smaller");
    t.put("Rules.slowStartDuration", "the longer");
    t.put("Rules.slowStartLimitFactor", "the smaller");
    t.put("Rules.slowStartWindow", "the longer");
    t.put("Rules.sequenceKeyRest", "the longer");
    t.put("Rules.freeRetries", "the smaller; none is without bound");
    t.put("Rules.retryRatio", "the smaller; none is without bound");
    t.put("Rules.retryWindow", "the longer");
    t.put("Capabilities.clockTick", "never");
    t.put("Capabilities.maxAttempts", "the smaller");
    t.put("Capabilities.canCancel", "only if both say so");
    t.put("Capabilities.hasEnginePriorities", "only if both say so");
    t.put("Capabilities.allowsRetryAfter", "only if both say so");
    t.put("Capabilities.maxRetryAfter", "the smaller");
    t.put("Capabilities.progressInterval", "never");
    t.put("Capabilities.hasMemoryGrants", "only if both say so");
    return Map.copyOf(t);
  }

  /** Whether acting on one beside the other breaks anything. */
  public static boolean contradict(Deployment one, Deployment other) {
    return !merge(one, other).equals(other) || !merge(other, one).equals(one);
  }

  /** What breaks neither. */
  public static Deployment merge(Deployment earlier, Deployment later) {
    return new Deployment(
        later.dispatcherIndex(),
        Math.max(earlier.dispatcherCount(), later.dispatcherCount()),
        both(
            earlier.requestClasses(),
            later.requestClasses(),
            RequestClass::id,
            ConservativeMerge::profile),
        both(
            earlier.machineTypes(),
            later.machineTypes(),
            MachineType::id,
            (a, b) ->
                new MachineType(
                    b.id(), Math.min(a.cores(), b.cores()), Math.min(a.memoryMb(), b.memoryMb()))),
        both(
            earlier.quotas(),
            later.quotas(),
            Quota::tenant,
            (a, b) -> new Quota(b.tenant(), Math.min(a.perSecond(), b.perSecond()))),
        Math.min(earlier.overQuotaWeight(), later.overQuotaWeight()),
        rules(earlier.rules(), later.rules()),
        means(earlier.capabilities(), later.capabilities()),
        later.place());
  }

  /**
   * What one acts on that may have missed a later edition: one send a command and none again, none
   * called off. Rates of holders, placement and the number of dispatchers have no reading that
   * would break no other one: they stay as they are.
   */
  public static Deployment withoutRetries(Deployment d) {
    List<RequestClass> profiles =
        d.requestClasses().stream()
            .map(
                p ->
                    new RequestClass(
                        p.id(),
                        p.threads(),
                        p.priorityWeight(),
                        p.latePriorityWeight(),
                        p.latencyObjective(),
                        p.objectivePerWork(),
                        p.deadline(),
                        RetrySafety.NOT_IDEMPOTENT,
                        p.deduplicationScope(),
                        p.deduplicationWindow(),
                        p.inOrder(),
                        p.locations(),
                        p.machineTypes(),
                        p.loadsDataSet(),
                        p.waitsForLoads()))
            .toList();
    Capabilities m = d.capabilities();
    return new Deployment(
        d.dispatcherIndex(),
        d.dispatcherCount(),
        profiles,
        d.machineTypes(),
        d.quotas(),
        d.overQuotaWeight(),
        d.rules(),
        new Capabilities(
            m.clockTick(),
            1,
            false,
            m.hasEnginePriorities(),
            m.allowsRetryAfter(),
            m.maxRetryAfter(),
            m.progressInterval(),
            m.hasMemoryGrants()),
        d.place());
  }

  /**
   * The later ones in their order, each read between both where the earlier has it too, then what
   * the earlier alone has.
   */
  private static <T, K> List<T> both(
      List<T> earlier, List<T> later, Function<T, K> id, BinaryOperator<T> between) {
    List<T> all = new ArrayList<>();
    for (T b : later) {
      T a = earlier.stream().filter(e -> id.apply(e).equals(id.apply(b))).findFirst().orElse(b);
      all.add(between.apply(a, b));
    }
    earlier.stream()
        .filter(a -> later.stream().noneMatch(b -> id.apply(a).equals(id.apply(b))))
        .forEach(all::add);
    return List.copyOf(all);
  }

  private static RequestClass profile(RequestClass a, RequestClass b) {
    return new RequestClass(
        b.id(),
        Math.max(a.threads(), b.threads()),
        b.priorityWeight(),
        b.latePriorityWeight(),
        b.latencyObjective(),
        b.objectivePerWork(),
        smaller(a.deadline(), b.deadline()),
        later(a.retrySafety(), b.retrySafety()),
        later(a.deduplicationScope(), b.deduplicationScope()),
        smaller(a.deduplicationWindow(), b.deduplicationWindow()),
        a.inOrder() || b.inOrder(),
        allowed(a.locations(), b.locations()),
        allowed(a.machineTypes(), b.machineTypes()),
        b.loadsDataSet(),
        b.waitsForLoads());
  }

  private static Rules rules(Rules a, Rules b) {
    return new Rules(
        Math.min(a.slowStartFraction(), b.slowStartFraction()),
        larger(a.slowStartDuration(), b.slowStartDuration()),
        Math.min(a.slowStartLimitFactor(), b.slowStartLimitFactor()),
        larger(a.slowStartWindow(), b.slowStartWindow()),
        larger(a.sequenceKeyRest(), b.sequenceKeyRest()),
        bounded(a.freeRetries(), b.freeRetries()),
        bounded(a.retryRatio(), b.retryRatio()),
        a.retryWindow() == null
            ? b.retryWindow()
            : b.retryWindow() == null ? a.retryWindow() : larger(a.retryWindow(), b.retryWindow()));
  }

  private static Capabilities means(Capabilities a, Capabilities b) {
    return new Capabilities(
        b.clockTick(),
        Math.min(a.maxAttempts(), b.maxAttempts()),
        a.canCancel() && b.canCancel(),
        a.hasEnginePriorities() && b.hasEnginePriorities(),
        a.allowsRetryAfter() && b.allowsRetryAfter(),
        smaller(a.maxRetryAfter(), b.maxRetryAfter()),
        b.progressInterval(),
        a.hasMemoryGrants() && b.hasMemoryGrants());
  }

  private static Double bounded(Double a, Double b) {
    return a == null ? b : b == null ? a : Double.valueOf(Math.min(a, b));
  }

  /** Kinds of repeat and scopes are listed from the loosest on. */
  private static <E extends Enum<E>> E later(E a, E b) {
    return a.compareTo(b) > 0 ? a : b;
  }

  private static TimeSpan smaller(TimeSpan a, TimeSpan b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  private static TimeSpan larger(TimeSpan a, TimeSpan b) {
    return a.compareTo(b) > 0 ? a : b;
  }

  /** Null allows all. */
  private static <T> List<T> allowed(List<T> a, List<T> b) {
    return a == null ? b : b == null ? a : b.stream().filter(a::contains).toList();
  }
}

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
public final class Caution {
  /**
   * Of each part of what a dispatcher is told, what is read between two values; "never" does not
   * contradict.
   */
  static final Map<String, String> TABLE = table();

  private Caution() {}

  private static Map<String, String> table() {
    Map<String, String> t = new LinkedHashMap<>();
    t.put("Deployment.number", "never: each has its own");
    t.put("Deployment.dispatchers", "the larger: each takes a smaller part of an engine");
    t.put("Deployment.profiles", "those of both");
    t.put("Deployment.kinds", "those of both");
    t.put("Deployment.shares", "those of both");
    t.put("Deployment.overShareWorth", "the smaller");
    t.put("Deployment.rules", "part by part");
    t.put("Deployment.means", "part by part");
    t.put("Deployment.place", "never: each stands somewhere");
    t.put("Profile.id", "never");
    t.put("Profile.threads", "the larger: an engine is filled less");
    t.put("Profile.benefit", "never");
    t.put("Profile.lateBenefit", "never");
    t.put("Profile.latencyTarget", "never");
    t.put("Profile.stretch", "never");
    t.put(
        "Profile.clientTimeout", "the smaller: nothing runs on where the other takes it for ended");
    t.put("Profile.repeat", "the stricter");
    t.put("Profile.scope", "the narrower");
    t.put("Profile.remembered", "the shorter");
    t.put("Profile.inOrder", "in order if either says so");
    t.put("Profile.locations", "those that both allow");
    t.put("Profile.onKinds", "those that both allow");
    t.put("Profile.load", "never: it guides the choice of an engine alone");
    t.put("Profile.waits", "never: it guides the choice of an engine alone");
    t.put("Kind.id", "never");
    t.put("Kind.cores", "the smaller");
    t.put("Kind.memoryMb", "the smaller");
    t.put("Share.id", "never");
    t.put("Share.perSecond", "the smaller");
    t.put("Rules.coldFrom", "the smaller");
    t.put("Rules.warmWithin", "the longer");
    t.put("Rules.fallMultiple", "the smaller");
    t.put("Rules.fallWindow", "the longer");
    t.put("Rules.keyRest", "the longer");
    t.put("Rules.furtherFree", "the smaller; none is without bound");
    t.put("Rules.furtherRatio", "the smaller; none is without bound");
    t.put("Rules.furtherWindow", "the longer");
    t.put("Means.tick", "never");
    t.put("Means.mostSends", "the smaller");
    t.put("Means.cancels", "only if both say so");
    t.put("Means.priorities", "only if both say so");
    t.put("Means.comeBack", "only if both say so");
    t.put("Means.longestComeBack", "the smaller");
    t.put("Means.noteEvery", "never");
    t.put("Means.grants", "only if both say so");
    return Map.copyOf(t);
  }

  /** Whether acting on one beside the other breaks anything. */
  public static boolean contradict(Deployment one, Deployment other) {
    return !between(one, other).equals(other) || !between(other, one).equals(one);
  }

  /** What breaks neither. */
  public static Deployment between(Deployment earlier, Deployment later) {
    return new Deployment(
        later.dispatcherIndex(),
        Math.max(earlier.dispatcherCount(), later.dispatcherCount()),
        both(earlier.requestClasses(), later.requestClasses(), RequestClass::id, Caution::profile),
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
  public static Deployment alone(Deployment d) {
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

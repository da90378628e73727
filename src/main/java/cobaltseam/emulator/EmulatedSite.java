package cobaltseam.emulator;

import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.MachineType;
import cobaltseam.dispatch.Deployment.Quota;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** What an emulated deployment is made of; every figure is the world's own. */
public record EmulatedSite(
    @JsonProperty("name") String name,
    @JsonProperty("engines") Engines engines,
    @JsonProperty("dispatchers") int dispatchers,
    @JsonProperty("profiles") List<RequestClass> requestClasses,
    @JsonProperty("holders") List<Tenant> tenants,
    @JsonProperty("load") Load load,
    @JsonProperty("net") Network network,
    @JsonProperty("roster") Discovery discovery,
    @JsonProperty("limits") Limits limits) {
  /**
   * The engines: how many, their cores, the spread of their speeds around 1, threads a core up to
   * which all cores do work, how much work falls for each thread a core beyond, sessions at most,
   * the part of its work that one can do when it starts and for how long it warms up, memory, how
   * much work grows for a command with none of the memory it needs, how many data sets stay warm,
   * and how much less work reading a warm one is.
   */
  public record Engines(
      @JsonProperty("count") int count,
      @JsonProperty("cores") double cores,
      @JsonProperty("speedSpread") double speedSpread,
      @JsonProperty("knee") double knee,
      @JsonProperty("fall") double fall,
      @JsonProperty("sessions") int sessions,
      @JsonProperty("coldFrom") double slowStartFraction,
      @JsonProperty("warmS") double slowStartS,
      @JsonProperty("memoryMb") double memoryMb,
      @JsonProperty("spill") double spill,
      @JsonProperty("warmSets") int warmSets,
      @JsonProperty("warmGain") double warmGain,
      @JsonProperty("locations") int locations,
      @JsonProperty("groups") int groups,
      @JsonProperty("errors") double errors) {}

  /** One profile of commands, by its part of all that come. */
  public record RequestClass(
      @JsonProperty("name") String name,
      @JsonProperty("part") double part,
      @JsonProperty("threads") int threads,
      @JsonProperty("workMs") double workMs,
      @JsonProperty("cv") double cv,
      @JsonProperty("benefit") double priorityWeight,
      @JsonProperty("lateBenefit") double latePriorityWeight,
      @JsonProperty("targetMs") double objectiveMs,
      @JsonProperty("timeoutMs") double deadlineMs,
      @JsonProperty("stretch") double objectivePerWork,
      @JsonProperty("repeat") RetrySafety retrySafety,
      @JsonProperty("scope") DeduplicationScope deduplicationScope,
      @JsonProperty("rememberedMs") double deduplicationWindowMs,
      @JsonProperty("memoryMb") double memoryMb,
      @JsonProperty("inOrder") boolean isOrdered,
      @JsonProperty("badPlans") double badPlanShare,
      @JsonProperty("badTimes") double badPlanFactor,
      @JsonProperty("locations") List<String> locations) {
    TimeSpan objective() {
      return ms(objectiveMs);
    }

    TimeSpan deadline() {
      return ms(deadlineMs);
    }
  }

  /** One holder of a share: its part of the traffic, and how many commands a second it is due. */
  public record Tenant(
      @JsonProperty("name") String name,
      @JsonProperty("part") double part,
      @JsonProperty("perSecond") double perSecond) {}

  /**
   * What comes: commands a second, how much that swings in how many seconds, how often bursts come
   * and how much more they bring for how long, how skewed data sets are, how often clients ask
   * again, and closed clients that ask one at a time with a pause between. Dispatchers carry parts
   * as 1 / rank to the power of their skew; without one all carry alike.
   */
  public record Load(
      @JsonProperty("perSecond") double perSecond,
      @JsonProperty("swing") double swing,
      @JsonProperty("swingS") double swingS,
      @JsonProperty("burstEveryS") double burstEveryS,
      @JsonProperty("burstTimes") double burstTimes,
      @JsonProperty("burstS") double burstS,
      @JsonProperty("dataSets") int dataSets,
      @JsonProperty("skew") double skew,
      @JsonProperty("retries") int retries,
      @JsonProperty("estimateError") double estimateError,
      @JsonProperty("closedClients") int closedClients,
      @JsonProperty("thinkMs") double thinkMs,
      @JsonProperty("dispatcherSkew") Double dispatcherSkew) {}

  /**
   * One way between dispatchers and engines, its spread, and between clients and dispatchers, in
   * milliseconds.
   */
  public record Network(
      @JsonProperty("oneWayMs") double oneWayMs,
      @JsonProperty("jitter") double jitter,
      @JsonProperty("clientMs") double clientMs) {}

  /** How late a dispatcher hears of changes: at the least, and how much more by chance. */
  public record Discovery(
      @JsonProperty("lagMs") double lagMs, @JsonProperty("spreadMs") double spreadMs) {}

  /** What a dispatcher may do. */
  public record Limits(
      @JsonProperty("mostSends") int maxAttempts,
      @JsonProperty("cancels") boolean canCancel,
      @JsonProperty("progressMs") double progressMs,
      @JsonProperty("comeBackMs") double maxRetryAfterMs,
      @JsonProperty("drainGraceMs") double drainGraceMs,
      @JsonProperty("fallMultiple") double slowStartLimitFactor,
      @JsonProperty("fallWindowMs") double slowStartWindowMs,
      @JsonProperty("keyRestMs") double sequenceKeyRestMs,
      @JsonProperty("furtherFree") Double freeRetries,
      @JsonProperty("furtherRatio") Double retryRatio,
      @JsonProperty("furtherWindowMs") double retryWindowMs) {}

  static final String KIND = "emulated";

  static TimeSpan ms(double ms) {
    return new TimeSpan(Math.round(ms * 1000));
  }

  /** What the module is told of this world, as the dispatcher of a number. */
  Deployment deployment(int number) {
    return new Deployment(
        number,
        dispatchers,
        requestClasses.stream()
            .map(
                p ->
                    new Deployment.RequestClass(
                        new RequestClassId(p.name()),
                        p.threads(),
                        p.priorityWeight(),
                        p.latePriorityWeight(),
                        p.objective(),
                        p.objectivePerWork(),
                        p.deadline(),
                        p.retrySafety(),
                        p.deduplicationScope(),
                        ms(p.deduplicationWindowMs()),
                        p.isOrdered(),
                        p.locations() == null
                            ? null
                            : p.locations().stream()
                                .map(cobaltseam.dispatch.LocationId::new)
                                .toList(),
                        null))
            .toList(),
        List.of(new MachineType(new MachineTypeId(KIND), engines.cores(), engines.memoryMb())),
        tenants.stream().map(h -> new Quota(new TenantId(h.name()), h.perSecond())).toList(),
        0.05,
        new Rules(
            engines.slowStartFraction(),
            ms(engines.slowStartS() * 1000),
            limits.slowStartLimitFactor(),
            ms(limits.slowStartWindowMs()),
            ms(limits.sequenceKeyRestMs()),
            limits.freeRetries(),
            limits.retryRatio(),
            limits.freeRetries() == null ? null : ms(limits.retryWindowMs())),
        new Capabilities(
            new TimeSpan(1000),
            limits.maxAttempts(),
            limits.canCancel(),
            false,
            limits.maxRetryAfterMs() > 0,
            ms(limits.maxRetryAfterMs()),
            ms(limits.progressMs())));
  }

  /**
   * Commands a second that keep every core busy, at the mean work of a command and engines of speed
   * 1.
   */
  double capacity() {
    double mean =
        requestClasses.stream()
                .mapToDouble(
                    p -> p.part() * p.workMs() * (1 + p.badPlanShare() * (p.badPlanFactor() - 1)))
                .sum()
            / requestClasses.stream().mapToDouble(RequestClass::part).sum();
    return engines.count() * engines.cores() * 1000 / mean;
  }
}

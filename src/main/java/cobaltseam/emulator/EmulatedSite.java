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

/**
 * The description of an emulated deployment. Its figures are assumptions of the site, not
 * measurements of a real one.
 *
 * @param name the name of the site
 * @param engines the engines
 * @param dispatchers the number of dispatchers
 * @param requestClasses the request classes, by their share of the traffic
 * @param tenants the tenants, by their share of the traffic; may be empty
 * @param load the load that clients generate
 * @param network the delays of the network
 * @param discovery the delays of discovery
 * @param limits the capabilities and limits of the dispatchers
 */
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
   * The engines. {@link EngineModel} describes how the figures determine their speed.
   *
   * @param count the number of engines
   * @param cores the cores of each engine
   * @param speedSpread the largest deviation of the speed of an engine from 1, either way
   * @param knee the threads per core up to which an engine keeps its full rate of work
   * @param fall the fraction of that rate that is lost per thread per core beyond the knee
   * @param sessions the largest number of jobs that an engine runs at once
   * @param slowStartFraction the fraction of its speed that an engine has when it starts
   * @param slowStartS the duration of slow start in seconds; 0 for none
   * @param memoryMb the memory of each engine; 0 for no limit
   * @param spill the fraction by which the work of a request grows that gets none of its memory
   * @param warmSets the number of data sets that stay warm in an engine
   * @param warmGain the fraction of its work that a request saves if its data set is warm
   * @param locations the number of locations, over which engines are spread in turn
   * @param groups the number of groups, over which engines are spread in turn
   * @param errors the share of attempts that fail without any fault
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

  /**
   * A request class.
   *
   * @param name the name of the class
   * @param part the weight of the class in the traffic, relative to the other classes
   * @param threads the threads that a request uses at an engine
   * @param workMs the mean work of a request, in milliseconds of one thread at speed 1
   * @param cv the coefficient of variation of the work: 0 for constant, 1 for exponential work
   * @param priorityWeight the priority weight of an answer within the objective
   * @param latePriorityWeight the factor on the priority weight of a later answer
   * @param objectiveMs the latency objective, apart from the part that depends on work
   * @param deadlineMs the time from sending a request to its deadline
   * @param objectivePerWork the time that the objective grows by per work of each thread
   * @param deduplicationWindowMs how long engines recognise a retry as a duplicate
   * @param memoryMb the memory that a request needs
   * @param isOrdered whether requests have a sequence key
   * @param badPlanShare the share of attempts that get a bad plan
   * @param badPlanFactor the factor of a bad plan on the work
   * @param locations the locations in which requests may run; null for all
   */
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

  /**
   * A tenant.
   *
   * @param part the weight of the tenant in the traffic, relative to the other tenants
   * @param perSecond the quota in requests per second
   */
  public record Tenant(
      @JsonProperty("name") String name,
      @JsonProperty("part") double part,
      @JsonProperty("perSecond") double perSecond) {}

  /**
   * The load that clients generate.
   *
   * @param perSecond the mean rate of open arrivals outside bursts; 0 for none
   * @param swing the amplitude of the sinusoidal swing of the rate, as a fraction of it
   * @param swingS the period of the swing in seconds; 0 for none
   * @param burstEveryS the time from the start of a burst to that of the next; 0 for none
   * @param burstTimes the factor of a burst on the rate
   * @param burstS the duration of a burst in seconds
   * @param dataSets the number of data sets; 0 for requests without one
   * @param skew the exponent of Zipf's law by which data sets are chosen
   * @param retries the largest number of retries of a client
   * @param estimateError the standard deviation of the logarithm of a client's work estimate
   * @param closedClients the number of clients that send one request at a time
   * @param thinkMs the pause of a closed client between two requests
   * @param dispatcherSkew the exponent of Zipf's law by which dispatchers are chosen; null or 0 for
   *     equal shares
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
   * The delays of the network.
   *
   * @param oneWayMs the mean time of a message between a dispatcher and an engine
   * @param jitter the largest deviation from that mean, as a fraction of it
   * @param clientMs the time of a message between a client and a dispatcher
   */
  public record Network(
      @JsonProperty("oneWayMs") double oneWayMs,
      @JsonProperty("jitter") double jitter,
      @JsonProperty("clientMs") double clientMs) {}

  /**
   * The delays of discovery.
   *
   * @param lagMs the minimum time from a change to the notification of a dispatcher
   * @param spreadMs the largest random time in addition
   */
  public record Discovery(
      @JsonProperty("lagMs") double lagMs, @JsonProperty("spreadMs") double spreadMs) {}

  /**
   * The capabilities and limits of the dispatchers.
   *
   * @param maxAttempts the largest number of attempts of a request
   * @param canCancel whether attempts can be cancelled at engines
   * @param progressMs the interval of progress reports; 0 for none
   * @param maxRetryAfterMs the longest time after which a client can be asked to retry; 0 for none
   * @param drainGraceMs how long after a notification an engine may still get attempts
   * @param slowStartLimitFactor the factor on the work that an engine in slow start can do in a
   *     window, above which it fails
   * @param slowStartWindowMs the length of that window
   * @param sequenceKeyRestMs how long a sequence key rests after an attempt with an unknown outcome
   * @param freeRetries the retries of a window that are always allowed; null for no retry budget
   * @param retryRatio the retries that are allowed per admitted request of a window
   * @param retryWindowMs the length of the window of the retry budget
   */
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

  /** The machine type of all engines. */
  static final String MACHINE_TYPE = "emulated";

  /** Returns a time span given in milliseconds, rounded to microseconds. */
  static TimeSpan ms(double ms) {
    return new TimeSpan(Math.round(ms * 1000));
  }

  /** The deployment as the dispatcher of this index sees it. */
  Deployment deployment(int dispatcherIndex) {
    return new Deployment(
        dispatcherIndex,
        dispatchers,
        requestClasses.stream()
            .map(
                requestClass ->
                    new Deployment.RequestClass(
                        new RequestClassId(requestClass.name()),
                        requestClass.threads(),
                        requestClass.priorityWeight(),
                        requestClass.latePriorityWeight(),
                        requestClass.objective(),
                        requestClass.objectivePerWork(),
                        requestClass.deadline(),
                        requestClass.retrySafety(),
                        requestClass.deduplicationScope(),
                        ms(requestClass.deduplicationWindowMs()),
                        requestClass.isOrdered(),
                        requestClass.locations() == null
                            ? null
                            : requestClass.locations().stream()
                                .map(cobaltseam.dispatch.LocationId::new)
                                .toList(),
                        null))
            .toList(),
        List.of(
            new MachineType(new MachineTypeId(MACHINE_TYPE), engines.cores(), engines.memoryMb())),
        tenants.stream()
            .map(tenant -> new Quota(new TenantId(tenant.name()), tenant.perSecond()))
            .toList(),
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
   * The rate of requests per second that keeps every core busy, at the mean work of a request and
   * with engines of speed 1.
   */
  double capacity() {
    double meanWorkMs =
        requestClasses.stream()
                .mapToDouble(
                    requestClass ->
                        requestClass.part()
                            * requestClass.workMs()
                            * (1
                                + requestClass.badPlanShare() * (requestClass.badPlanFactor() - 1)))
                .sum()
            / requestClasses.stream().mapToDouble(RequestClass::part).sum();
    return engines.count() * engines.cores() * 1000 / meanWorkMs;
  }
}

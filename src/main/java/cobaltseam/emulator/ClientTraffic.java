package cobaltseam.emulator;

import cobaltseam.dispatch.DataSetId;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.SequenceKey;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The clients of an emulated site: open arrivals with swing and bursts, closed clients, and
 * retries. Counts each request as answered within its objective, late, shed, failed or unanswered.
 */
final class ClientTraffic {
  /** One request of a client, over all its retries. */
  private static final class ClientRequest {
    int requestClass;
    int tenant;
    long firstUs;
    EngineLink.RequestWork work;
    double estimateUs;
    String key;
    int retriesLeft;
    boolean isFromClosedClient;
  }

  /** The minimum wait before a retry, before jitter. */
  private static final double MIN_RETRY_WAIT_S = 0.05;

  /** The number of sequence keys that ordered requests use. */
  private static final int SEQUENCE_KEYS = 64;

  private final EmulatedSite site;
  private final Timeline time;
  private final List<EmulatedDispatcher> dispatchers;
  private final OutcomeCounts counts;
  private final EventHash decisions;
  private final RandomGenerator arrivals;
  private final RandomGenerator works;

  /** Cumulative shares of the request classes in the traffic. */
  private final double[] cumulativeClassShares;

  /** The share of each tenant in the traffic. */
  private final double[] tenantShares;

  /** Cumulative weights of the data sets, by Zipf's law. */
  private final double[] cumulativeDataSetWeights;

  /** The current load of each tenant as a multiple of its normal load. */
  private final double[] tenantLoadFactor;

  /** Cumulative shares of the dispatchers in the traffic; null if all shares are equal. */
  private final double[] cumulativeDispatcherShares;

  private long requestsSent;
  private boolean isOpen = true;

  /**
   * Creates the clients; no request is issued before {@link #start}.
   *
   * @param dispatchers the dispatchers that requests go to; may be filled later
   * @param arrivals the random source of arrival times, request classes, tenants and dispatchers
   * @param works the random source of work, estimates, data sets and sequence keys
   */
  ClientTraffic(
      EmulatedSite site,
      Timeline time,
      List<EmulatedDispatcher> dispatchers,
      OutcomeCounts counts,
      EventHash decisions,
      RandomGenerator arrivals,
      RandomGenerator works) {
    this.site = site;
    this.time = time;
    this.dispatchers = dispatchers;
    this.counts = counts;
    this.decisions = decisions;
    this.arrivals = arrivals;
    this.works = works;
    cumulativeDispatcherShares = cumulativeDispatcherShares(site);
    cumulativeClassShares =
        cumulative(
            site.requestClasses().stream().mapToDouble(EmulatedSite.RequestClass::part).toArray());
    tenantShares = site.tenants().stream().mapToDouble(EmulatedSite.Tenant::part).toArray();
    tenantLoadFactor = new double[Math.max(1, tenantShares.length)];
    Arrays.fill(tenantLoadFactor, 1);
    double[] dataSetWeights = new double[Math.max(0, site.load().dataSets())];
    for (int i = 0; i < dataSetWeights.length; i++) {
      dataSetWeights[i] = 1 / Math.pow(i + 1, site.load().skew());
    }
    cumulativeDataSetWeights = cumulative(dataSetWeights);
  }

  /** Schedules the first request of open arrivals and of each closed client. */
  void start() {
    if (site.load().perSecond() > 0) {
      time.at(Timeline.START_US, this::nextArrival);
    }
    for (int i = 0; i < site.load().closedClients(); i++) {
      time.at(
          Timeline.START_US + Math.round(arrivals.nextDouble() * site.load().thinkMs() * 1000),
          () -> issueRequest(true));
    }
  }

  /** Issues no new requests; open requests continue, with their retries. */
  void stop() {
    isOpen = false;
  }

  /** Whether the site has a tenant with this index. */
  boolean hasTenant(int tenant) {
    return tenant < tenantShares.length;
  }

  /** Sets the load of a tenant to a multiple of its normal load. */
  void setTenantLoad(int tenant, double factor) {
    tenantLoadFactor[tenant] = factor;
  }

  private static double[] cumulativeDispatcherShares(EmulatedSite site) {
    Double skew = site.load().dispatcherSkew();
    if (skew == null || skew == 0) {
      return null;
    }
    double[] shares = new double[site.dispatchers()];
    for (int i = 0; i < shares.length; i++) {
      shares[i] = 1 / Math.pow(i + 1, skew);
    }
    return cumulative(shares);
  }

  /** The share of all traffic that a dispatcher receives, from 0 to 1. */
  double shareOf(int dispatcher) {
    if (cumulativeDispatcherShares == null) {
      return 1.0 / site.dispatchers();
    }
    double before = dispatcher == 0 ? 0 : cumulativeDispatcherShares[dispatcher - 1];
    return (cumulativeDispatcherShares[dispatcher] - before)
        / cumulativeDispatcherShares[cumulativeDispatcherShares.length - 1];
  }

  private static double[] cumulative(double[] values) {
    double[] sums = values.clone();
    Arrays.parallelPrefix(sums, Double::sum);
    return sums;
  }

  /** The current rate of open arrivals per second: swing, bursts and tenant loads included. */
  private double arrivalRate() {
    EmulatedSite.Load load = site.load();
    double seconds = (time.nowUs() - Timeline.START_US) / 1e6;
    double swing =
        load.swingS() > 0 ? 1 + load.swing() * Math.sin(2 * Math.PI * seconds / load.swingS()) : 1;
    boolean inBurst = load.burstEveryS() > 0 && seconds % load.burstEveryS() < load.burstS();
    double tenantFactor = 1;
    for (int i = 0; i < tenantShares.length; i++) {
      tenantFactor +=
          tenantShares[i] * (tenantLoadFactor[i] - 1) / Arrays.stream(tenantShares).sum();
    }
    return load.perSecond() * swing * (inBurst ? load.burstTimes() : 1) * tenantFactor;
  }

  private void nextArrival() {
    if (!isOpen) {
      return;
    }
    issueRequest(false);
    double gapS = -Math.log(1 - arrivals.nextDouble()) / arrivalRate();
    time.at(time.nowUs() + Math.max(0, Math.round(gapS * 1e6)), this::nextArrival);
  }

  /**
   * Selects an index with a probability in proportion to its weight.
   *
   * @param sums the cumulative weights
   * @param unit a random number from 0 to 1
   */
  private static int sample(double[] sums, double unit) {
    int found = Arrays.binarySearch(sums, unit * sums[sums.length - 1]);
    return Math.min(sums.length - 1, found >= 0 ? found + 1 : -found - 1);
  }

  private int sampleTenant() {
    if (tenantShares.length == 0) {
      return -1;
    }
    double[] weights = tenantShares.clone();
    for (int i = 0; i < weights.length; i++) {
      weights[i] *= tenantLoadFactor[i];
    }
    return sample(cumulative(weights), arrivals.nextDouble());
  }

  /** Samples the work of a request: constant, exponential or log-normal by its variation. */
  private double sampleWorkUs(EmulatedSite.RequestClass requestClass) {
    double meanUs = requestClass.workMs() * 1000;
    if (requestClass.cv() == 0) {
      return meanUs;
    }
    if (requestClass.cv() == 1) {
      return -Math.log(1 - works.nextDouble()) * meanUs;
    }
    double logVariance = Math.log(1 + requestClass.cv() * requestClass.cv());
    return meanUs * Math.exp(works.nextGaussian() * Math.sqrt(logVariance) - logVariance / 2);
  }

  private void issueRequest(boolean isFromClosedClient) {
    if (!isOpen) {
      return;
    }
    ClientRequest request = new ClientRequest();
    request.requestClass = sample(cumulativeClassShares, arrivals.nextDouble());
    request.tenant = sampleTenant();
    request.firstUs = time.nowUs();
    request.isFromClosedClient = isFromClosedClient;
    request.retriesLeft = site.load().retries();
    EmulatedSite.RequestClass requestClass = site.requestClasses().get(request.requestClass);
    DataSetId data =
        cumulativeDataSetWeights.length == 0
            ? null
            : new DataSetId(sample(cumulativeDataSetWeights, works.nextDouble()));
    request.work =
        new EngineLink.RequestWork(
            requestClass, sampleWorkUs(requestClass), requestClass.memoryMb(), data);
    request.estimateUs =
        request.work.workUs() * Math.exp(site.load().estimateError() * works.nextGaussian());
    request.key = requestClass.isOrdered() ? "k" + works.nextInt(SEQUENCE_KEYS) : null;
    counts.offered(
        request.requestClass, requestClass.priorityWeight(), request.firstUs - Timeline.START_US);
    sendToDispatcher(request);
  }

  /** Sends a request to a dispatcher, and gives up at its deadline. */
  private void sendToDispatcher(ClientRequest request) {
    EmulatedSite.RequestClass requestClass = request.work.requestClass();
    EmulatedDispatcher dispatcher =
        dispatchers.get(
            cumulativeDispatcherShares == null
                ? arrivals.nextInt(dispatchers.size())
                : sample(cumulativeDispatcherShares, arrivals.nextDouble()));
    long arrivesUs = time.nowUs() + Math.round(site.network().clientMs() * 1000);
    long deadlineUs = time.nowUs() + requestClass.deadline().us();
    RequestId id = new RequestId("c" + requestsSent++);
    Request sent = toRequest(id, request, deadlineUs);
    boolean[] isOver = {false};
    time.at(
        arrivesUs,
        () -> {
          if (!dispatcher.isUp()) {
            isOver[0] = true;
            retryLater(request, TimeSpan.ZERO, () -> counts.row(request.requestClass).failed++);
            return;
          }
          dispatcher.admit(
              sent,
              request.work,
              request.key,
              new EmulatedDispatcher.ResponseListener() {
                @Override
                public void onFinalAnswer(
                    InvariantChecker.FinalAnswer answer, TimeSpan retryAfter) {
                  time.after(
                      EmulatedSite.ms(site.network().clientMs()),
                      () -> {
                        if (!isOver[0]) {
                          isOver[0] = true;
                          ClientTraffic.this.onFinalAnswer(request, answer, retryAfter);
                        }
                      });
                }

                @Override
                public boolean isClientDisconnected() {
                  return isOver[0];
                }
              });
        });
    time.at(
        deadlineUs,
        () -> {
          if (!isOver[0]) {
            isOver[0] = true;
            dispatcher.clientDisconnected(id);
            counts.row(request.requestClass).unanswered++;
            finish(request);
          }
        });
  }

  private Request toRequest(RequestId id, ClientRequest request, long deadlineUs) {
    return new Request(
        id,
        new RequestClassId(request.work.requestClass().name()),
        request.tenant < 0 ? null : new TenantId(site.tenants().get(request.tenant).name()),
        request.key == null ? null : new SequenceKey(request.key),
        new Timestamp(deadlineUs),
        new TimeSpan(Math.round(request.estimateUs)),
        request.work.data(),
        request.work.memoryMb());
  }

  private void onFinalAnswer(
      ClientRequest request, InvariantChecker.FinalAnswer answer, TimeSpan retryAfter) {
    EmulatedSite.RequestClass requestClass = request.work.requestClass();
    decisions.add(answer.ordinal() + 31L * time.nowUs());
    switch (answer) {
      case ANSWERED -> {
        long latencyUs = time.nowUs() - request.firstUs;
        double objectiveUs =
            requestClass.objective().us()
                + requestClass.objectivePerWork() * request.work.workUs() / requestClass.threads();
        boolean withinObjective = latencyUs <= Math.min(objectiveUs, requestClass.deadline().us());
        counts.answered(
            request.requestClass,
            requestClass.priorityWeight()
                * (withinObjective ? 1 : requestClass.latePriorityWeight()),
            withinObjective,
            latencyUs,
            request.firstUs - Timeline.START_US);
        finish(request);
      }
      case SHED -> retryLater(request, retryAfter, () -> counts.row(request.requestClass).shed++);
      default -> {
        counts.row(request.requestClass).failed++;
        finish(request);
      }
    }
  }

  /** Retries a request if it may and its deadline allows; otherwise counts it and ends it. */
  private void retryLater(ClientRequest request, TimeSpan retryAfter, Runnable countOutcome) {
    TimeSpan wait =
        retryAfter.max(EmulatedSite.ms(MIN_RETRY_WAIT_S * 1000)).times(0.5 + arrivals.nextDouble());
    boolean beforeDeadline =
        time.nowUs() + wait.us() < request.firstUs + request.work.requestClass().deadline().us();
    if (request.retriesLeft > 0 && beforeDeadline) {
      request.retriesLeft--;
      time.after(wait, () -> sendToDispatcher(request));
    } else {
      countOutcome.run();
      finish(request);
    }
  }

  private void finish(ClientRequest request) {
    if (request.isFromClosedClient) {
      time.after(EmulatedSite.ms(site.load().thinkMs()), () -> issueRequest(true));
    }
  }
}

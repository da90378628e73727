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
 * The clients of an emulated site: open arrivals with bursts, closed clients, retries, and what
 * each of them counts as completed in time, late, shed or failed.
 */
final class ClientTraffic {
  /** What a client wants, over all its retries. */
  private static final class ClientRequest {
    int requestClass;
    int tenant;
    long firstUs;
    EngineLink.Order order;
    double estimateUs;
    String key;
    int retriesLeft;
    boolean closed;
  }

  /** The least wait before a retry, before jitter. */
  private static final double MIN_RETRY_WAIT_S = 0.05;

  private static final int SEQUENCE_KEYS = 64;
  private final EmulatedSite site;
  private final Timeline time;
  private final List<EmulatedDispatcher> dispatchers;
  private final OutcomeCounts counts;
  private final EventHash decisions;
  private final RandomGenerator arrivals;
  private final RandomGenerator works;
  private final double[] classParts;
  private final double[] tenantParts;
  private final double[] dataParts;

  /** How many times its usual load each tenant brings now. */
  private final double[] tenantLoad;

  /** Sums of the dispatchers' parts of the traffic; null where all carry alike. */
  private final double[] dispatcherParts;

  private long asked;
  private boolean isOpen = true;

  /**
   * @param dispatchers those that requests go to; may be filled later
   * @param arrivals draws when requests come, and of which class and tenant
   * @param works draws how much work they are
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
    dispatcherParts = dispatcherParts(site);
    classParts =
        cumulative(
            site.requestClasses().stream().mapToDouble(EmulatedSite.RequestClass::part).toArray());
    tenantParts = site.tenants().stream().mapToDouble(EmulatedSite.Tenant::part).toArray();
    tenantLoad = new double[Math.max(1, tenantParts.length)];
    Arrays.fill(tenantLoad, 1);
    double[] sets = new double[Math.max(0, site.load().dataSets())];
    for (int i = 0; i < sets.length; i++) {
      sets[i] = 1 / Math.pow(i + 1, site.load().skew());
    }
    dataParts = cumulative(sets);
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

  /** No request comes from now on; those that are open go on. */
  void stop() {
    isOpen = false;
  }

  /** Whether the site has a tenant of this number. */
  boolean hasTenant(int tenant) {
    return tenant < tenantParts.length;
  }

  /** Has a tenant bring so many times its usual load from now on. */
  void setTenantLoad(int tenant, double factor) {
    tenantLoad[tenant] = factor;
  }

  private static double[] dispatcherParts(EmulatedSite world) {
    Double skew = world.load().dispatcherSkew();
    if (skew == null || skew == 0) {
      return null;
    }
    double[] parts = new double[world.dispatchers()];
    for (int i = 0; i < parts.length; i++) {
      parts[i] = 1 / Math.pow(i + 1, skew);
    }
    return cumulative(parts);
  }

  /** The part of all traffic that a dispatcher gets. */
  double partOf(int dispatcher) {
    if (dispatcherParts == null) {
      return 1.0 / site.dispatchers();
    }
    double before = dispatcher == 0 ? 0 : dispatcherParts[dispatcher - 1];
    return (dispatcherParts[dispatcher] - before) / dispatcherParts[dispatcherParts.length - 1];
  }

  private static double[] cumulative(double[] parts) {
    double[] sums = parts.clone();
    Arrays.parallelPrefix(sums, Double::sum);
    return sums;
  }

  private double rate() {
    EmulatedSite.Load load = site.load();
    double seconds = (time.nowUs() - Timeline.START_US) / 1e6;
    double swing =
        load.swingS() > 0 ? 1 + load.swing() * Math.sin(2 * Math.PI * seconds / load.swingS()) : 1;
    boolean burst = load.burstEveryS() > 0 && seconds % load.burstEveryS() < load.burstS();
    double flood = 1;
    for (int i = 0; i < tenantParts.length; i++) {
      flood += tenantParts[i] * (tenantLoad[i] - 1) / Arrays.stream(tenantParts).sum();
    }
    return load.perSecond() * swing * (burst ? load.burstTimes() : 1) * flood;
  }

  private void nextArrival() {
    if (!isOpen) {
      return;
    }
    issueRequest(false);
    double gap = -Math.log(1 - arrivals.nextDouble()) / rate();
    time.at(time.nowUs() + Math.max(0, Math.round(gap * 1e6)), this::nextArrival);
  }

  private static int draw(double[] sums, double unit) {
    int found = Arrays.binarySearch(sums, unit * sums[sums.length - 1]);
    return Math.min(sums.length - 1, found >= 0 ? found + 1 : -found - 1);
  }

  private int drawTenant() {
    if (tenantParts.length == 0) {
      return -1;
    }
    double[] parts = tenantParts.clone();
    for (int i = 0; i < parts.length; i++) {
      parts[i] *= tenantLoad[i];
    }
    return draw(cumulative(parts), arrivals.nextDouble());
  }

  private double workUs(EmulatedSite.RequestClass requestClass) {
    double mean = requestClass.workMs() * 1000;
    if (requestClass.cv() == 0) {
      return mean;
    }
    if (requestClass.cv() == 1) {
      return -Math.log(1 - works.nextDouble()) * mean;
    }
    double variance = Math.log(1 + requestClass.cv() * requestClass.cv());
    return mean * Math.exp(works.nextGaussian() * Math.sqrt(variance) - variance / 2);
  }

  private void issueRequest(boolean closed) {
    if (!isOpen) {
      return;
    }
    ClientRequest request = new ClientRequest();
    request.requestClass = draw(classParts, arrivals.nextDouble());
    request.tenant = drawTenant();
    request.firstUs = time.nowUs();
    request.closed = closed;
    request.retriesLeft = site.load().retries();
    EmulatedSite.RequestClass requestClass = site.requestClasses().get(request.requestClass);
    DataSetId data =
        dataParts.length == 0 ? null : new DataSetId(draw(dataParts, works.nextDouble()));
    request.order =
        new EngineLink.Order(requestClass, workUs(requestClass), requestClass.memoryMb(), data);
    request.estimateUs =
        request.order.workUs() * Math.exp(site.load().estimateError() * works.nextGaussian());
    request.key = requestClass.inOrder() ? "k" + works.nextInt(SEQUENCE_KEYS) : null;
    counts.offered(
        request.requestClass, requestClass.priorityWeight(), request.firstUs - Timeline.START_US);
    attempt(request);
  }

  private void attempt(ClientRequest request) {
    EmulatedSite.RequestClass requestClass = request.order.profile();
    EmulatedDispatcher dispatcher =
        dispatchers.get(
            dispatcherParts == null
                ? arrivals.nextInt(dispatchers.size())
                : draw(dispatcherParts, arrivals.nextDouble()));
    long there = time.nowUs() + Math.round(site.network().clientMs() * 1000);
    long until = time.nowUs() + requestClass.deadline().us();
    RequestId id = new RequestId("c" + asked++);
    Request sent = toRequest(id, request, until);
    boolean[] answered = {false};
    time.at(
        there,
        () -> {
          if (!dispatcher.isUp()) {
            answered[0] = true;
            retryLater(request, TimeSpan.ZERO, () -> counts.row(request.requestClass).failed++);
            return;
          }
          dispatcher.admit(
              sent,
              request.order,
              request.key,
              new EmulatedDispatcher.ResponseListener() {
                @Override
                public void onFinalAnswer(InvariantChecker.FinalAnswer what, TimeSpan retryAfter) {
                  time.after(
                      EmulatedSite.ms(site.network().clientMs()),
                      () -> {
                        if (!answered[0]) {
                          answered[0] = true;
                          ClientTraffic.this.onFinalAnswer(request, what, retryAfter);
                        }
                      });
                }

                @Override
                public boolean hasClientLeft() {
                  return answered[0];
                }
              });
        });
    time.at(
        until,
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            dispatcher.clientLeft(id);
            counts.row(request.requestClass).unanswered++;
            finish(request);
          }
        });
  }

  private Request toRequest(RequestId id, ClientRequest request, long deadlineUs) {
    return new Request(
        id,
        new RequestClassId(request.order.profile().name()),
        request.tenant < 0 ? null : new TenantId(site.tenants().get(request.tenant).name()),
        request.key == null ? null : new SequenceKey(request.key),
        new Timestamp(deadlineUs),
        new TimeSpan(Math.round(request.estimateUs)),
        request.order.data(),
        request.order.memoryMb());
  }

  private void onFinalAnswer(
      ClientRequest request, InvariantChecker.FinalAnswer what, TimeSpan retryAfter) {
    EmulatedSite.RequestClass requestClass = request.order.profile();
    decisions.add(what.ordinal() + 31L * time.nowUs());
    switch (what) {
      case ANSWERED -> {
        long latency = time.nowUs() - request.firstUs;
        double target =
            requestClass.objective().us()
                + requestClass.objectivePerWork() * request.order.workUs() / requestClass.threads();
        boolean in = latency <= Math.min(target, requestClass.deadline().us());
        counts.answered(
            request.requestClass,
            requestClass.priorityWeight() * (in ? 1 : requestClass.latePriorityWeight()),
            in,
            latency,
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

  private void retryLater(ClientRequest request, TimeSpan retryAfter, Runnable otherwise) {
    TimeSpan wait =
        retryAfter.max(EmulatedSite.ms(MIN_RETRY_WAIT_S * 1000)).times(0.5 + arrivals.nextDouble());
    boolean inTime =
        time.nowUs() + wait.us() < request.firstUs + request.order.profile().deadline().us();
    if (request.retriesLeft > 0 && inTime) {
      request.retriesLeft--;
      time.after(wait, () -> attempt(request));
    } else {
      otherwise.run();
      finish(request);
    }
  }

  private void finish(ClientRequest request) {
    if (request.closed) {
      time.after(EmulatedSite.ms(site.load().thinkMs()), () -> issueRequest(true));
    }
  }
}

package cobaltseam.emulator;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** The outcomes of a run as clients see them, by request class and by second. */
public final class OutcomeCounts {
  /** The outcomes of one request class. A request counts once, however often clients retry it. */
  public static final class ClassOutcome {
    public long offered;
    public long withinObjective;
    public long late;
    public long shed;
    public long failed;
    public long unanswered;
    public double weightOffered;
    public double weightServed;

    /**
     * Latencies in microseconds from the first attempt of the client, to two significant digits.
     */
    public final Histogram latency = new Histogram(3_600_000_000L, 2);
  }

  private final List<ClassOutcome> rows = new ArrayList<>();
  private final List<double[]> seconds = new ArrayList<>();
  private double busiestSum;
  private double idlestSum;
  private long loadSamples;
  long admitted;
  long attempts;
  long retries;

  OutcomeCounts(int requestClasses) {
    for (int i = 0; i < requestClasses; i++) {
      rows.add(new ClassOutcome());
    }
  }

  ClassOutcome row(int requestClass) {
    return rows.get(requestClass);
  }

  private double[] second(long us) {
    int second = (int) (us / 1_000_000);
    while (seconds.size() <= second) {
      seconds.add(new double[2]);
    }
    return seconds.get(second);
  }

  /** Counts a request that a client issued. */
  void offered(int requestClass, double weight, long us) {
    rows.get(requestClass).offered++;
    rows.get(requestClass).weightOffered += weight;
    second(us)[0] += weight;
  }

  /** Counts an answer. */
  void answered(
      int requestClass, double weight, boolean withinObjective, long latencyUs, long issuedUs) {
    ClassOutcome row = rows.get(requestClass);
    row.withinObjective += withinObjective ? 1 : 0;
    row.late += withinObjective ? 0 : 1;
    row.weightServed += weight;
    row.latency.recordValue(Math.min(latencyUs, 3_600_000_000L));
    second(issuedUs)[1] += weight;
  }

  /** Records a sample of the number of threads on each engine. */
  void sampleLoad(double[] threads) {
    double mean = 0;
    double max = 0;
    double min = Double.MAX_VALUE;
    for (double count : threads) {
      mean += count / threads.length;
      max = Math.max(max, count);
      min = Math.min(min, count);
    }
    if (mean > 0) {
      busiestSum += max / mean;
      idlestSum += min / mean;
      loadSamples++;
    }
  }

  /** The ratio of the threads on the busiest engine to the mean, averaged over all samples. */
  public double busiest() {
    return loadSamples == 0 ? 0 : busiestSum / loadSamples;
  }

  /** The ratio of the threads on the idlest engine to the mean, averaged over all samples. */
  public double idlest() {
    return loadSamples == 0 ? 0 : idlestSum / loadSamples;
  }

  /** The goodput: the share of the offered priority weight that was served. */
  public double goodput() {
    double offered = rows.stream().mapToDouble(r -> r.weightOffered).sum();
    return offered == 0 ? 0 : rows.stream().mapToDouble(r -> r.weightServed).sum() / offered;
  }

  /** The outcomes of each request class, in the order of the site. */
  public List<ClassOutcome> rows() {
    return rows;
  }

  /** Priority weight offered and served, by the second in which it was issued. */
  public List<double[]> seconds() {
    return seconds;
  }

  /** Requests that dispatchers admitted. */
  public long admitted() {
    return admitted;
  }

  /** Attempts of all requests. */
  public long attempts() {
    return attempts;
  }

  /** Attempts beyond the first of a request. */
  public long retries() {
    return retries;
  }

  /** Requests that clients issued. */
  public long offered() {
    return rows.stream().mapToLong(r -> r.offered).sum();
  }
}

package cobaltseam.emulator;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What clients got, by profile and by second. */
public final class OutcomeCounts {
  /** One profile's figures: commands as first asked, however often they were asked again. */
  public static final class ClassOutcome {
    public long offered;
    public long withinObjective;
    public long late;
    public long shed;
    public long failed;
    public long unanswered;
    public double weightOffered;
    public double weightServed;

    /** From the first asking to the answer, in microseconds, two digits of it true. */
    public final Histogram latency = new Histogram(3_600_000_000L, 2);
  }

  private final List<ClassOutcome> rows = new ArrayList<>();
  private final List<double[]> seconds = new ArrayList<>();
  private double busiest;
  private double idlest;
  private long looks;
  long admitted;
  long attempts;
  long retries;

  OutcomeCounts(int profiles) {
    for (int i = 0; i < profiles; i++) {
      rows.add(new ClassOutcome());
    }
  }

  ClassOutcome row(int profile) {
    return rows.get(profile);
  }

  private double[] second(long us) {
    int second = (int) (us / 1_000_000);
    while (seconds.size() <= second) {
      seconds.add(new double[2]);
    }
    return seconds.get(second);
  }

  void offered(int profile, double benefit, long us) {
    rows.get(profile).offered++;
    rows.get(profile).weightOffered += benefit;
    second(us)[0] += benefit;
  }

  void answered(int profile, double benefit, boolean inTarget, long latencyUs, long askedUs) {
    ClassOutcome row = rows.get(profile);
    row.withinObjective += inTarget ? 1 : 0;
    row.late += inTarget ? 0 : 1;
    row.weightServed += benefit;
    row.latency.recordValue(Math.min(latencyUs, 3_600_000_000L));
    second(askedUs)[1] += benefit;
  }

  /** Threads of work on each engine at one moment. */
  void sampleLoad(double[] threads) {
    double mean = 0;
    double most = 0;
    double least = Double.MAX_VALUE;
    for (double t : threads) {
      mean += t / threads.length;
      most = Math.max(most, t);
      least = Math.min(least, t);
    }
    if (mean > 0) {
      busiest += most / mean;
      idlest += least / mean;
      looks++;
    }
  }

  /** Threads on the busiest engine over those on the mean one, at the mean of looks. */
  public double busiest() {
    return looks == 0 ? 0 : busiest / looks;
  }

  /** The same of the idlest. */
  public double idlest() {
    return looks == 0 ? 0 : idlest / looks;
  }

  /** Benefit got of benefit offered: the goodput. */
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

package cobaltseam.emulator;

import cobaltseam.dispatch.DataSetId;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.GroupId;
import cobaltseam.dispatch.LocationId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * One engine: runs at once all that it is sent, up to a number of sessions, and shares its cores
 * among the threads of all. The work that all do together is that of one core a thread up to the
 * number of cores, stays there up to the knee, and falls beyond. Every thread is served alike, so
 * one figure, the work done so far for each thread, tells when each job ends: a job ends when that
 * figure has grown by its work for each of its threads.
 */
final class EngineModel {
  private static final double LEAST_WORK = 0.3;
  private static final long WARM_STEP_US = 250_000;

  /** One send as the engine has it. */
  static final class Job implements Comparable<Job> {
    final int threads;
    final double workUs;
    final double memoryMb;

    /** The work for each thread at which it ends; told when it begins. */
    private double endsAt;

    private double beganAt;
    private long number;
    private boolean over;
    private final Runnable done;

    /** Told where its engine dies under it. */
    final Runnable cut;

    Job(int threads, double workUs, double memoryMb, Runnable done, Runnable cut) {
      this.threads = threads;
      this.workUs = workUs;
      this.memoryMb = memoryMb;
      this.done = done;
      this.cut = cut;
    }

    @Override
    public int compareTo(Job other) {
      return endsAt != other.endsAt
          ? Double.compare(endsAt, other.endsAt)
          : Long.compare(number, other.number);
    }
  }

  /** Whether it is there, and how. */
  enum ProcessState {
    RUNS,
    DIED,
    VANISHED
  }

  final EngineId id;
  final LocationId location;
  final GroupId group;
  private final Timeline time;
  private final EmulatedSite.Engines terms;
  private final PriorityQueue<Job> jobs = new PriorityQueue<>();
  private final Map<DataSetId, Boolean> warm;
  private final double speed;
  ProcessState life = ProcessState.RUNS;

  /** The factor of faults on its speed; zero while it hangs. */
  double slowed = 1;

  /** Shares of answers that are errors at once, lost, or spoilt, by faults. */
  double failing;

  double losing;
  long startedUs;
  private double served;
  private long lastUs;
  private int threads;
  private int running;
  private double memoryUsed;
  private long numbers;
  private Timeline.Entry next;
  private double workDone;

  EngineModel(
      EngineId id,
      LocationId location,
      GroupId group,
      double speed,
      EmulatedSite.Engines terms,
      Timeline time) {
    this.id = id;
    this.location = location;
    this.group = group;
    this.speed = speed;
    this.terms = terms;
    this.time = time;
    lastUs = time.nowUs();
    startedUs = Long.MIN_VALUE / 2;
    warm =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<DataSetId, Boolean> eldest) {
            return size() > terms.warmSets();
          }
        };
  }

  int running() {
    return running;
  }

  int threads() {
    return threads;
  }

  double workDone() {
    advance();
    return workDone;
  }

  /** The part of its work that it can do, from its start on. */
  double warmth() {
    double since = (time.nowUs() - startedUs) / (terms.slowStartS() * 1e6);
    return since >= 1 || terms.slowStartS() <= 0
        ? 1
        : terms.slowStartFraction() + (1 - terms.slowStartFraction()) * Math.max(0, since);
  }

  /** Work a microsecond that all its threads do together. */
  private double capacity() {
    double threadsAfter = threads;
    double cores = terms.cores();
    double beyond = Math.max(0, threadsAfter / cores - terms.knee());
    return Math.min(threadsAfter, cores)
        * Math.max(LEAST_WORK, 1 - terms.fall() * beyond)
        * speed
        * slowed
        * warmth();
  }

  /** How long a thread's microsecond of work takes for one command more, as it is now. */
  double pace(int more) {
    double threadsAfter = threads + more;
    double work =
        Math.min(threadsAfter, terms.cores())
            * Math.max(
                LEAST_WORK,
                1 - terms.fall() * Math.max(0, threadsAfter / terms.cores() - terms.knee()));
    double all = work * speed * slowed * warmth();
    return life != ProcessState.RUNS || all <= 0 ? Double.POSITIVE_INFINITY : threadsAfter / all;
  }

  /** Takes a job in; false where it has no session left. */
  boolean begin(Job job, DataSetId data) {
    if (running >= terms.sessions()) {
      return false;
    }
    advance();
    double work = job.workUs;
    if (data != null && warm.put(data, true) != null) {
      work *= 1 - terms.warmGain();
    }
    double free = terms.memoryMb() > 0 ? Math.max(0, terms.memoryMb() - memoryUsed) : job.memoryMb;
    if (job.memoryMb > free) {
      work *= 1 + terms.spill() * (job.memoryMb - free) / job.memoryMb;
    }
    memoryUsed += job.memoryMb;
    running++;
    threads += job.threads;
    job.number = numbers++;
    job.beganAt = served;
    job.endsAt = served + work / job.threads;
    jobs.add(job);
    plan();
    return true;
  }

  /** The share of a job's work that is done. */
  double progress(Job job) {
    advance();
    return Math.min(1, (served - job.beganAt) / (job.endsAt - job.beganAt));
  }

  /** Ends a job without an answer. */
  void cancel(Job job) {
    if (!job.over) {
      advance();
      jobs.remove(job);
      end(job);
      plan();
    }
  }

  private void end(Job job) {
    job.over = true;
    running--;
    threads -= job.threads;
    memoryUsed -= job.memoryMb;
  }

  /** Ends all jobs without an answer, as a process that dies does. */
  List<Job> drop() {
    advance();
    List<Job> dropped = new ArrayList<>(jobs);
    jobs.clear();
    dropped.forEach(this::end);
    warm.clear();
    plan();
    return dropped;
  }

  /** What changes its pace is about to change, or has changed: call it before and after. */
  void advance() {
    long now = time.nowUs();
    if (threads > 0 && now > lastUs && life == ProcessState.RUNS) {
      double all = capacity() * (now - lastUs);
      served += all / threads;
      workDone += all;
    }
    lastUs = now;
  }

  void plan() {
    Timeline.cancel(next);
    next = null;
    double rate = threads > 0 && life == ProcessState.RUNS ? capacity() / threads : 0;
    if (rate > 0) {
      long in = (long) Math.ceil(Math.max(0, jobs.peek().endsAt - served) / rate);
      // While it warms up its pace changes: it is looked at again soon.
      long at = time.nowUs() + (warmth() < 1 ? Math.min(in, WARM_STEP_US) : in);
      next = time.at(at, this::finish);
    }
  }

  private void finish() {
    next = null;
    advance();
    List<Job> done = new ArrayList<>(1);
    // A rounded microsecond may be missing.
    double slack = threads > 0 ? capacity() / threads : 0;
    while (!jobs.isEmpty() && jobs.peek().endsAt <= served + slack) {
      Job job = jobs.poll();
      end(job);
      done.add(job);
    }
    plan();
    done.forEach(j -> j.done.run());
  }
}

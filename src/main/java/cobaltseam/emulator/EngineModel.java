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
 * A model of one engine under processor sharing. An engine runs all its jobs concurrently, up to a
 * number of sessions, and shares its cores among their threads. The total rate of work grows with
 * the number of threads up to the number of cores, is constant up to the knee, and falls beyond it.
 *
 * <p>Every thread is served at the same rate. A single counter, the work done so far per thread,
 * therefore determines all completion times: a job ends when the counter has grown by the job's
 * work per thread.
 */
final class EngineModel {
  /** The rate of work never falls below this fraction of the rate at the knee. */
  private static final double MIN_RATE_FRACTION = 0.3;

  /** The longest time between two computations of the completion time during slow start. */
  private static final long SLOW_START_STEP_US = 250_000;

  /** One attempt as the engine runs it. Jobs are ordered by their completion. */
  static final class Job implements Comparable<Job> {
    final int threads;
    final double workUs;
    final double memoryMb;

    /** The value of {@link #workPerThread} at which the job ends; set at its start. */
    private double endsAt;

    private double startedAt;
    private long number;
    private boolean isOver;
    private final Runnable onCompleted;

    /** Run if the engine's process dies, but not if it vanishes. */
    final Runnable onConnectionLost;

    Job(
        int threads,
        double workUs,
        double memoryMb,
        Runnable onCompleted,
        Runnable onConnectionLost) {
      this.threads = threads;
      this.workUs = workUs;
      this.memoryMb = memoryMb;
      this.onCompleted = onCompleted;
      this.onConnectionLost = onConnectionLost;
    }

    @Override
    public int compareTo(Job other) {
      return endsAt != other.endsAt
          ? Double.compare(endsAt, other.endsAt)
          : Long.compare(number, other.number);
    }
  }

  /** The state of an engine's process. A vanished one ended without closing its connections. */
  enum ProcessState {
    RUNNING,
    DIED,
    VANISHED
  }

  final EngineId id;
  final LocationId location;
  final GroupId group;
  private final Timeline time;
  private final EmulatedSite.Engines settings;
  private final PriorityQueue<Job> jobs = new PriorityQueue<>();
  private final Map<DataSetId, Boolean> warm;
  private final double speed;
  ProcessState state = ProcessState.RUNNING;

  /** The factor that faults apply to the speed; 0 while the engine hangs. */
  double speedFactor = 1;

  /** The share of attempts that fail at once because of a fault. */
  double errorRate;

  /** The share of answers that are lost because of a fault. */
  double answerLossRate;

  long startedUs;

  /** The counter of work done so far per thread; see the class comment. */
  private double workPerThread;

  private long advancedToUs;
  private int threads;
  private int running;
  private double memoryUsedMb;
  private long jobsStarted;
  private Timeline.Entry nextCompletion;
  private double workDone;

  EngineModel(
      EngineId id,
      LocationId location,
      GroupId group,
      double speed,
      EmulatedSite.Engines settings,
      Timeline time) {
    this.id = id;
    this.location = location;
    this.group = group;
    this.speed = speed;
    this.settings = settings;
    this.time = time;
    advancedToUs = time.nowUs();
    startedUs = Long.MIN_VALUE / 2;
    warm =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<DataSetId, Boolean> eldest) {
            return size() > settings.warmSets();
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

  /** The fraction of its speed that the engine has reached in slow start; 1 afterwards. */
  double slowStartFactor() {
    double elapsed = (time.nowUs() - startedUs) / (settings.slowStartS() * 1e6);
    return elapsed >= 1 || settings.slowStartS() <= 0
        ? 1
        : settings.slowStartFraction() + (1 - settings.slowStartFraction()) * Math.max(0, elapsed);
  }

  /** The work that all threads together do in a microsecond. */
  private double totalRate() {
    double threadCount = threads;
    double cores = settings.cores();
    double beyond = Math.max(0, threadCount / cores - settings.knee());
    return Math.min(threadCount, cores)
        * Math.max(MIN_RATE_FRACTION, 1 - settings.fall() * beyond)
        * speed
        * speedFactor
        * slowStartFactor();
  }

  /**
   * The time in microseconds that a microsecond of one thread's work would take with additional
   * threads, at the current load; infinite if the engine does no work.
   */
  double timePerThreadWork(int additionalThreads) {
    double threadsAfter = threads + additionalThreads;
    double work =
        Math.min(threadsAfter, settings.cores())
            * Math.max(
                MIN_RATE_FRACTION,
                1
                    - settings.fall()
                        * Math.max(0, threadsAfter / settings.cores() - settings.knee()));
    double rate = work * speed * speedFactor * slowStartFactor();
    return state != ProcessState.RUNNING || rate <= 0
        ? Double.POSITIVE_INFINITY
        : threadsAfter / rate;
  }

  /**
   * Starts a job, unless all sessions are in use. The job's work falls if its data set is warm, and
   * grows if the engine has less memory left than the job needs.
   *
   * @param data the data set that the job reads, or null
   * @return whether the job was started
   */
  boolean tryStart(Job job, DataSetId data) {
    if (running >= settings.sessions()) {
      return false;
    }
    advance();
    double work = job.workUs;
    if (data != null && warm.put(data, true) != null) {
      work *= 1 - settings.warmGain();
    }
    double freeMb =
        settings.memoryMb() > 0 ? Math.max(0, settings.memoryMb() - memoryUsedMb) : job.memoryMb;
    if (job.memoryMb > freeMb) {
      work *= 1 + settings.spill() * (job.memoryMb - freeMb) / job.memoryMb;
    }
    memoryUsedMb += job.memoryMb;
    running++;
    threads += job.threads;
    job.number = jobsStarted++;
    job.startedAt = workPerThread;
    job.endsAt = workPerThread + work / job.threads;
    jobs.add(job);
    scheduleNextCompletion();
    return true;
  }

  /** The fraction of a job's work that is done, from 0 to 1. */
  double progress(Job job) {
    advance();
    return Math.min(1, (workPerThread - job.startedAt) / (job.endsAt - job.startedAt));
  }

  /** Ends a job without an answer; does nothing if it is over. */
  void cancel(Job job) {
    if (!job.isOver) {
      advance();
      jobs.remove(job);
      end(job);
      scheduleNextCompletion();
    }
  }

  private void end(Job job) {
    job.isOver = true;
    running--;
    threads -= job.threads;
    memoryUsedMb -= job.memoryMb;
  }

  /** Ends all jobs without an answer, as at the end of a process, and returns them. */
  List<Job> dropAll() {
    advance();
    List<Job> dropped = new ArrayList<>(jobs);
    jobs.clear();
    dropped.forEach(this::end);
    warm.clear();
    scheduleNextCompletion();
    return dropped;
  }

  /**
   * Accounts for the work done up to now. Has to be called before and after each change of what the
   * rate of work depends on.
   */
  void advance() {
    long now = time.nowUs();
    if (threads > 0 && now > advancedToUs && state == ProcessState.RUNNING) {
      double done = totalRate() * (now - advancedToUs);
      workPerThread += done / threads;
      workDone += done;
    }
    advancedToUs = now;
  }

  /** Schedules the completion of the job that ends next; cancels an earlier schedule. */
  void scheduleNextCompletion() {
    Timeline.cancel(nextCompletion);
    nextCompletion = null;
    double rate = threads > 0 && state == ProcessState.RUNNING ? totalRate() / threads : 0;
    if (rate > 0) {
      long remainingUs = (long) Math.ceil(Math.max(0, jobs.peek().endsAt - workPerThread) / rate);
      // The rate changes during slow start, so the completion time is computed again soon.
      long at =
          time.nowUs()
              + (slowStartFactor() < 1 ? Math.min(remainingUs, SLOW_START_STEP_US) : remainingUs);
      nextCompletion = time.at(at, this::finish);
    }
  }

  private void finish() {
    nextCompletion = null;
    advance();
    List<Job> completed = new ArrayList<>(1);
    // Times are rounded to microseconds, so up to one microsecond of work may be missing.
    double roundingSlack = threads > 0 ? totalRate() / threads : 0;
    while (!jobs.isEmpty() && jobs.peek().endsAt <= workPerThread + roundingSlack) {
      Job job = jobs.poll();
      end(job);
      completed.add(job);
    }
    scheduleNextCompletion();
    completed.forEach(job -> job.onCompleted.run());
  }
}

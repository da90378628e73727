package cobaltseam.dispatch;

/** Constants that several classes of the dispatch policy share. */
final class PolicyConstants {
  /** Maximum number of threads in use per core of an engine. */
  static final double THREADS_PER_CORE = 2;

  /**
   * An observation within this factor of its expected value counts as normal: for example, an
   * answer whose latency is at most this multiple of the baseline latency. Its inverse is the
   * utilization up to which engines have spare capacity.
   */
  static final double TOLERANCE_FACTOR = 1.25;

  /** An answer whose latency exceeds this multiple of the baseline latency counts as slow. */
  static final double SLOW_LATENCY_RATIO = 1.75;

  /**
   * Ratios of an observation to its expected value are clamped to this factor and to its inverse.
   */
  static final double MAX_OBSERVATION_RATIO = 5;

  /**
   * Fraction by which a new sample reduces the weight of older samples in a decaying average, from
   * 0 to 1.
   */
  static final double SMOOTHING_FACTOR = 1.0 / 8;

  /**
   * Fraction of an engine's thread limit that corresponds to one thread per core. High latency
   * alone never reduces a share below this fraction, and a utilization below it does not count as
   * overload.
   */
  static final double ONE_THREAD_PER_CORE_SHARE = 0.5;

  /**
   * An attempt may take this multiple of its expected latency before another attempt replaces it.
   */
  static final double ATTEMPT_TIMEOUT_FACTOR = 2.5;

  /** Microseconds per second. */
  static final double MICROS_PER_SECOND = 1e6;

  private PolicyConstants() {}
}

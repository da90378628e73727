package cobaltseam.dispatch;

/** Constants of the policy that several of its classes share. */
final class PolicyConstants {
  /** Threads that an engine is given for each of its cores. */
  static final double THREADS_PER_CORE = 2;

  /** An answer within this multiple of its usual latency counts as being at usual speed. */
  static final double NEAR_RATIO = 1.25;

  /** An answer beyond this multiple of its usual latency counts as slow. */
  static final double SLOW_RATIO = 1.75;

  /** Ratios of an observation to its expectation are clamped to this, and to its inverse. */
  static final double MAX_RATIO = 5;

  /** How much a single observation moves a decaying average. */
  static final double SAMPLE_WEIGHT = 1.0 / 8;

  /** Slowness leaves an engine at least this part of its share, one thread a core. */
  static final double MIN_SHARE = 0.5;

  /** An attempt may take this many times its expected latency before it is replaced. */
  static final double PATIENCE = 2.5;

  /** Microseconds in a second. */
  static final double SECOND_US = 1e6;

  private PolicyConstants() {}
}

package cobaltseam.membership;

/**
 * The condition of a process as this process or a reporting peer sees it. Of two updates with the
 * same status version, the one with the later constant takes precedence.
 */
public enum MemberCondition {
  /** The process answers health checks, or is new. */
  ALIVE,
  /** The process failed a health check and may still refute the suspicion. */
  SUSPECT,
  /** The process did not refute a suspicion in time. */
  DEAD,
  /** The process announced that it is leaving. */
  LEFT
}

package cobaltseam.membership;

/**
 * How a process seems from here. Of two updates with the same status version, the one with the
 * later constant overrules the other.
 */
public enum MemberCondition {
  /** It answers health checks, or is new. */
  ALIVE,
  /** It failed a health check and may still refute the suspicion. */
  SUSPECT,
  /** It did not refute a suspicion in time. */
  DEAD,
  /** It announced that it leaves. */
  LEFT
}

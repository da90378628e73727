package cobaltseam.membership;

/**
 * How a process seems from here; in the order in which news of one incarnation overrules other news
 * of it.
 */
public enum MemberCondition {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT
}

package cobaltseam.membership;

/** Whether a process may rely on the last agreed view that it knows. */
public enum QuorumState {
  /** It has no view: it was not added yet, or was removed. */
  NONE,
  /** A majority of the view seems alive from here. */
  MAJORITY,
  /**
   * This process was stopped or restarted, has not heard a majority since, and a majority may still
   * answer.
   */
  UNSURE,
  /** No majority of the view seems alive from here. */
  MINORITY;

  /** The name as it is printed. */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}

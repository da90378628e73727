package cobaltseam.membership;

/** What a process may make of the last agreed view that it knows. */
public enum QuorumState {
  /** It has none: it has not been taken in, or was taken out. */
  NONE,
  /** A majority of the view seems alive from here. */
  MAJORITY,
  /** This process stood still, and has not heard from a majority since. */
  UNSURE,
  /** No majority of the view seems alive from here. */
  MINORITY;

  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}

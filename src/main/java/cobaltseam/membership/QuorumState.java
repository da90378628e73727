package cobaltseam.membership;

/** Whether this process may rely on the last agreed view that it has installed. */
public enum QuorumState {
  /** The process has no view: it has not been added yet, or it has been removed. */
  NONE("none"),
  /** The failure detector of this process reports a majority of the view as alive. */
  MAJORITY("majority"),
  /**
   * The process was suspended or restarted and has not received messages from a majority since; a
   * majority may still answer.
   */
  UNCONFIRMED("unsure"),
  /** The failure detector of this process reports no majority of the view as alive. */
  MINORITY("minority");

  private final String label;

  QuorumState(String label) {
    this.label = label;
  }

  /** The name as printed in logs and status tables. */
  public String label() {
    return label;
  }
}

package cobaltseam.fleet;

/**
 * What a fleet of real processes is made of; times in milliseconds.
 *
 * @param extraSettings further lines of each process's own file
 * @param discovery discovery of all processes, or null for one engine that does not answer
 */
public record RealFleetPlan(
    int processes,
    int healthCheckIntervalMs,
    double healthCheckTimeoutMs,
    int bootstrapMembers,
    boolean withPersistence,
    String extraSettings,
    DiscoverySource discovery) {
  /** The usual plan of so many processes, without persistence and with fast health checks. */
  public static RealFleetPlan of(int processes) {
    return new RealFleetPlan(processes, 200, 3, Math.min(3, processes), false, "", null);
  }

  /** The same with a folder for the persistent state of each process. */
  public RealFleetPlan withFolders() {
    return new RealFleetPlan(
        processes,
        healthCheckIntervalMs,
        healthCheckTimeoutMs,
        bootstrapMembers,
        true,
        extraSettings,
        discovery);
  }

  /** All agree on the settings. */
  public RealFleetPlan withAgreement(int maxContradictionMs) {
    return with("[agreement]\ncontradiction_ms = " + maxContradictionMs);
  }

  /** Parts of the engines follow demand, and what each uses is logged. */
  public RealFleetPlan withCapacityLeases(int leaseMs) {
    return with(
        "[spread]\nby = \"demand\"\nlease_ms = "
            + leaseMs
            + "\nround_ms = 300\nwindow_ms = 1500\naudit = true");
  }

  /** The same with further lines in each process's own settings file. */
  public RealFleetPlan with(String lines) {
    return new RealFleetPlan(
        processes,
        healthCheckIntervalMs,
        healthCheckTimeoutMs,
        bootstrapMembers,
        withPersistence,
        extraSettings + "\n" + lines,
        discovery);
  }

  /** The same with discovery and its engines. */
  public RealFleetPlan with(DiscoverySource source) {
    return new RealFleetPlan(
        processes,
        healthCheckIntervalMs,
        healthCheckTimeoutMs,
        bootstrapMembers,
        withPersistence,
        extraSettings,
        source);
  }
}

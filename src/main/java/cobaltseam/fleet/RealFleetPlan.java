package cobaltseam.fleet;

/**
 * The setup of a fleet of real processes.
 *
 * @param healthCheckIntervalMs the health check interval in milliseconds
 * @param suspicionTimeoutPeriods the base of the suspicion timeout, in health check intervals
 * @param extraSettings further lines of the settings file of each process
 * @param discovery the discovery service of all processes, or null for one unreachable engine
 */
public record RealFleetPlan(
    int processes,
    int healthCheckIntervalMs,
    double suspicionTimeoutPeriods,
    int bootstrapMembers,
    boolean withPersistence,
    String extraSettings,
    DiscoverySource discovery) {
  /**
   * The default setup for this number of processes, without persistence and with fast health
   * checks.
   */
  public static RealFleetPlan of(int processes) {
    return new RealFleetPlan(processes, 200, 3, Math.min(3, processes), false, "", null);
  }

  /** This setup with a folder for the persistent state of each process. */
  public RealFleetPlan withFolders() {
    return new RealFleetPlan(
        processes,
        healthCheckIntervalMs,
        suspicionTimeoutPeriods,
        bootstrapMembers,
        true,
        extraSettings,
        discovery);
  }

  /** This setup with agreement on the settings. */
  public RealFleetPlan withAgreement(int maxContradictionMs) {
    return with("[agreement]\ncontradiction_ms = " + maxContradictionMs);
  }

  /** This setup with the capacity of the engines divided by demand and with usage logged. */
  public RealFleetPlan withCapacityLeases(int leaseMs) {
    return with(
        "[spread]\nby = \"demand\"\nlease_ms = "
            + leaseMs
            + "\nround_ms = 300\nwindow_ms = 1500\naudit = true");
  }

  /** This setup with further lines in the settings file of each process. */
  public RealFleetPlan with(String lines) {
    return new RealFleetPlan(
        processes,
        healthCheckIntervalMs,
        suspicionTimeoutPeriods,
        bootstrapMembers,
        withPersistence,
        extraSettings + "\n" + lines,
        discovery);
  }

  /** This setup with another discovery service. */
  public RealFleetPlan with(DiscoverySource source) {
    return new RealFleetPlan(
        processes,
        healthCheckIntervalMs,
        suspicionTimeoutPeriods,
        bootstrapMembers,
        withPersistence,
        extraSettings,
        source);
  }
}

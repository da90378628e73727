package cobaltseam.dispatch;

/**
 * One engine's line of the endpoint list.
 *
 * @param startedAt when the engine started; zero if long ago
 */
public record EndpointStatus(
    EngineId engine,
    LocationId location,
    MachineTypeId machineType,
    GroupId group,
    EndpointState state,
    Timestamp startedAt) {
  /** The state of an engine by the endpoint list; a later constant overrules an earlier one. */
  public enum EndpointState {
    UP,
    DRAINING,
    REMOVED
  }
}

package cobaltseam.dispatch;

/**
 * The entry of one engine in the endpoint list.
 *
 * @param startedAt when the engine started; zero if it started so long ago that it has warmed up
 */
public record EndpointStatus(
    EngineId engine,
    LocationId location,
    MachineTypeId machineType,
    GroupId group,
    EndpointState state,
    Timestamp startedAt) {
  /**
   * The state of an engine according to the endpoint list. If one list names an engine more than
   * once, the constant that is declared last takes precedence.
   */
  public enum EndpointState {
    UP,
    DRAINING,
    REMOVED
  }
}

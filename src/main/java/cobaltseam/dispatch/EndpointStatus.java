package cobaltseam.dispatch;

/** One line of the list of engines. A start of zero means long ago. */
public record EndpointStatus(
    EngineId engine,
    LocationId location,
    MachineTypeId machineType,
    GroupId group,
    EndpointState state,
    Timestamp startedAt) {
  /** What the list says of an engine. */
  public enum EndpointState {
    UP,
    DRAINING,
    GONE
  }
}

package cobaltseam.dispatch;

/** One line of the list of engines. A start of zero means long ago. */
public record Listing(
    EngineId engine,
    LocationId location,
    KindId kind,
    GroupId group,
    Standing standing,
    Moment started) {
  /** What the list says of an engine. */
  public enum Standing {
    UP,
    DRAINING,
    GONE
  }
}

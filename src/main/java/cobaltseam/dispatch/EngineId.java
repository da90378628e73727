package cobaltseam.dispatch;

/** Identifies an engine; all dispatchers use the same id for it. */
public record EngineId(long value) implements Comparable<EngineId> {
  @Override
  public int compareTo(EngineId other) {
    return Long.compare(value, other.value);
  }
}

package cobaltseam.dispatch;

/** Names one engine, the same at every dispatcher. */
public record EngineId(long value) implements Comparable<EngineId> {
  @Override
  public int compareTo(EngineId other) {
    return Long.compare(value, other.value);
  }
}

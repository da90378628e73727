package cobaltseam.dispatch;

/**
 * Identifies a small group of engines that deduplicate each other's requests by idempotency key.
 */
public record GroupId(long value) implements Comparable<GroupId> {
  @Override
  public int compareTo(GroupId other) {
    return Long.compare(value, other.value);
  }
}

package cobaltseam.membership;

import java.util.List;

/**
 * The difference between a view and its successor.
 *
 * @param removed processes to remove, each identified by name and incarnation
 * @param added processes to add
 * @param configuration the next version of the agreed configuration, or null for no change
 */
public record ViewDelta(
    List<Member> removed, List<Member> added, ConfigurationVersion configuration) {
  /** No change. */
  static final ViewDelta NONE = new ViewDelta(List.of(), List.of());

  /** Copies the lists. */
  public ViewDelta {
    removed = List.copyOf(removed);
    added = List.copyOf(added);
  }

  /** A change of members only. */
  public ViewDelta(List<Member> removed, List<Member> added) {
    this(removed, added, null);
  }

  boolean isEmpty() {
    return removed.isEmpty() && added.isEmpty() && configuration == null;
  }
}

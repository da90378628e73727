package cobaltseam.membership;

import java.util.List;

/**
 * What the successor of a view differs in: processes taken out, each a certain birth, and processes
 * taken in, and another edition of the agreed document, or null.
 */
public record ViewDelta(
    List<Member> removed, List<Member> added, ConfigurationVersion configuration) {
  /** Nothing. */
  static final ViewDelta NONE = new ViewDelta(List.of(), List.of());

  public ViewDelta {
    removed = List.copyOf(removed);
    added = List.copyOf(added);
  }

  public ViewDelta(List<Member> out, List<Member> in) {
    this(out, in, null);
  }

  boolean isEmpty() {
    return removed.isEmpty() && added.isEmpty() && configuration == null;
  }
}
